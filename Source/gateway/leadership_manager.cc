// Polling of the leadership rows, votes on silent primaries, and the change
// of a primary step by step.

#include "Source/gateway/leadership_manager.h"

#include <algorithm>
#include <utility>

#include "Source/base/hash.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "glog/logging.h"

namespace heatherwick {

const char LeadershipManager::kTable[] = "heatherwick";

namespace {

// One poll a period renews the lease; two may fail within kLeaderLease.
constexpr absl::Duration kLeadershipPollWait = absl::Milliseconds(600);
// Beyond the wait: a store at 60 times its usual 4 ms still answers.
constexpr absl::Duration kPollAnswerTimeout = absl::Milliseconds(400);
constexpr absl::Duration kPollRetry = absl::Milliseconds(100);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(700);
// A confirmation that the holder does not acknowledge goes to the store.
constexpr absl::Duration kConfirmTimeout = absl::Milliseconds(300);
constexpr absl::Duration kTickPeriod = absl::Milliseconds(100);
// A primary that answered nothing for this long is voted on: the slowest
// ordinary statement of a slowed database takes about 500 ms.
constexpr absl::Duration kSilence = absl::Milliseconds(700);
// Members answer a vote at once; a member that takes longer does not count.
constexpr absl::Duration kVoteWindow = absl::Milliseconds(350);
// A vote that the others rejected is repeated after this time.
constexpr absl::Duration kVotePeriod = absl::Seconds(2);
constexpr absl::Duration kProbeTimeout = absl::Milliseconds(300);
// Keeps two instances from starting the same change at once.
constexpr absl::Duration kStaggerStep = absl::Milliseconds(250);
// Margin over kLeaderLease for the store's rounding of its clock.
constexpr absl::Duration kLeaseMargin = absl::Milliseconds(100);
// How long a holder may order promotions with its token; more than the lease
// and the collection of statuses together.
constexpr absl::Duration kDutyLease = absl::Milliseconds(4000);
// Others take over an unfinished change after this time: kDutyLease, plus one
// call of a holder that sent it just before its lease ended.
constexpr absl::Duration kTakeoverAfter = absl::Milliseconds(5000);
constexpr absl::Duration kStatusTimeout = absl::Milliseconds(400);
// Replicas of a planned change get this long to receive the whole log.
constexpr absl::Duration kCatchUpLimit = absl::Milliseconds(1500);
constexpr absl::Duration kStatusRetry = absl::Milliseconds(60);
constexpr absl::Duration kPromoteTimeout = absl::Milliseconds(800);
// A promotion takes about a second; longer means that the order was lost.
constexpr absl::Duration kPromotionLimit = absl::Milliseconds(3000);
constexpr absl::Duration kStopTimeout = absl::Milliseconds(500);
// A member row that is newer than those of this many others shows whom its
// instance knows; more would cost a write of each member for each new one.
constexpr size_t kShownAcquaintances = 16;
// A member renews its row this long after it saw others join, so that one
// write covers all that start together.
constexpr absl::Duration kRenewalDelay = absl::Milliseconds(500);
// An instance counts itself before its own row is read.
constexpr size_t kMinMembers = 1;

}  // namespace

// A change of primary that this instance carries out.
struct LeadershipManager::Promotion {
  uint64_t attempt = 0;
  bool planned = false;
  TargetId old_primary;
  uint64_t epoch = 0;           // Of the row that announces the change.
  absl::Time published_before;  // The announcement was sent then.
  absl::Time published_after;   // And known to be stored then.
  bool published = false;       // The announcement is stored.
  uint64_t row_version = 0;     // Of the announcement.
  StoredRow announcement;
  bool quiesced = false;
  absl::Time collecting_since = absl::InfiniteFuture();
  size_t statuses_pending = 0;
  std::optional<TargetStatus> old_status;
  std::map<TargetId, TargetStatus> statuses;
  std::set<TargetId> rejected;  // Not running, by the platform's word.
  std::map<InstanceId, uint64_t> expired_members;  // Id and row version.
  // Since when a member that the silent one knows has confirmed.
  std::map<InstanceId, absl::Time> witnessed;
  TargetId candidate;
  uint64_t candidate_term = 0;  // Once it is known to lead.
  absl::Time promoted_at;
  // An order of a promotion that was sent may take effect until then, so the
  // old primary may not be kept before.
  absl::Time order_pending_until = absl::InfinitePast();
  std::unique_ptr<Timer> timer;
};

struct LeadershipManager::GroupState {
  bool silent = false;
  bool not_primary = false;
  absl::Time unknown_since = absl::InfiniteFuture();
  absl::Time vote_cast = absl::InfinitePast();
  uint64_t vote_round = 0;
  uint64_t answered_round = 0;
  uint64_t vote_epoch = 0;
  bool probing = false;
  std::unique_ptr<Promotion> promotion;
  std::unique_ptr<Timer> restart_timer;
  // Epoch whose change this instance has begun to quiesce for.
  uint64_t quiescing_epoch = 0;
};

LeadershipManager::LeadershipManager(LeadershipSettings settings,
                                     EventLoop* loop,
                                     RowStore* store,
                                     PromotionApi* promotions,
                                     GroupAccess* groups,
                                     PeerTransport* peers)
    : m_settings(std::move(settings)),
      m_loop(loop),
      m_store(store),
      m_promotions(promotions),
      m_groups(groups),
      m_peers(peers),
      m_view(m_settings.self, m_settings.incarnation),
      m_peer_leases(m_settings.self,
                    m_settings.incarnation,
                    loop,
                    peers,
                    &m_view,
                    [this](const RowChanges& changes) { ApplyRows(changes); }) {
}

LeadershipManager::~LeadershipManager() {
  *m_alive = false;
}

LeadershipManager::GroupState& LeadershipManager::StateOf(
    const GroupName& group) {
  std::unique_ptr<GroupState>& state = m_states[group];
  if (!state) {
    state = std::make_unique<GroupState>();
  }
  return *state;
}

void LeadershipManager::Start() {
  Poll();
  Tick();
}

void LeadershipManager::Stop(std::function<void()> done) {
  m_stopping = true;
  m_tick_timer.reset();
  m_on_stopped = std::move(done);
  auto finish = [this, alive = m_alive]() {
    if (*alive && m_on_stopped) {
      std::exchange(m_on_stopped, nullptr)();
    }
  };
  m_stop_timer = m_loop->RunAfter(kStopTimeout, finish);
  RowTransaction transaction{kTable, {}, {}, {}};
  const auto own = m_view.Members().find(m_settings.self);
  if (own != m_view.Members().end()) {
    const std::string key = LeadershipView::MemberKey(m_settings.self);
    transaction.expected = {{key, "", own->second.row_version, false}};
    transaction.deletes = {key};
  }
  const DutyRow& duty = m_view.Duty();
  if (duty.holder == m_settings.self &&
      duty.incarnation == m_settings.incarnation) {
    const std::string key = LeadershipView::DutyKey();
    transaction.expected.push_back({key, "", duty.row_version, false});
    transaction.writes.push_back(
        {key, LeadershipView::EncodeDuty({}), 0, false});
  }
  m_store->Commit(transaction, kStopTimeout,
                  [finish](const Result<uint64_t>&) { finish(); });
}

void LeadershipManager::Register() {
  if (m_registering || m_stopping) {
    return;
  }
  m_registering = true;
  const std::string key = LeadershipView::MemberKey(m_settings.self);
  const auto earlier = m_view.Members().find(m_settings.self);
  MemberRow row{m_settings.incarnation, m_settings.peer_address, 0, 0};
  uint64_t earlier_version = 0;
  if (earlier != m_view.Members().end()) {
    earlier_version = earlier->second.row_version;
    if (earlier->second.peer_address == m_settings.peer_address) {
      row.joined = earlier->second.joined;
    }
  }
  RowTransaction transaction{
      kTable, {{key, "", earlier_version, false}}, {}, {}};
  transaction.writes = {{key, LeadershipView::EncodeMember(row), 0, false},
                        {LeadershipView::ConfirmationKey(m_settings.self),
                         LeadershipView::EncodeConfirmation(
                             m_settings.incarnation, m_confirmed_epochs),
                         0, false}};
  m_store->Commit(
      transaction, kCallTimeout,
      [this, alive = m_alive](const Result<uint64_t>& result) {
        if (!*alive) {
          return;
        }
        m_registering = false;
        LOG(INFO) << "event=member_registered instance=" << m_settings.self
                  << " outcome=" << (Ok(result) ? "done" : "failed");
      });
}

bool LeadershipManager::OwnRowIsOld() const {
  const uint64_t own = m_view.Members().at(m_settings.self).row_version;
  size_t shown = 0;
  for (const auto& [id, member] : m_view.Members()) {
    shown += member.joined < own && id != m_settings.self ? 1 : 0;
  }
  return shown < std::min(m_view.Members().size() - 1, kShownAcquaintances);
}

void LeadershipManager::SchedulePoll(absl::Duration delay) {
  m_poll_timer = m_loop->RunAfter(delay, [this]() { Poll(); });
}

void LeadershipManager::Poll() {
  auto done = [this, alive = m_alive](Result<RowChanges> polled) {
    if (*alive) {
      OnPolled(std::move(polled));
    }
  };
  if (m_table_read) {
    m_store->PollChanges(kTable, m_view.Version(), kLeadershipPollWait,
                         kLeadershipPollWait + kPollAnswerTimeout, done);
  } else {
    m_store->ReadTable(kTable, kCallTimeout, done);
  }
}

void LeadershipManager::OnPolled(Result<RowChanges> polled) {
  if (!Ok(polled)) {
    const Error& error = ErrorOf(polled);
    if (error.kind == ErrorKind::kNotFound) {
      m_table_read = false;
      LOG(INFO) << "event=leadership_history_lost outcome=table_is_read";
      SchedulePoll(absl::ZeroDuration());
      return;
    }
    if (m_store_reachable) {
      m_store_reachable = false;
      LOG(WARNING) << "event=dependency_lost dependency=store cause=\""
                   << error.message << "\"";
    }
    SchedulePoll(kPollRetry);
    return;
  }
  if (!m_store_reachable) {
    m_store_reachable = true;
    LOG(INFO) << "event=dependency_regained dependency=store version="
              << ValueOf(polled).version;
  }
  m_table_read = true;
  ApplyRows(ValueOf(polled));
  if (!m_view.OwnRowPresent()) {
    Register();
  } else if (!m_renewal_timer && OwnRowIsOld()) {
    m_renewal_timer = m_loop->RunAfter(kRenewalDelay, [this]() {
      m_renewal_timer.reset();
      Register();
    });
  }
  ContinueChanges();
  SchedulePoll(absl::ZeroDuration());
}

void LeadershipManager::ApplyRows(const RowChanges& changes) {
  for (const GroupName& group : m_view.Apply(changes, m_loop->Now())) {
    OnLeaderRow(group);
  }
}

VouchAnswer LeadershipManager::Vouch(const VouchQuestion& question) {
  if (!question.announced.empty()) {
    RowChanges announced;
    announced.rows = question.announced;
    ApplyRows(announced);
  }
  if (!question.confirmed.empty()) {
    m_view.NoteConfirmation(question.instance, question.incarnation,
                            question.confirmed);
    ContinueChanges();
  }
  const bool changing = std::any_of(
      m_states.begin(), m_states.end(),
      [](const auto& state) { return state.second->promotion != nullptr; });
  return m_peer_leases.Answer(question, m_store_reachable, changing);
}

void LeadershipManager::ContinueChanges() {
  for (auto& [group, state] : m_states) {
    Promotion* const promotion = state->promotion.get();
    if (promotion != nullptr && promotion->published) {
      AwaitConfirmations(group, promotion->attempt);
    }
  }
}

size_t LeadershipManager::MemberCount() const {
  return std::max(kMinMembers, m_view.Members().size());
}

std::optional<TargetId> LeadershipManager::UsablePrimary(
    const GroupName& group) const {
  const GroupLeader& leader = m_view.Leader(group);
  if (leader.phase != LeaderPhase::kOpen || !m_view.LeaseValid(m_loop->Now())) {
    return std::nullopt;
  }
  return leader.primary;
}

bool LeadershipManager::MayAcknowledge(const GroupName& group,
                                       const TargetId& primary) const {
  const GroupLeader& leader = m_view.Leader(group);
  if (leader.primary != primary || !m_view.LeaseValid(m_loop->Now())) {
    return false;
  }
  // While this instance has not confirmed the change, no promotion follows.
  const auto confirmed = m_confirmed_epochs.find(group);
  return leader.phase == LeaderPhase::kOpen ||
         (m_loop->Now() < leader.usable_until &&
          (confirmed == m_confirmed_epochs.end() ||
           confirmed->second < leader.change_epoch));
}

void LeadershipManager::OnLeaderRow(const GroupName& group) {
  const GroupLeader leader = m_view.Leader(group);
  GroupState& state = StateOf(group);
  state.silent = false;
  state.not_primary = false;
  state.vote_cast = absl::InfinitePast();
  LOG(INFO) << "event=leader_row group=" << group << " epoch=" << leader.epoch
            << " phase="
            << (leader.phase == LeaderPhase::kOpen ? "open" : "changing")
            << " primary=" << leader.primary << " holder=" << leader.holder;
  Promotion* const promotion = state.promotion.get();
  if (promotion != nullptr && promotion->published &&
      leader.epoch > promotion->epoch) {
    EndChange(group);
  }
  m_groups->OnLeaderChanged(group);
  if (leader.phase == LeaderPhase::kChanging) {
    state.quiescing_epoch = leader.epoch;
    const uint64_t epoch = leader.epoch;
    m_groups->Quiesce(group, leader.planned,
                      [this, group, epoch, alive = m_alive]() {
                        if (*alive) {
                          Confirm(group, epoch);
                        }
                      });
  }
}

void LeadershipManager::Confirm(const GroupName& group, uint64_t epoch) {
  uint64_t& confirmed = m_confirmed_epochs[group];
  if (epoch <= confirmed) {
    return;
  }
  confirmed = epoch;
  m_view.NoteConfirmation(m_settings.self, m_settings.incarnation,
                          m_confirmed_epochs);
  const InstanceId holder = m_view.Leader(group).holder;
  if (holder == m_settings.self) {
    ContinueChanges();
    return;
  }
  const auto member = m_view.Members().find(holder);
  if (m_peers == nullptr || member == m_view.Members().end()) {
    WriteConfirmation();
    return;
  }
  // The holder hears it directly, also while this instance cannot write to
  // the store; the row is the second way.
  m_peers->Vouch(member->second.peer_address,
                 {m_settings.self,
                  m_settings.incarnation,
                  m_view.LeadersVersion(),
                  m_confirmed_epochs,
                  {}},
                 kConfirmTimeout,
                 [this, alive = m_alive](const Result<VouchAnswer>& answer) {
                   if (*alive && !Ok(answer)) {
                     WriteConfirmation();
                   }
                 });
}

void LeadershipManager::WriteConfirmation() {
  if (m_confirming) {
    m_confirm_again = true;
    return;
  }
  m_confirming = true;
  m_confirm_again = false;
  RowTransaction transaction{kTable, {}, {}, {}};
  transaction.writes = {{LeadershipView::ConfirmationKey(m_settings.self),
                         LeadershipView::EncodeConfirmation(
                             m_settings.incarnation, m_confirmed_epochs),
                         0, false}};
  m_store->Commit(transaction, kCallTimeout,
                  [this, alive = m_alive](const Result<uint64_t>& result) {
                    if (!*alive) {
                      return;
                    }
                    m_confirming = false;
                    if (m_confirm_again || !Ok(result)) {
                      m_confirm_again = false;
                      m_loop->Post([this, alive]() {
                        if (*alive) {
                          WriteConfirmation();
                        }
                      });
                    }
                  });
}

// --- Detection -------------------------------------------------------------

void LeadershipManager::Tick() {
  m_tick_timer = m_loop->RunAfter(kTickPeriod, [this]() { Tick(); });
  m_peer_leases.Tick();
  if (!m_view.LeaseValid(m_loop->Now())) {
    m_without_lease = m_loop->Now();
    return;
  }
  for (const GroupName& group : m_groups->Groups()) {
    TickGroup(group);
  }
}

void LeadershipManager::TickGroup(const GroupName& group) {
  const GroupLeader& leader = m_view.Leader(group);
  if (StateOf(group).promotion) {
    return;
  }
  switch (leader.phase) {
    case LeaderPhase::kUnknown:
      ProposeFirstLeader(group);
      break;
    case LeaderPhase::kOpen:
      ConsiderOpenLeader(group, leader);
      break;
    case LeaderPhase::kChanging:
      ConsiderStuckChange(group, leader);
      break;
  }
}

absl::Duration LeadershipManager::Stagger(const GroupName& group) const {
  const uint64_t own = StableHash(m_settings.self, StableHash(group));
  int rank = 0;
  for (const auto& [id, member] : m_view.Members()) {
    rank += StableHash(id, StableHash(group)) < own ? 1 : 0;
  }
  return rank * kStaggerStep;
}

void LeadershipManager::ProposeFirstLeader(const GroupName& group) {
  GroupState& state = StateOf(group);
  const absl::Time now = m_loop->Now();
  std::vector<TargetId> claiming;
  for (const ListedTarget& target : m_groups->Targets(group)) {
    if (target.claims_primary) {
      claiming.push_back(target.id);
    }
  }
  if (claiming.size() != 1) {
    return;
  }
  state.unknown_since = std::min(state.unknown_since, now);
  if (now < state.unknown_since + Stagger(group)) {
    return;
  }
  state.unknown_since = now;  // The next try comes after another stagger.
  const TargetId primary = claiming.front();
  m_groups->QueryStatus(
      group, primary, kProbeTimeout,
      [this, group, primary,
       alive = m_alive](const std::optional<TargetStatus>& status) {
        if (*alive) {
          PublishFirstLeader(group, primary,
                             status && status->primary ? status->term : 0);
        }
      });
}

void LeadershipManager::PublishFirstLeader(const GroupName& group,
                                           const TargetId& primary,
                                           uint64_t term) {
  GroupLeader first;
  first.epoch = 1;
  first.phase = LeaderPhase::kOpen;
  first.primary = primary;
  first.term = term;
  first.holder = m_settings.self;
  first.holder_incarnation = m_settings.incarnation;
  const std::string key = LeadershipView::LeaderKey(group);
  RowTransaction transaction{kTable, {{key, "", 0, false}}, {}, {}};
  transaction.writes = {{key, LeadershipView::EncodeLeader(first), 0, false}};
  LOG(INFO) << "event=first_leader group=" << group
            << " primary=" << first.primary;
  m_store->Commit(transaction, kCallTimeout, [](const Result<uint64_t>&) {});
}

void LeadershipManager::ReportSilent(const GroupName& group) {
  StateOf(group).silent = true;
}

void LeadershipManager::ReportNotPrimary(const GroupName& group) {
  GroupState& state = StateOf(group);
  const GroupLeader& leader = m_view.Leader(group);
  if (state.not_primary || state.probing ||
      leader.phase != LeaderPhase::kOpen) {
    return;
  }
  state.probing = true;
  const uint64_t epoch = leader.epoch;
  m_groups->QueryStatus(
      group, leader.primary, kProbeTimeout,
      [this, group, epoch,
       alive = m_alive](const std::optional<TargetStatus>& status) {
        if (!*alive) {
          return;
        }
        GroupState& probed = StateOf(group);
        probed.probing = false;
        if (status && !status->primary && m_view.Leader(group).epoch == epoch) {
          probed.not_primary = true;
        }
      });
}

void LeadershipManager::ConsiderOpenLeader(const GroupName& group,
                                           const GroupLeader& leader) {
  GroupState& state = StateOf(group);
  const absl::Time now = m_loop->Now();
  bool listed = false;
  bool draining = false;
  for (const ListedTarget& target : m_groups->Targets(group)) {
    if (target.id == leader.primary) {
      listed = true;
      draining = target.draining;
    }
  }
  if (draining || state.not_primary) {
    state.unknown_since = std::min(state.unknown_since, now);
    if (now >= state.unknown_since + Stagger(group)) {
      state.unknown_since = absl::InfiniteFuture();
      StartChange(group, draining && !state.not_primary,
                  draining ? "draining" : "not_primary");
    }
    return;
  }
  state.unknown_since = absl::InfiniteFuture();
  AnswerVotes(group);
  const absl::Time contact = m_groups->LastContact(group, leader.primary);
  // An instance that could not use the primary before gives it time to answer.
  const absl::Time unanswered_since =
      std::max({contact, leader.seen, m_without_lease});
  const bool silent =
      (state.silent || !listed) && now - unanswered_since > kSilence;
  if (!silent) {
    if (now - contact <= kSilence) {
      state.silent = false;
    }
    return;
  }
  if (now - state.vote_cast > kVotePeriod) {
    state.vote_cast = now;
    CastVote(group, true, ++state.vote_round);
    return;
  }
  DecideVotes(group);
}

void LeadershipManager::CastVote(const GroupName& group,
                                 bool dead,
                                 uint64_t round) {
  GroupState& state = StateOf(group);
  const uint64_t epoch = m_view.Leader(group).epoch;
  state.vote_round = std::max(state.vote_round, round);
  LOG(INFO) << "event=vote group=" << group << " epoch=" << epoch
            << " dead=" << dead << " round=" << round;
  RowTransaction transaction{kTable, {}, {}, {}};
  transaction.writes = {{LeadershipView::VoteKey(group, m_settings.self),
                         LeadershipView::EncodeVote({epoch, round, dead}), 0,
                         false}};
  m_store->Commit(transaction, kCallTimeout, [](const Result<uint64_t>&) {});
}

void LeadershipManager::AnswerVotes(const GroupName& group) {
  GroupState& state = StateOf(group);
  const GroupLeader& leader = m_view.Leader(group);
  uint64_t asked = 0;
  for (const auto& [id, vote] : m_view.Votes(group)) {
    if (id != m_settings.self && vote.epoch == leader.epoch && vote.dead) {
      asked = std::max(asked, vote.round);
    }
  }
  if (state.vote_epoch != leader.epoch) {
    state.vote_epoch = leader.epoch;
    state.answered_round = 0;
    state.vote_round = 0;
  }
  const absl::Time now = m_loop->Now();
  if (asked <= state.answered_round || state.probing ||
      state.vote_round >= asked) {
    return;
  }
  if (now - m_groups->LastContact(group, leader.primary) < kProbeTimeout) {
    state.answered_round = asked;
    CastVote(group, false, asked);
    return;
  }
  state.probing = true;
  m_groups->QueryStatus(
      group, leader.primary, kProbeTimeout,
      [this, group, asked,
       alive = m_alive](const std::optional<TargetStatus>& status) {
        if (!*alive) {
          return;
        }
        GroupState& probed = StateOf(group);
        probed.probing = false;
        probed.answered_round = asked;
        const absl::Time answered = m_loop->Now();
        const bool dead =
            !status && answered - m_groups->LastContact(
                                      group, m_view.Leader(group).primary) >
                           kProbeTimeout;
        if (dead) {
          probed.silent = true;
          probed.vote_cast = answered;
        }
        CastVote(group, dead, asked);
      });
}

void LeadershipManager::DecideVotes(const GroupName& group) {
  GroupState& state = StateOf(group);
  const GroupLeader& leader = m_view.Leader(group);
  const absl::Time now = m_loop->Now();
  size_t dead = 0;
  size_t alive = 0;
  for (const auto& [id, vote] : m_view.Votes(group)) {
    if (vote.epoch == leader.epoch && m_view.Members().contains(id)) {
      dead += vote.dead ? 1 : 0;
      alive += !vote.dead && vote.round >= state.vote_round ? 1 : 0;
    }
  }
  const bool all_voted = dead + alive >= m_view.Members().size();
  if (dead == 0 || dead < alive ||
      (!all_voted && now < state.vote_cast + kVoteWindow)) {
    return;
  }
  const absl::Time turn = state.vote_cast +
                          (all_voted ? absl::ZeroDuration() : kVoteWindow) +
                          Stagger(group);
  if (now >= turn) {
    LOG(INFO) << "event=primary_dead group=" << group
              << " primary=" << leader.primary << " votes_dead=" << dead
              << " votes_alive=" << alive;
    StartChange(group, false, "silent");
  }
}

bool LeadershipManager::HolderGone(const InstanceId& holder,
                                   uint64_t incarnation) const {
  const auto member = m_view.Members().find(holder);
  return member == m_view.Members().end() ||
         member->second.incarnation != incarnation;
}

void LeadershipManager::ConsiderStuckChange(const GroupName& group,
                                            const GroupLeader& leader) {
  const bool gone = HolderGone(leader.holder, leader.holder_incarnation);
  const absl::Time due = leader.seen +
                         (gone ? absl::ZeroDuration() : kTakeoverAfter) +
                         Stagger(group);
  if (m_loop->Now() >= due) {
    StartChange(group, leader.planned, gone ? "holder_gone" : "holder_silent");
  }
}

// --- The change ------------------------------------------------------------

bool LeadershipManager::DutyFree() const {
  const DutyRow& duty = m_view.Duty();
  return duty.holder.empty() || duty.holder == m_settings.self ||
         HolderGone(duty.holder, duty.incarnation) ||
         m_loop->Now() > duty.seen + kTakeoverAfter;
}

LeadershipManager::Promotion* LeadershipManager::Current(const GroupName& group,
                                                         uint64_t attempt) {
  Promotion* const promotion = StateOf(group).promotion.get();
  return promotion != nullptr && promotion->attempt == attempt ? promotion
                                                               : nullptr;
}

void LeadershipManager::After(const GroupName& group,
                              uint64_t attempt,
                              absl::Duration delay,
                              void (LeadershipManager::*step)(const GroupName&,
                                                              uint64_t)) {
  Promotion* const promotion = Current(group, attempt);
  if (promotion != nullptr) {
    promotion->timer = m_loop->RunAfter(delay, [this, group, attempt, step]() {
      (this->*step)(group, attempt);
    });
  }
}

void LeadershipManager::EndChange(const GroupName& group) {
  StateOf(group).promotion.reset();
}

void LeadershipManager::RestartChange(const GroupName& group,
                                      uint64_t attempt,
                                      absl::Duration delay,
                                      const std::string& cause) {
  Promotion* const promotion = Current(group, attempt);
  if (promotion == nullptr) {
    return;
  }
  LOG(INFO) << "event=change_restarted group=" << group << " cause=\"" << cause
            << "\"";
  const bool planned = promotion->planned;
  EndChange(group);
  StateOf(group).restart_timer = m_loop->RunAfter(delay, [this, group,
                                                          planned]() {
    const GroupLeader& leader = m_view.Leader(group);
    if (!StateOf(group).promotion && leader.phase == LeaderPhase::kChanging &&
        leader.holder == m_settings.self && m_view.LeaseValid(m_loop->Now())) {
      StartChange(group, planned, "restart");
    }
  });
}

void LeadershipManager::StartChange(const GroupName& group,
                                    bool planned,
                                    const char* reason) {
  if (!DutyFree() || m_stopping) {
    return;
  }
  GroupState& state = StateOf(group);
  const GroupLeader& leader = m_view.Leader(group);
  state.promotion = std::make_unique<Promotion>();
  Promotion& promotion = *state.promotion;
  promotion.attempt = ++m_attempts;
  promotion.planned = planned;
  promotion.old_primary = leader.primary;
  promotion.epoch = leader.epoch + 1;
  promotion.published_before = m_loop->Now();
  if (leader.phase == LeaderPhase::kChanging) {
    // An earlier holder, or an earlier attempt, may have sent an order.
    promotion.order_pending_until = m_loop->Now() + kPromotionLimit;
  }
  GroupLeader next = leader;
  next.epoch = promotion.epoch;
  next.phase = LeaderPhase::kChanging;
  next.holder = m_settings.self;
  next.holder_incarnation = m_settings.incarnation;
  next.planned = planned;
  LOG(INFO) << "event=change_started group=" << group
            << " primary=" << leader.primary << " epoch=" << next.epoch
            << " reason=" << reason;
  const std::string leader_key = LeadershipView::LeaderKey(group);
  const std::string duty_key = LeadershipView::DutyKey();
  RowTransaction transaction{
      kTable,
      {{leader_key, "", leader.row_version, false},
       {duty_key, "", m_view.Duty().row_version, false}},
      {{leader_key, LeadershipView::EncodeLeader(next), 0, false},
       {duty_key,
        LeadershipView::EncodeDuty(
            {m_settings.self, m_settings.incarnation, 0, {}}),
        0, false}},
      {}};
  const uint64_t attempt = promotion.attempt;
  promotion.announcement = {leader_key, LeadershipView::EncodeLeader(next), 0,
                            false};
  m_store->Commit(
      transaction, kCallTimeout,
      [this, group, attempt, alive = m_alive](const Result<uint64_t>& result) {
        if (*alive) {
          OnChangePublished(group, attempt, result);
        }
      });
}

void LeadershipManager::OnChangePublished(const GroupName& group,
                                          uint64_t attempt,
                                          Result<uint64_t> result) {
  Promotion* const promotion = Current(group, attempt);
  if (promotion == nullptr) {
    return;
  }
  if (!Ok(result)) {
    // The row shows whether the change was published after all; a change of
    // this instance without a task is taken up again as a stuck one.
    LOG(INFO) << "event=change_not_published group=" << group << " cause=\""
              << ErrorOf(result).message << "\"";
    EndChange(group);
    return;
  }
  // Every change in progress uses the newest token, so that the tokens of
  // concurrent changes never fall.
  m_token = std::max(m_token, ValueOf(result));
  m_token_since = promotion->published_before;
  promotion->published = true;
  promotion->row_version = ValueOf(result);
  promotion->published_after = m_loop->Now();
  promotion->announcement.version = promotion->row_version;
  Announce(StoredRow(promotion->announcement));
  AwaitConfirmations(group, attempt);
}

void LeadershipManager::Announce(const StoredRow& row) {
  RowChanges own;
  own.rows = {row};
  ApplyRows(own);
  if (m_peers == nullptr) {
    return;
  }
  for (const auto& [id, member] : m_view.Members()) {
    if (id != m_settings.self) {
      m_peers->Vouch(member.peer_address,
                     {m_settings.self,
                      m_settings.incarnation,
                      m_view.LeadersVersion(),
                      {},
                      {row}},
                     kConfirmTimeout, [](const Result<VouchAnswer>&) {});
    }
  }
}

void LeadershipManager::AwaitConfirmations(const GroupName& group,
                                           uint64_t attempt) {
  Promotion* const promotion = Current(group, attempt);
  if (promotion == nullptr || promotion->quiesced) {
    return;
  }
  const absl::Time now = m_loop->Now();
  const std::vector<InstanceId> missing =
      m_view.Unconfirmed(group, promotion->epoch);
  // A member that joined before the announcement may not be in the view yet.
  const bool all_confirmed =
      missing.empty() && m_view.Version() >= promotion->row_version;
  absl::Time expiry = m_view.Leader(group).change_seen;
  for (const InstanceId& id : missing) {
    expiry = std::max(expiry, EndOfSilentUse(group, promotion, id, missing));
  }
  expiry += kLeaderLease + kLeaseMargin;
  if (!all_confirmed && now < expiry) {
    After(group, attempt, expiry - now, &LeadershipManager::AwaitConfirmations);
    return;
  }
  for (const InstanceId& id : missing) {
    if (id != m_settings.self) {
      promotion->expired_members[id] = m_view.Members().at(id).row_version;
    }
  }
  LOG(INFO) << "event=change_confirmed group=" << group
            << " epoch=" << promotion->epoch << " waited_ms="
            << absl::ToInt64Milliseconds(now - promotion->published_after)
            << " expired=" << absl::StrJoin(missing, ",");
  promotion->quiesced = true;
  promotion->collecting_since = now;
  CollectStatuses(group, attempt);
}

absl::Time LeadershipManager::EndOfSilentUse(
    const GroupName& group,
    Promotion* promotion,
    const InstanceId& silent,
    const std::vector<InstanceId>& missing) const {
  // Without the store, a silent member extends its lease by the word of all
  // members that it knows. It knows those whose rows stood in the table before
  // its own; from its confirmation on, one of them no longer agrees.
  const uint64_t since = m_view.Members().at(silent).row_version;
  const absl::Time change_seen = m_view.Leader(group).change_seen;
  const auto own = m_view.Members().find(m_settings.self);
  if (silent == m_settings.self ||
      (own != m_view.Members().end() && own->second.joined < since)) {
    return change_seen;
  }
  for (const auto& [id, member] : m_view.Members()) {
    const bool confirmed =
        std::find(missing.begin(), missing.end(), id) == missing.end();
    if (confirmed && id != m_settings.self && member.joined < since) {
      return promotion->witnessed.emplace(silent, m_loop->Now()).first->second;
    }
  }
  return change_seen + kUnanimityLimit;
}

void LeadershipManager::CollectStatuses(const GroupName& group,
                                        uint64_t attempt) {
  Promotion* const promotion = Current(group, attempt);
  if (promotion == nullptr) {
    return;
  }
  promotion->statuses.clear();
  promotion->old_status.reset();
  std::vector<TargetId> asked;
  for (const ListedTarget& target : m_groups->Targets(group)) {
    if (!promotion->rejected.contains(target.id) &&
        (!target.draining || target.id == promotion->old_primary)) {
      asked.push_back(target.id);
    }
  }
  promotion->statuses_pending = asked.size();
  if (asked.empty()) {
    promotion->rejected.clear();
    After(group, attempt, kStatusTimeout, &LeadershipManager::CollectStatuses);
    return;
  }
  for (const TargetId& id : asked) {
    m_groups->QueryStatus(
        group, id, kStatusTimeout,
        [this, group, attempt, id,
         alive = m_alive](const std::optional<TargetStatus>& status) {
          if (!*alive) {
            return;
          }
          Promotion* const pending = Current(group, attempt);
          if (pending == nullptr || pending->statuses_pending == 0) {
            return;
          }
          if (status && id == pending->old_primary) {
            pending->old_status = status;
          } else if (status) {
            pending->statuses[id] = *status;
          }
          if (--pending->statuses_pending == 0) {
            ChooseCandidate(group, attempt);
          }
        });
  }
}

void LeadershipManager::ChooseCandidate(const GroupName& group,
                                        uint64_t attempt) {
  Promotion* const promotion = Current(group, attempt);
  const absl::Time now = m_loop->Now();
  const TargetId* best = nullptr;
  Position best_position;
  uint64_t highest_term = 0;
  for (const auto& [id, status] : promotion->statuses) {
    highest_term = std::max(highest_term, status.term);
    if (best == nullptr || best_position < status.received) {
      best = &id;
      best_position = status.received;
    }
  }
  // An earlier holder's promotion may have taken effect. A deposed primary
  // still claims to lead in an older term.
  const uint64_t replaced_term = m_view.Leader(group).term;
  for (const auto& [id, status] : promotion->statuses) {
    if (status.primary && status.term >= highest_term &&
        status.term > replaced_term &&
        (!promotion->old_status || promotion->old_status->term < status.term)) {
      promotion->candidate = id;
      promotion->candidate_term = status.term;
      PublishLeader(group, attempt);
      return;
    }
  }
  // The old primary leads and nothing speaks against it: it stays.
  const bool old_leads = promotion->old_status &&
                         promotion->old_status->primary &&
                         promotion->old_status->term >= highest_term;
  if (!promotion->planned && old_leads &&
      now >= promotion->order_pending_until) {
    LOG(INFO) << "event=primary_kept group=" << group
              << " primary=" << promotion->old_primary;
    promotion->candidate = promotion->old_primary;
    promotion->candidate_term = promotion->old_status->term;
    PublishLeader(group, attempt);
    return;
  }
  // An order without an answer may take effect; a second candidate beside it
  // could be replaced by it.
  const auto ordered = promotion->statuses.find(promotion->candidate);
  if (ordered != promotion->statuses.end() &&
      now < promotion->order_pending_until) {
    best = &ordered->first;
    best_position = ordered->second.received;
  }
  const bool behind = best != nullptr && promotion->old_status &&
                      best_position < promotion->old_status->received;
  if (best == nullptr ||
      (behind && now < promotion->collecting_since + kCatchUpLimit)) {
    After(group, attempt, kStatusRetry, &LeadershipManager::CollectStatuses);
    return;
  }
  promotion->candidate = *best;
  LOG(INFO) << "event=candidate group=" << group << " target=" << *best
            << " term=" << best_position.term << " lsn=" << best_position.lsn
            << " candidates=" << promotion->statuses.size()
            << " behind=" << behind;
  SendPromotion(group, attempt);
}

void LeadershipManager::SendPromotion(const GroupName& group,
                                      uint64_t attempt) {
  Promotion* const promotion = Current(group, attempt);
  // Nobody takes the duty over before kTakeoverAfter.
  if (m_loop->Now() > m_token_since + kDutyLease ||
      m_view.Duty().row_version > m_token) {
    RestartChange(group, attempt, absl::ZeroDuration(), "duty lease is over");
    return;
  }
  promotion->promoted_at = m_loop->Now();
  promotion->order_pending_until =
      promotion->promoted_at + kPromoteTimeout + kPromotionLimit;
  m_promotions->Promote(
      group, promotion->candidate, m_settings.self, m_token, kPromoteTimeout,
      [this, group, attempt, alive = m_alive](const Status& status) {
        Promotion* const sent = *alive ? Current(group, attempt) : nullptr;
        if (sent == nullptr) {
          return;
        }
        LOG(INFO) << "event=promotion_ordered group=" << group
                  << " target=" << sent->candidate << " token=" << m_token
                  << " outcome=\""
                  << (Ok(status) ? "accepted" : ErrorOf(status).message)
                  << "\"";
        if (Ok(status)) {
          AwaitPrimary(group, attempt);
          return;
        }
        if (ErrorOf(status).kind == ErrorKind::kConflict) {
          sent->rejected.insert(sent->candidate);
        }
        After(group, attempt, kStatusRetry,
              &LeadershipManager::CollectStatuses);
      });
}

void LeadershipManager::AwaitPrimary(const GroupName& group, uint64_t attempt) {
  Promotion* const promotion = Current(group, attempt);
  if (promotion == nullptr) {
    return;
  }
  if (m_loop->Now() > promotion->promoted_at + kPromotionLimit) {
    RestartChange(group, attempt, absl::ZeroDuration(),
                  "the promotion took no effect");
    return;
  }
  m_groups->QueryStatus(
      group, promotion->candidate, kStatusTimeout,
      [this, group, attempt,
       alive = m_alive](const std::optional<TargetStatus>& status) {
        Promotion* const awaited = *alive ? Current(group, attempt) : nullptr;
        if (awaited == nullptr) {
          return;
        }
        if (status && status->primary) {
          awaited->candidate_term = status->term;
          PublishLeader(group, attempt);
          return;
        }
        After(group, attempt, kStatusRetry, &LeadershipManager::AwaitPrimary);
      });
}

void LeadershipManager::PublishLeader(const GroupName& group,
                                      uint64_t attempt) {
  Promotion* const promotion = Current(group, attempt);
  if (promotion == nullptr) {
    return;
  }
  const GroupLeader& changing = m_view.Leader(group);
  GroupLeader next;
  next.epoch = promotion->epoch + 1;
  next.phase = LeaderPhase::kOpen;
  next.primary = promotion->candidate;
  next.term = promotion->candidate_term;
  next.holder = m_settings.self;
  next.holder_incarnation = m_settings.incarnation;
  next.planned = promotion->planned;
  const std::string leader_key = LeadershipView::LeaderKey(group);
  const uint64_t version = changing.epoch == promotion->epoch
                               ? changing.row_version
                               : promotion->row_version;
  RowTransaction transaction{
      kTable, {{leader_key, "", version, false}}, {}, {}};
  transaction.writes = {
      {leader_key, LeadershipView::EncodeLeader(next), 0, false}};
  bool other_changes = false;
  for (const auto& [name, state] : m_states) {
    other_changes |= name != group && state->promotion != nullptr;
  }
  const std::string duty_key = LeadershipView::DutyKey();
  if (!other_changes && m_view.Duty().row_version <= m_token) {
    transaction.expected.push_back({duty_key, "", m_token, false});
    transaction.writes.push_back(
        {duty_key, LeadershipView::EncodeDuty({}), 0, false});
  }
  for (const auto& [id, row_version] : promotion->expired_members) {
    const std::string key = LeadershipView::MemberKey(id);
    transaction.expected.push_back({key, "", row_version, false});
    transaction.deletes.push_back(key);
  }
  m_store->Commit(
      transaction, kCallTimeout,
      [this, group, attempt, alive = m_alive](const Result<uint64_t>& result) {
        Promotion* const published = *alive ? Current(group, attempt) : nullptr;
        if (published == nullptr) {
          return;
        }
        if (Ok(result)) {
          LOG(INFO) << "event=change_done group=" << group
                    << " primary=" << published->candidate << " took_ms="
                    << absl::ToInt64Milliseconds(m_loop->Now() -
                                                 published->published_before);
          // The feed brings the row; the task ends with it.
          return;
        }
        published->expired_members.clear();
        if (ErrorOf(result).kind == ErrorKind::kConflict &&
            m_view.Leader(group).epoch > published->epoch) {
          EndChange(group);
          return;
        }
        After(group, attempt, kPollRetry, &LeadershipManager::PublishLeader);
      });
}

}  // namespace heatherwick
