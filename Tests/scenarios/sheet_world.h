// Instances that accept sheets through the real decision classes, and the
// platform's table as a fake with outages and lost answers.

#ifndef TESTS_SCENARIOS_SHEET_WORLD_H_
#define TESTS_SCENARIOS_SHEET_WORLD_H_

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

// What an operator was told about a submission.
enum class Submitted { kPending, kAccepted, kLost, kUnavailable, kUnknown };

class SheetWorld {
 public:
  // The network node of the platform's store.
  static constexpr char kStore[] = "store";

  // `conditional`: the table checks the version; false shows that the
  // invariants can fail.
  SheetWorld(EventQueue* queue,
             Network* network,
             History* history,
             const std::vector<std::string>& instances,
             uint64_t seed,
             bool conditional);

  // The operator's change is based on the sheet in force at `via`.
  void Submit(const std::string& via, const std::string& submission);
  // Sends the same submission again, with its base version.
  void Repeat(const std::string& via, const std::string& submission);
  Submitted OutcomeOf(const std::string& submission) const {
    return m_submissions.at(submission).outcome;
  }
  // A session's request arrives: it is served with a sheet at least as new as
  // the session has seen, or waits.
  void Serve(const std::string& instance);
  void Restart(const std::string& instance);
  uint64_t VersionAt(const std::string& instance) const {
    return m_instances.at(instance).acceptance->InForce().version;
  }
  uint64_t HeadVersion() const { return m_head.head.version; }
  // Loses the answers to the next writes of the head.
  void LoseAnswers(int count) { m_lost_answers = count; }

 private:
  struct Instance {
    std::unique_ptr<std::mt19937_64> random;
    std::unique_ptr<SheetAcceptance> acceptance;
    std::string content;
    bool poller = false;
  };
  struct Submission {
    SheetHead head;
    std::string content;
    Submitted outcome = Submitted::kPending;
  };
  struct Content {
    SheetHead head;
    std::string text;
  };
  using Machine = std::shared_ptr<SheetSubmission>;

  void Tick(const std::string& name, uint64_t incarnation);
  void Apply(const std::string& name, const std::vector<SheetAction>& actions);
  void Fetch(const std::string& name, const FetchFromPeer& fetch);
  void Gossip(const std::string& name);
  void Run(const std::string& via,
           const std::string& submission,
           const Machine& machine,
           const SubmissionStep& step);
  void Act(const std::string& via,
           const std::string& submission,
           const Machine& machine,
           const SubmissionStep& step);
  void End(const std::string& via,
           const std::string& submission,
           const SubmissionEnded& ended);
  HeadWrite ReplaceHead(const struct ReplaceHead& write);
  // Runs `serve` at the store; nothing when it does not answer.
  template <typename Reply>
  void AtStore(const std::string& from,
               std::function<Reply()> serve,
               std::function<void(std::optional<Reply>)> done);

  EventQueue* const m_queue;
  Network* const m_network;
  History* const m_history;
  const bool m_conditional;
  std::map<std::string, Instance> m_instances;
  std::map<std::string, Submission> m_submissions;
  uint64_t m_session_version = 0;

  StoredHead m_head;
  std::map<uint64_t, SheetHead> m_rows;  // History rows.
  std::map<std::string, std::string> m_objects;
  std::map<uint64_t, std::string> m_accepted;  // Submissions, by version.
  int m_lost_answers = 0;
};

}  // namespace heatherwick

#endif  // TESTS_SCENARIOS_SHEET_WORLD_H_
