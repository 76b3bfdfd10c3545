// Adds targets at once, and asks targets for their positions before it removes
// one.

#include "Source/gateway/replica_recorder.h"

#include <algorithm>
#include <utility>

#include "Source/gateway/promotion_limits.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// Between two writes, and between two queries of the targets. A status query
// takes a slot of the target.
constexpr absl::Duration kRetryDelay = absl::Milliseconds(500);

}  // namespace

ReplicaRecorder::ReplicaRecorder(EventLoop* loop,
                                 RowStore* store,
                                 GroupAccess* groups,
                                 const LeadershipView* view,
                                 std::string table,
                                 absl::Duration log_wait_limit)
    : m_loop(loop),
      m_store(store),
      m_groups(groups),
      m_view(view),
      m_table(std::move(table)),
      m_log_wait_limit(log_wait_limit) {}

ReplicaRecorder::~ReplicaRecorder() {
  *m_alive = false;
}

ReplicaRecorder::GroupState& ReplicaRecorder::StateOf(const GroupName& group) {
  return m_states.try_emplace(group, m_log_wait_limit).first->second;
}

const ReplicaTracker& ReplicaRecorder::Tracker(const GroupName& group) const {
  static const auto* const unknown = new ReplicaTracker();
  const auto found = m_states.find(group);
  return found == m_states.end() ? *unknown : found->second.tracker;
}

void ReplicaRecorder::Update(const GroupName& group) {
  if (m_groups->SyncReplicas(group) > 0) {
    StateOf(group).tracker.Update(
        m_groups->Targets(group), m_view->Replicas(group),
        m_view->EarlierReplicas(group), m_loop->Now());
  }
}

void ReplicaRecorder::OnStoreUnavailable() {
  for (auto& [group, state] : m_states) {
    state.tracker.OnStoreUnavailable();
  }
}

bool ReplicaRecorder::IsOfListedRun(const GroupName& group,
                                    const TargetId& id,
                                    const TargetStatus& status) {
  // The target may have been listed since the last call.
  Update(group);
  return m_groups->SyncReplicas(group) == 0 ||
         StateOf(group).tracker.IsOfListedRun(id, status.received,
                                              m_loop->Now());
}

void ReplicaRecorder::Maintain(const GroupName& group, absl::Duration stagger) {
  if (m_groups->SyncReplicas(group) == 0) {
    return;
  }
  const absl::Time now = m_loop->Now();
  GroupState& state = StateOf(group);
  const bool lacks_runs = state.tracker.RecordLacksRuns();
  if (!lacks_runs && !state.tracker.RecordMissing() &&
      state.tracker.Departed(now).empty()) {
    state.act_at = absl::InfiniteFuture();
    state.catch_up.reset();
    return;
  }
  state.act_at = std::min(state.act_at, now + stagger);
  if (now < state.act_at || state.writing) {
    return;
  }
  if (lacks_runs) {
    Write(group, &state, {}, std::nullopt);
  } else {
    CheckCatchUp(group, &state);
  }
}

void ReplicaRecorder::CheckCatchUp(const GroupName& group, GroupState* state) {
  const GroupLeader& leader = m_view->Leader(group);
  std::shared_ptr<CatchUp>& catch_up = state->catch_up;
  if (leader.phase != LeaderPhase::kOpen) {
    catch_up.reset();
    return;
  }
  // A run that departs later may have received more than the primary had when
  // the check began.
  const std::vector<TargetRun> departed =
      state->tracker.Departed(m_loop->Now());
  if (!catch_up || catch_up->leader_version != leader.row_version ||
      catch_up->departed != departed) {
    catch_up = std::make_shared<CatchUp>();
    catch_up->leader_version = leader.row_version;
    catch_up->departed = departed;
  }
  if (catch_up->unanswered == 0) {
    state->act_at = m_loop->Now() + kRetryDelay;
    AskTargets(group, state);
  }
}

void ReplicaRecorder::AskTargets(const GroupName& group, GroupState* state) {
  const std::vector<ListedTarget> targets = m_groups->Targets(group);
  const std::shared_ptr<CatchUp> catch_up = state->catch_up;
  catch_up->unanswered = targets.size();
  for (const ListedTarget& target : targets) {
    m_groups->QueryStatus(
        group, target.id, kProbeTimeout,
        [this, group, catch_up, id = target.id,
         alive = m_alive](const std::optional<TargetStatus>& status) {
          if (*alive && StateOf(group).catch_up == catch_up) {
            OnStatus(group, catch_up, id, status);
          }
        });
  }
}

void ReplicaRecorder::OnStatus(const GroupName& group,
                               const std::shared_ptr<CatchUp>& catch_up,
                               const TargetId& id,
                               const std::optional<TargetStatus>& status) {
  const GroupLeader& leader = m_view->Leader(group);
  if (status && status->term >= leader.term &&
      IsOfListedRun(group, id, *status)) {
    if (id != leader.primary) {
      if (!status->primary && catch_up->required &&
          status->received >= *catch_up->required) {
        catch_up->caught_up.insert(id);
      }
    } else if (status->primary && !catch_up->required &&
               StateOf(group).tracker.HasItsLog(id)) {
      catch_up->required = status->received;
    }
  }
  if (--catch_up->unanswered == 0) {
    OnAllAnswered(group, catch_up);
  }
}

void ReplicaRecorder::OnAllAnswered(const GroupName& group,
                                    const std::shared_ptr<CatchUp>& catch_up) {
  GroupState& state = StateOf(group);
  // Replicas that have left the list since they were asked do not count.
  const std::vector<ListedTarget> targets = m_groups->Targets(group);
  std::erase_if(catch_up->caught_up, [&targets](const TargetId& id) {
    return std::none_of(
        targets.begin(), targets.end(),
        [&id](const ListedTarget& target) { return target.id == id; });
  });
  if (catch_up->caught_up.size() < m_groups->SyncReplicas(group) ||
      state.writing) {
    return;
  }
  Write(group, &state, catch_up->departed, catch_up->leader_version);
  state.catch_up.reset();
}

void ReplicaRecorder::Write(const GroupName& group,
                            GroupState* state,
                            const std::vector<TargetRun>& without,
                            std::optional<uint64_t> leader_version) {
  ReplicaSet replicas = state->tracker.Replicas();
  for (const TargetRun& run : without) {
    replicas.erase(run);
  }
  std::vector<TargetRun> runs;
  for (const auto& [run, recorded] : replicas) {
    runs.push_back(run);
  }
  const std::string key = LeadershipView::ReplicasKey(group);
  RowTransaction transaction{
      m_table, {{key, "", state->tracker.RecordVersion(), false}}, {}, {}};
  if (leader_version) {
    transaction.expected.push_back(
        {LeadershipView::LeaderKey(group), "", *leader_version, false});
  }
  transaction.writes = {
      {key, LeadershipView::EncodeReplicas(replicas), 0, false}};
  state->writing = true;
  m_store->Commit(transaction, kStoreCallTimeout,
                  [this, group, runs, without,
                   alive = m_alive](const Result<uint64_t>& result) {
                    if (!*alive) {
                      return;
                    }
                    GroupState& written = StateOf(group);
                    written.writing = false;
                    // The next attempt needs the row that this one has written.
                    written.act_at = m_loop->Now() + kRetryDelay;
                    LOG(INFO)
                        << "event=replicas_recorded group=" << group
                        << " replicas=" << DescribeRuns(runs)
                        << " removed=" << DescribeRuns(without) << " outcome=\""
                        << (Ok(result) ? "done" : ErrorOf(result).message)
                        << "\"";
                  });
}

}  // namespace heatherwick
