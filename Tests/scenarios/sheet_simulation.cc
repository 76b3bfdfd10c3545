// Connects sheet acceptance and submission to the fake store and the peers.

#include "Tests/scenarios/sheet_simulation.h"

#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kTickInterval = absl::Milliseconds(100);
constexpr absl::Duration kGossipInterval = absl::Seconds(1);
constexpr absl::Duration kStoreTimeout = absl::Milliseconds(500);
constexpr absl::Duration kSubmissionDeadline = absl::Seconds(3);
constexpr size_t kPollerCount = 2;

std::string ContentOf(const std::string& submission) {
  return absl::StrCat(
      "record,name,group,region,data_centre,address,slots,connections,"
      "max_age,repeatable,share\ngroup,g,,r,,,,,,,\n"
      "target,t,g,,dc1,127.0.0.1:1,2,16,,,\ncaller,",
      submission, ",,,,,,,,,1\n");
}

}  // namespace

SheetSimulation::SheetSimulation(EventQueue* queue,
                                 Network* network,
                                 History* history,
                                 const std::vector<std::string>& instances,
                                 uint64_t seed,
                                 bool conditional_table)
    : m_queue(queue),
      m_network(network),
      m_history(history),
      m_conditional_table(conditional_table) {
  for (const std::string& name : instances) {
    Instance& instance = m_instances[name];
    instance.random = std::make_unique<std::mt19937_64>(++seed);
    instance.polls_store = m_instances.size() <= kPollerCount;
    Restart(name);
  }
}

void SheetSimulation::Restart(const std::string& name) {
  Instance& instance = m_instances[name];
  instance.acceptance = std::make_unique<SheetAcceptance>(
      SheetAcceptanceOptions(), *instance.random);
  instance.content.clear();
  m_history->ForgetSheetVersion(name);
  Tick(name, m_network->Incarnation(name));
  Gossip(name);
}

template <typename Reply>
void SheetSimulation::CallStore(
    const std::string& from,
    std::function<Reply()> serve,
    std::function<void(std::optional<Reply>)> done) {
  m_network->Call<Reply>(from, kStore, kStoreTimeout, false, std::move(serve),
                         std::move(done));
}

void SheetSimulation::Tick(const std::string& name, uint64_t incarnation) {
  if (m_network->Incarnation(name) != incarnation) {
    return;
  }
  if (m_network->IsRunning(name)) {
    Instance& instance = m_instances[name];
    std::vector<SheetAction> actions;
    instance.acceptance->OnTick(instance.polls_store, m_queue->Now(), &actions);
    Apply(name, actions);
  }
  m_queue->After(kTickInterval,
                 [this, name, incarnation] { Tick(name, incarnation); });
}

void SheetSimulation::Gossip(const std::string& name) {
  const uint64_t incarnation = m_network->Incarnation(name);
  for (const auto& [peer, instance] : m_instances) {
    if (peer == name || !m_network->IsRunning(name)) {
      continue;
    }
    m_network->Call<uint64_t>(
        name, peer, kStoreTimeout, false,
        [this, peer_name = peer] { return VersionAt(peer_name); },
        [this, name, peer_name = peer](std::optional<uint64_t> version) {
          if (version) {
            std::vector<SheetAction> actions;
            m_instances[name].acceptance->OnVersionSeen(
                *version, peer_name, m_queue->Now(), &actions);
            Apply(name, actions);
          }
        });
  }
  m_queue->After(kGossipInterval, [this, name, incarnation] {
    if (incarnation == m_network->Incarnation(name)) {
      Gossip(name);
    }
  });
}

void SheetSimulation::Apply(const std::string& name,
                            const std::vector<SheetAction>& actions) {
  SheetAcceptance* acceptance = m_instances[name].acceptance.get();
  for (const SheetAction& action : actions) {
    if (std::holds_alternative<ReadSheetHead>(action)) {
      CallStore<SheetHead>(
          name, [this] { return m_head.head; },
          [this, name, acceptance](std::optional<SheetHead> head) {
            std::vector<SheetAction> next;
            if (head) {
              acceptance->OnHeadRead(*head, m_queue->Now(), &next);
            } else {
              acceptance->OnHeadReadFailed(m_queue->Now());
            }
            Apply(name, next);
          });
    } else if (const auto* peer = std::get_if<FetchFromPeer>(&action)) {
      Fetch(name, *peer);
    } else if (const auto* store = std::get_if<FetchFromStore>(&action)) {
      CallStore<std::string>(
          name,
          [this, head = store->head] {
            return m_objects[SheetObjectName(head.content_hash)];
          },
          [this, name, acceptance,
           head = store->head](std::optional<std::string> text) {
            std::vector<SheetAction> next;
            if (text) {
              acceptance->OnContent(head, *text, m_queue->Now(), &next);
            } else {
              acceptance->OnFetchFailed(m_queue->Now());
            }
            Apply(name, next);
          });
    } else if (const auto* adopt = std::get_if<AdoptSheet>(&action)) {
      m_instances[name].content = adopt->content;
      m_history->OnSheetVersion(name, adopt->head.version);
      const auto accepted =
          m_accepted_submission_of_version.find(adopt->head.version);
      if (accepted == m_accepted_submission_of_version.end() ||
          accepted->second != adopt->head.submission) {
        m_history->Fail(absl::StrCat(name, " serves a sheet of version ",
                                     adopt->head.version,
                                     " that was not accepted"));
      }
    }
  }
}

void SheetSimulation::Fetch(const std::string& name,
                            const FetchFromPeer& fetch) {
  std::string peer = fetch.address;
  if (peer.empty()) {
    const auto next = m_instances.upper_bound(name);
    peer = next == m_instances.end() ? m_instances.begin()->first : next->first;
  }
  SheetAcceptance* acceptance = m_instances[name].acceptance.get();
  m_network->Call<SheetContent>(
      name, peer, kStoreTimeout, false,
      [this, peer] {
        const Instance& instance = m_instances[peer];
        return SheetContent{instance.acceptance->InForce(), instance.content};
      },
      [this, name, acceptance,
       wanted = fetch.at_least_version](std::optional<SheetContent> content) {
        std::vector<SheetAction> next;
        if (!content) {
          acceptance->OnFetchFailed(m_queue->Now());
        } else if (content->head.version < wanted) {
          acceptance->OnNoNewerSheet(m_queue->Now());
        } else {
          acceptance->OnContent(content->head, content->text, m_queue->Now(),
                                &next);
        }
        Apply(name, next);
      });
}

void SheetSimulation::Submit(const std::string& via,
                             const std::string& submission) {
  Submission& state = m_submissions[submission];
  state.content = ContentOf(submission);
  state.head.submission = submission;
  state.head.content_hash = SheetContentHash(state.content);
  state.head.base_version = VersionAt(via);
  Resubmit(via, submission);
}

void SheetSimulation::Resubmit(const std::string& via,
                               const std::string& submission) {
  const SubmissionMachine machine = std::make_shared<SheetSubmission>(
      m_submissions.at(submission).head, m_queue->Now() + kSubmissionDeadline);
  ScheduleStep(via, submission, machine, machine->Start());
}

void SheetSimulation::ScheduleStep(const std::string& via,
                                   const std::string& submission,
                                   const SubmissionMachine& machine,
                                   const SubmissionStep& step) {
  m_queue->After(step.delay, [this, via, submission, machine, step,
                              incarnation = m_network->Incarnation(via)] {
    if (incarnation == m_network->Incarnation(via)) {
      PerformStep(via, submission, machine, step);
    }
  });
}

void SheetSimulation::PerformStep(const std::string& via,
                                  const std::string& submission,
                                  const SubmissionMachine& machine,
                                  const SubmissionStep& step) {
  const auto next = [=, this](const SubmissionStep& after) {
    ScheduleStep(via, submission, machine, after);
  };
  const auto now = [this] { return m_queue->Now(); };
  if (std::holds_alternative<ReadStoredHead>(step.action)) {
    CallStore<StoredHead>(
        via, [this] { return m_head; },
        [=](const std::optional<StoredHead>& head) {
          next(machine->OnHead(head, now()));
        });
  } else if (const auto* content = std::get_if<StoreContent>(&step.action)) {
    CallStore<bool>(
        via,
        [this, name = content->name, submission] {
          m_objects[name] = m_submissions.at(submission).content;
          return true;
        },
        [=](std::optional<bool> stored) {
          next(machine->OnContentStored(stored.has_value(), now()));
        });
  } else if (const auto* row = std::get_if<StoreHistoryRow>(&step.action)) {
    CallStore<bool>(
        via,
        [this, head = row->head] {
          m_history_rows.emplace(head.version, head);
          return true;
        },
        [=](std::optional<bool> stored) {
          next(machine->OnHistoryStored(stored.has_value(), now()));
        });
  } else if (const auto* read = std::get_if<ReadHistoryRow>(&step.action)) {
    CallStore<SheetHead>(
        via,
        [this, version = read->version] {
          const auto found = m_history_rows.find(version);
          return found == m_history_rows.end() ? SheetHead() : found->second;
        },
        [=](const std::optional<SheetHead>& head) {
          next(machine->OnHistory(head, now()));
        });
  } else if (const auto* write =
                 std::get_if<heatherwick::ReplaceHead>(&step.action)) {
    CallStore<HeadWrite>(
        via, [this, write = *write] { return ReplaceHead(write); },
        [=, this](std::optional<HeadWrite> result) {
          if (result && m_replies_to_lose > 0) {
            --m_replies_to_lose;
            result.reset();
          }
          next(machine->OnHeadWritten(result.value_or(HeadWrite::kNoReply),
                                      now()));
        });
  } else {
    FinishSubmission(via, submission, std::get<SubmissionEnded>(step.action));
  }
}

HeadWrite SheetSimulation::ReplaceHead(const struct ReplaceHead& write) {
  if (m_conditional_table && m_head.row_version != write.expected_row_version) {
    return HeadWrite::kConflict;
  }
  for (const auto& [version, submission] : m_accepted_submission_of_version) {
    if (submission == write.head.submission || version >= write.head.version) {
      m_history->Fail(absl::StrCat("submission ", write.head.submission,
                                   " was accepted over version ", version));
    }
  }
  if (m_submissions[write.head.submission].outcome ==
      SubmissionVerdict::kLost) {
    m_history->Fail(absl::StrCat("submission ", write.head.submission,
                                 " was accepted after it was reported lost"));
  }
  m_head = {m_head.row_version + 1, write.head};
  m_accepted_submission_of_version[write.head.version] = write.head.submission;
  return HeadWrite::kWritten;
}

void SheetSimulation::FinishSubmission(const std::string& via,
                                       const std::string& submission,
                                       const SubmissionEnded& ended) {
  Submission& state = m_submissions[submission];
  const auto found =
      m_accepted_submission_of_version.find(state.head.base_version + 1);
  const bool accepted = found != m_accepted_submission_of_version.end() &&
                        found->second == submission;
  switch (ended.outcome) {
    case SubmissionOutcome::kAccepted: {
      state.outcome = SubmissionVerdict::kAccepted;
      if (!accepted) {
        m_history->Fail(submission + " was reported accepted but is not");
      }
      std::vector<SheetAction> actions;
      m_instances[via].acceptance->OnSubmitted(ended.head, state.content,
                                               &actions);
      Apply(via, actions);
      break;
    }
    case SubmissionOutcome::kLost:
      state.outcome = SubmissionVerdict::kLost;
      if (accepted) {
        m_history->Fail(submission + " was reported lost but is accepted");
      }
      break;
    case SubmissionOutcome::kUnavailable:
      state.outcome = SubmissionVerdict::kUnavailable;
      break;
    case SubmissionOutcome::kUnknown:
      state.outcome = SubmissionVerdict::kUnknown;
      break;
  }
}

void SheetSimulation::ServeSession(const std::string& instance) {
  SheetAcceptance& acceptance = *m_instances[instance].acceptance;
  if (VersionAt(instance) >= m_newest_version_seen_by_session) {
    m_newest_version_seen_by_session = VersionAt(instance);
    return;
  }
  std::vector<SheetAction> actions;
  acceptance.OnVersionSeen(m_newest_version_seen_by_session, "", m_queue->Now(),
                           &actions);
  Apply(instance, actions);
}

}  // namespace heatherwick
