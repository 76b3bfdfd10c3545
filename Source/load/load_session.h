// One session of a load run: executes single requests and transactions, one
// at a time, through changing proxies, and checks each reply.

#ifndef SOURCE_LOAD_LOAD_SESSION_H_
#define SOURCE_LOAD_LOAD_SESSION_H_

#include <cstdint>
#include <random>
#include <string>

#include "Source/load/process_load_options.h"
#include "Source/load/process_load_report.h"
#include "Source/load/proxy_client.h"
#include "Source/load/write_ledger.h"
#include "absl/time/time.h"

namespace heatherwick {

// What the sessions of a run share; outlives them.
struct LoadContext {
  const ProcessLoadOptions* options = nullptr;
  ProxyClient* client = nullptr;
  WriteLedger* ledger = nullptr;
  ProcessLoadReport* report = nullptr;
};

struct LoadArrival {
  uint64_t seed = 0;  // Determines what the request does.
  absl::Time due;     // Latency counts from here.
};

class LoadSession {
 public:
  LoadSession(const LoadContext& context, uint64_t number, std::string caller);

  void Run(const LoadArrival& arrival);

 private:
  struct Outcome {
    RequestEnd end = RequestEnd::kUnknown;
    proto::ExecuteReply reply;
  };

  void RunRead(const LoadArrival& arrival);
  void CheckRead(const WriteBlock& block,
                 const LoadReadKind& kind,
                 const std::vector<std::string>& required,
                 const proto::ExecuteReply& reply);
  void RunWrite(const LoadArrival& arrival);
  // After an unknown outcome: sends a repeatable write again, asks for the
  // others. Whether the write is known to be done or not run afterwards.
  Outcome Clarify(const proto::ExecuteRequest& request, const Outcome& first);
  void RunTransaction(const LoadArrival& arrival);
  // Executes the steps before COMMIT; false with the reply of one that
  // failed.
  bool RunSteps(const LoadWrite& write,
                const std::string& transaction,
                proto::ExecuteReply* failed);
  void FinishWrite(const std::string& request_class,
                   const LoadWrite& write,
                   const Outcome& outcome,
                   absl::Time due);

  proto::ExecuteRequest MakeRequest(proto::Operation operation,
                                    const std::string& group) const;
  Outcome Send(const proto::ExecuteRequest& request);
  // A violation unless the reply's result is `expected`.
  void Expect(const std::string& what,
              const std::string& expected,
              const proto::ExecuteReply& reply);
  // Prefix of a long statement, or nothing.
  std::string MaybeWork();
  bool Percent(uint64_t percent) { return m_random() % 100 < percent; }

  const LoadContext m_context;
  const uint64_t m_number;
  const std::string m_caller;
  std::string m_token;
  std::mt19937_64 m_random;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_LOAD_SESSION_H_
