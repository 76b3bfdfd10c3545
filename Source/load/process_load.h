// Puts real proxies under a seeded, open-loop load for a bounded time. Requests
// arrive at random times with a fixed mean rate, whether or not earlier
// requests have ended.

#ifndef SOURCE_LOAD_PROCESS_LOAD_H_
#define SOURCE_LOAD_PROCESS_LOAD_H_

#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "Source/load/load_session.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace heatherwick {

class ProcessLoad {
 public:
  explicit ProcessLoad(const ProcessLoadOptions& options);

  // Runs the load, settles unknown outcomes, verifies the rows and prints the
  // report. Prints a progress line to stderr every second. Returns the
  // program's exit code: 0 on success, 1 after any violation, 2 if there are
  // fewer sessions than callers or the JSON file cannot be written.
  int Run();

 private:
  struct ArrivalQueue {
    std::deque<LoadArrival> arrivals;
  };

  std::vector<double> CallerWeights() const;
  void GenerateArrivals();
  void AddArrival(size_t caller, const LoadArrival& arrival);
  void RunSession(uint64_t number, size_t caller);
  void RunLoad();
  bool WriteJson() const;

  const ProcessLoadOptions m_options;
  ProxyClient m_client;
  WriteLedger m_ledger;
  ProcessLoadReport m_report;
  const LoadContext m_context;

  absl::Mutex m_mutex;
  absl::CondVar m_changed;
  std::vector<ArrivalQueue> m_queues
      ABSL_GUARDED_BY(m_mutex);  // One per caller.
  bool m_finished ABSL_GUARDED_BY(m_mutex) = false;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_PROCESS_LOAD_H_
