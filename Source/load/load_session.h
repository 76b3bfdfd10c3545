// One session of a load run. It executes single requests and transactions, one
// at a time, and checks each reply. Each request may go to another proxy and
// carries the session token of the latest reply.

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

// Objects that all sessions of a run share. They outlive the sessions.
struct LoadContext {
  const ProcessLoadOptions* options = nullptr;
  ProxyClient* client = nullptr;
  WriteLedger* ledger = nullptr;
  ProcessLoadReport* report = nullptr;
};

struct LoadArrival {
  uint64_t seed = 0;  // Seeds the random choices that make up the request.
  absl::Time due;     // Planned time of arrival; latency is measured from it.
};

class LoadSession {
 public:
  LoadSession(const LoadContext& context, uint64_t number, std::string caller);

  void Run(const LoadArrival& arrival);

 private:
  struct Response {
    RequestOutcome outcome = RequestOutcome::kUnknown;
    proto::ExecuteReply reply;
  };

  void RunRead(const LoadArrival& arrival);
  void CheckRead(const WriteBlock& block,
                 const LoadReadKind& kind,
                 const std::vector<std::string>& required,
                 const proto::ExecuteReply& reply);
  void RunWrite(const LoadArrival& arrival);
  // Tries to learn the outcome of a write whose first response left it unknown:
  // sends a repeatable write again, and calls Resolve for half of the others.
  // Returns the response to the repeated write if that was done, or the
  // response to Resolve if it was called, otherwise `first`.
  Response ResolveUnknown(const proto::ExecuteRequest& request,
                          const Response& first);
  void RunTransaction(const LoadArrival& arrival);
  // Executes the statements before COMMIT. Returns false and sets `*failed` to
  // the reply of the first statement that fails.
  bool RunSteps(const LoadWrite& write,
                const std::string& transaction,
                proto::ExecuteReply* failed);
  void FinishWrite(const std::string& request_class,
                   const LoadWrite& write,
                   const Response& response,
                   absl::Time due);

  proto::ExecuteRequest MakeRequest(proto::Operation operation,
                                    const std::string& group) const;
  Response Send(const proto::ExecuteRequest& request);
  // Records a violation unless the reply's result is `expected`.
  void Expect(const std::string& what,
              const std::string& expected,
              const proto::ExecuteReply& reply);
  // Returns a prefix that makes the statement long, or an empty string; the
  // choice is random with the probability `long_percent`.
  std::string MaybeLongWork();
  bool WithProbability(uint64_t percent) { return m_random() % 100 < percent; }

  const LoadContext m_context;
  const uint64_t m_number;
  const std::string m_caller;
  std::string m_token;
  std::mt19937_64 m_random;
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_LOAD_SESSION_H_
