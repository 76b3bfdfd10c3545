// Simulates instances that accept sheets (versions of the configuration)
// through the real decision classes, and a fake of the platform's store with
// outages and lost replies.

#ifndef TESTS_SCENARIOS_SHEET_SIMULATION_H_
#define TESTS_SCENARIOS_SHEET_SIMULATION_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "Source/decision/sheet_acceptance.h"
#include "Source/decision/sheet_submission.h"
#include "Tests/scenarios/history.h"
#include "Tests/scenarios/network.h"

namespace heatherwick {

// The outcome of a submission that was reported to the operator.
enum class SubmissionVerdict {
  kPending,
  kAccepted,
  kLost,
  kUnavailable,
  kUnknown
};

class SheetSimulation {
 public:
  // The network node of the platform's store.
  static constexpr char kStore[] = "store";

  // `conditional_table` means that the table checks the row version before it
  // replaces the head. With false the invariants are expected to fail.
  SheetSimulation(EventQueue* queue,
                  Network* network,
                  History* history,
                  const std::vector<std::string>& instances,
                  uint64_t seed,
                  bool conditional_table);

  // Submits an operator's change that is based on the sheet in force at `via`.
  void Submit(const std::string& via, const std::string& submission);
  // Sends the same submission again with its original base version.
  void Resubmit(const std::string& via, const std::string& submission);
  SubmissionVerdict OutcomeOf(const std::string& submission) const {
    return m_submissions.at(submission).outcome;
  }
  // Handles a request of the session. The instance serves it if its sheet is at
  // least as new as the newest one that the session has seen; otherwise the
  // instance learns that a newer version exists.
  void ServeSession(const std::string& instance);
  void Restart(const std::string& instance);
  uint64_t VersionAt(const std::string& instance) const {
    return m_instances.at(instance).acceptance->InForce().version;
  }
  uint64_t HeadVersion() const { return m_head.head.version; }
  // Loses the replies to the next `count` writes of the head.
  void LoseReplies(int count) { m_replies_to_lose = count; }

 private:
  struct Instance {
    std::unique_ptr<std::mt19937_64> random;
    std::unique_ptr<SheetAcceptance> acceptance;
    std::string content;
    bool polls_store = false;
  };
  struct Submission {
    SheetHead head;
    std::string content;
    SubmissionVerdict outcome = SubmissionVerdict::kPending;
  };
  struct SheetContent {
    SheetHead head;
    std::string text;
  };
  using SubmissionMachine = std::shared_ptr<SheetSubmission>;

  void Tick(const std::string& name, uint64_t incarnation);
  void Apply(const std::string& name, const std::vector<SheetAction>& actions);
  void Fetch(const std::string& name, const FetchFromPeer& fetch);
  void Gossip(const std::string& name);
  void ScheduleStep(const std::string& via,
                    const std::string& submission,
                    const SubmissionMachine& machine,
                    const SubmissionStep& step);
  void PerformStep(const std::string& via,
                   const std::string& submission,
                   const SubmissionMachine& machine,
                   const SubmissionStep& step);
  void FinishSubmission(const std::string& via,
                        const std::string& submission,
                        const SubmissionEnded& ended);
  HeadWrite ReplaceHead(const struct ReplaceHead& write);
  // Runs `serve` at the store and `done` with its reply, or with std::nullopt
  // if the store does not reply in time.
  template <typename Reply>
  void CallStore(const std::string& from,
                 std::function<Reply()> serve,
                 std::function<void(std::optional<Reply>)> done);

  EventQueue* const m_queue;
  Network* const m_network;
  History* const m_history;
  const bool m_conditional_table;
  std::map<std::string, Instance> m_instances;
  std::map<std::string, Submission> m_submissions;
  uint64_t m_newest_version_seen_by_session = 0;

  StoredHead m_head;
  std::map<uint64_t, SheetHead> m_history_rows;  // By version.
  std::map<std::string, std::string> m_objects;
  // Name of the submission that each sheet version comes from.
  std::map<uint64_t, std::string> m_accepted_submission_of_version;
  int m_replies_to_lose = 0;
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_SHEET_SIMULATION_H_
