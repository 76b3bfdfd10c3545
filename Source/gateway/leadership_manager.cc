// Polls the leadership rows, votes on unresponsive primaries, and carries out
// changes of primary step by step.

#include "Source/gateway/leadership_manager.h"

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "Source/base/hash.h"
#include "Source/gateway/promotion_limits.h"
#include "Source/gateway/store_version.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "glog/logging.h"

namespace heatherwick {

const char LeadershipManager::kTable[] = "heatherwick";

namespace {

// Each successful poll renews the lease; kLeaderLease leaves room for two
// failed polls in a row.
constexpr absl::Duration kLeadershipPollWait = absl::Milliseconds(600);
// Added to the wait. A store that is 60 times slower than its usual 4 ms still
// answers in time.
constexpr absl::Duration kPollAnswerTimeout = absl::Milliseconds(400);
constexpr absl::Duration kPollRetryDelay = absl::Milliseconds(100);
// A confirmation that the holder does not acknowledge within this time is
// written to the store instead.
constexpr absl::Duration kConfirmTimeout = absl::Milliseconds(300);
constexpr absl::Duration kTickPeriod = absl::Milliseconds(100);
// A vote is held on a primary that has answered nothing for this long. The
// slowest ordinary statement of a slowed database takes about 500 ms.
constexpr absl::Duration kUnresponsiveAfter = absl::Milliseconds(700);
// Members answer a vote immediately; members that take longer than this are not
// counted.
constexpr absl::Duration kVoteWindow = absl::Milliseconds(350);
// A vote that has not led to a change is repeated after this time.
constexpr absl::Duration kVoteRetryDelay = absl::Seconds(2);
// Members that vote on a primary. When all members did, each vote cost one
// write by each, 5,900 at the start of a fleet of 295 before 20 groups.
constexpr size_t kVoters = 9;
// Other members report an unresponsive primary only if nobody did within a part
// of this time, which is different for each.
constexpr absl::Duration kReportSpread = absl::Milliseconds(400);
// A primary that this instance has never seen listed counts as gone after this.
// The list of a starting fleet is complete only after seconds.
constexpr absl::Duration kUnlistedPrimaryTimeout = absl::Seconds(3);
// Keeps two instances from starting the same change at once.
constexpr absl::Duration kStaggerStep = absl::Milliseconds(250);
// Added to kLeaderLease because the store rounds its clock.
constexpr absl::Duration kLeaseMargin = absl::Milliseconds(100);
// How long a holder may order promotions with its fencing token. Longer than
// the lease and the collection of target statuses together.
constexpr absl::Duration kPromotionLockLease = absl::Milliseconds(4000);
// Other instances take over an unfinished change after this time. It covers
// kPromotionLockLease plus one call that the holder sent just before that lease
// ended.
constexpr absl::Duration kTakeoverAfter = absl::Milliseconds(5000);
// A member that did not answer whether it still runs is asked again after this.
constexpr absl::Duration kWitnessRetryDelay = absl::Seconds(1);
constexpr absl::Duration kStatusTimeout = absl::Milliseconds(400);
// How long a change waits for a replica to receive the old primary's whole log.
constexpr absl::Duration kCatchUpTimeout = absl::Milliseconds(1500);
constexpr absl::Duration kStatusRetryDelay = absl::Milliseconds(60);
// How long a change waits for a target that has followed the primary that is
// replaced. A change is to be over within 18 s.
constexpr absl::Duration kOutdatedLogTimeout = absl::Seconds(12);
// A planned change that found no safe candidate is tried again after this. The
// old primary serves until then.
constexpr absl::Duration kPlannedRetryDelay = absl::Seconds(4);
constexpr absl::Duration kStopTimeout = absl::Milliseconds(500);
// A member row shows that its instance knows every member whose row was in the
// table before it. A row needs to be newer than this many others, or all of
// them if they are fewer. Requiring more would cost one write by each member
// for each member that joins.
constexpr size_t kOlderMemberRowsRequired = 16;
// A member rewrites its row this long after it saw others join, so that one
// write covers all instances that start together.
constexpr absl::Duration kMemberRowRewriteDelay = absl::Milliseconds(500);
// The store executes the writes of all starting members one after another and
// rejects those that would wait too long, so that they are repeated after a
// delay that doubles, and differs between members.
constexpr absl::Duration kMemberRowRetryDelay = absl::Milliseconds(200);
constexpr int kMaxMemberRowDoublings = 4;
// After this time the rows of earlier eras are of no use: orders have ended,
// and instances that are still cut off are known from memory.
constexpr absl::Duration kEarlierRowsKept = absl::Seconds(60);
// In which the members of a new era register. Requests wait meanwhile, as no
// other instance could serve them.
constexpr absl::Duration kReregistrationTime = absl::Milliseconds(1500);
// An instance counts itself even before it has read its own member row.
constexpr size_t kMinMembers = 1;

// True if the member that is gone knew `other`, a present member. Versions of
// two eras say nothing about each other, so that the rows of its own era
// decide.
bool KnewMember(const DepartedMember& member,
                const InstanceId& other_id,
                const MemberRow& other) {
  if (member.era_members == nullptr) {
    return other.joined < member.row.row_version;
  }
  const auto known = member.era_members->find(other_id);
  return known != member.era_members->end() &&
         known->second.peer_address == other.peer_address &&
         known->second.joined < member.row.row_version;
}

}  // namespace

// A change of a group's primary that this instance carries out.
struct LeadershipManager::PrimaryChange {
  uint64_t attempt = 0;
  bool planned = false;
  TargetId old_primary;
  uint64_t epoch = 0;  // Epoch of the leader row that announces the change.
  absl::Time publication_sent_at;  // When the announcement was sent.
  absl::Time published_at;         // When the store confirmed it.
  bool published = false;          // The announcement is stored.
  uint64_t row_version = 0;        // Version of the stored announcement.
  StoredRow announcement;          // The leader row as published.
  bool quiesced = false;           // No member uses the old primary any more.
  absl::Time collecting_since = absl::InfiniteFuture();
  size_t statuses_pending = 0;
  std::optional<TargetStatus> old_status;
  std::map<TargetId, TargetStatus> statuses;
  // The targets as listed when the collection began.
  std::vector<ListedTarget> listed;
  // Version of the record of replicas from which the candidate was chosen, if
  // the choice depends on it; 0 if there was none.
  std::optional<uint64_t> replicas_version;
  // FindLeadingLog() of these statuses.
  std::optional<TargetId> leading_log;
  std::set<TargetId> rejected;  // The platform reported that they don't run.
  // What was last logged on why no target can be promoted.
  std::string logged_wait;
  bool waits_for_orders = false;  // This was logged.
  // Members that did not confirm before their leases expired, with the versions
  // of their member rows. Their rows are deleted at the end of the change.
  std::map<InstanceId, uint64_t> expired_members;
  // When each run of a member was first found to have confirmed this change.
  // From then on, and while that run lasts, members that know it cannot extend
  // their leases by unanimity.
  std::map<MemberRun, absl::Time> confirmed_since;
  // Those whose confirmations the wait for leases rests on. Before it ends,
  // each is asked whether it still runs.
  std::set<MemberRun> witnesses;
  std::set<MemberRun> verified_witnesses;
  std::set<MemberRun> lost_witnesses;  // Could not be verified.
  size_t verifications_pending = 0;
  TargetId candidate;
  Position candidate_log;       // End of its log when it was chosen.
  uint64_t candidate_term = 0;  // Set once the candidate is known to lead.
  // Highest term known when the promotion was ordered. The promoted target
  // leads in a higher one.
  uint64_t term_before_promotion = 0;
  absl::Time promotion_sent_at;
  // The candidate claimed to lead in `term_before_promotion` already, so that
  // the order changes nothing if the claim is true.
  bool candidate_claimed = false;
  // The orders of this and earlier attempts as recorded in the leader row. They
  // end at `orders_end`, but may then have had an effect that nobody saw.
  PendingOrders orders;
  absl::Time orders_end = absl::InfinitePast();
  // The orders had ended when the last collection of statuses began, so that
  // none of them took effect after a status was taken.
  bool orders_ended = false;
  // One of `orders` was seen to take effect.
  bool effect_seen = false;
  std::unique_ptr<Timer> timer;
};

struct LeadershipManager::GroupState {
  // This instance's Stagger() among the members of the era before.
  std::optional<absl::Duration> earlier_stagger;
  bool primary_unresponsive = false;
  // The primary answers that it is not the primary.
  bool primary_demoted = false;
  // When the need for a change was noticed. This instance acts once its
  // Stagger() has passed since then.
  absl::Time stagger_start = absl::InfiniteFuture();
  absl::Time vote_cast_at = absl::InfinitePast();
  uint64_t vote_round = 0;
  uint64_t answered_round = 0;
  uint64_t vote_epoch = 0;  // Leader epoch to which the rounds belong.
  // Epoch of the leader row whose primary this instance has seen listed.
  uint64_t listed_epoch = 0;
  std::vector<InstanceId> voters;
  uint64_t voters_revision = 0;  // Of the members from which voters was made.
  bool probing = false;
  std::unique_ptr<PrimaryChange> change;
  // A target that claimed to lead in this term, and still did when an order of
  // this instance for it had ended.
  std::optional<std::pair<TargetId, uint64_t>> confirmed_claim;
  std::unique_ptr<Timer> restart_timer;
  // Epoch of the newest change for which this instance began to quiesce.
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
      m_store(store, [this]() { return m_view.Era(); }),
      m_promotions(promotions),
      m_groups(groups),
      m_peers(peers),
      m_view(m_settings.self, m_settings.incarnation),
      m_peer_leases(
          m_settings.self,
          m_settings.incarnation,
          loop,
          peers,
          &m_view,
          [this](const RowChanges& changes) { ApplyRows(changes); },
          [this](uint64_t era) { OnEraOfPeer(era); }),
      m_first_leader(
          m_settings.self,
          m_settings.incarnation,
          loop,
          &m_store,
          groups,
          &m_view,
          kTable,
          [this](const GroupName& group) {
            m_replica_recorder.Update(group);
            return m_replica_recorder.Tracker(group).UnlistedHolders();
          },
          [this](const GroupName& group, const GroupLeader& claim) {
            // Nobody knows which targets were ordered before.
            StartChangeFrom(group, claim, {"", 1}, absl::InfinitePast(), false,
                            "no_leader_known");
          }),
      m_replica_recorder(loop,
                         &m_store,
                         groups,
                         &m_view,
                         kTable,
                         m_settings.log_wait_limit) {}

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
  // Once the member row is removed, changes no longer wait for this instance.
  m_view.RenounceLease();
  m_tick_timer.reset();
  // Others may order promotions as soon as the lock is released.
  m_promotions->DiscardUnsent();
  for (const auto& [group, state] : m_states) {
    state->change.reset();
    state->restart_timer.reset();
  }
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
    transaction.writes = {{LeadershipView::ConfirmationKey(m_settings.self),
                           LeadershipView::EncodeLeaving(m_settings.incarnation,
                                                         m_confirmed_epochs),
                           0, false}};
  }
  const PromotionLockRow& lock = m_view.PromotionLock();
  if (lock.holder == m_settings.self &&
      lock.incarnation == m_settings.incarnation) {
    const std::string key = LeadershipView::PromotionLockKey();
    transaction.expected.push_back({key, "", lock.row_version, false});
    transaction.writes.push_back(
        {key, LeadershipView::EncodePromotionLock({}), 0, false});
  }
  m_store.Commit(transaction, kStopTimeout,
                 [finish](const Result<uint64_t>&) { finish(); });
}

void LeadershipManager::WriteMemberRow() {
  if (m_writing_member_row || m_stopping ||
      m_loop->Now() < m_member_row_retry_at) {
    return;
  }
  m_writing_member_row = true;
  const std::string key = LeadershipView::MemberKey(m_settings.self);
  const auto existing = m_view.Members().find(m_settings.self);
  MemberRow row{m_settings.incarnation, m_settings.peer_address, 0, 0,
                m_settings.data_centre, m_settings.capacity};
  uint64_t existing_version = 0;
  const char* reason =
      m_view.Departed().contains(m_settings.self) ? "row_removed" : "joining";
  if (existing != m_view.Members().end()) {
    reason = m_view.OwnRowPresent() ? "members_joined" : "restarted";
    existing_version = existing->second.row_version;
    if (existing->second.peer_address == m_settings.peer_address) {
      row.joined = existing->second.joined;
    }
  }
  RowTransaction transaction{
      kTable, {{key, "", existing_version, false}}, {}, {}};
  transaction.writes = {{key, LeadershipView::EncodeMember(row), 0, false},
                        {LeadershipView::ConfirmationKey(m_settings.self),
                         LeadershipView::EncodeConfirmation(
                             m_settings.incarnation, m_confirmed_epochs),
                         0, false}};
  m_store.Commit(
      transaction, kStoreCallTimeout,
      [this, reason, alive = m_alive](const Result<uint64_t>& result) {
        if (!*alive) {
          return;
        }
        m_writing_member_row = false;
        if (Ok(result)) {
          m_member_row_failures = 0;
        } else if (ErrorOf(result).kind != ErrorKind::kConflict) {
          const uint64_t spread =
              StableHash(m_settings.self, ++m_member_row_failures) % 1000;
          m_member_row_retry_at =
              m_loop->Now() + kMemberRowRetryDelay *
                                  (1 << std::min(m_member_row_failures,
                                                 kMaxMemberRowDoublings)) *
                                  (0.5 + static_cast<double>(spread) / 1000);
        }
        LOG(INFO) << "event=member_registered instance=" << m_settings.self
                  << " reason=" << reason
                  << " outcome=" << (Ok(result) ? "done" : "failed");
      });
}

bool LeadershipManager::OwnRowNeedsRewrite() const {
  const uint64_t own = m_view.Members().at(m_settings.self).row_version;
  size_t older_rows = 0;
  for (const auto& [id, member] : m_view.Members()) {
    older_rows += member.joined < own && id != m_settings.self ? 1 : 0;
  }
  return older_rows <
         std::min(m_view.Members().size() - 1, kOlderMemberRowsRequired);
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
  if (m_table_loaded) {
    m_store.PollChanges(kTable, m_view.Version(), kLeadershipPollWait,
                        kLeadershipPollWait + kPollAnswerTimeout, done);
  } else {
    m_store.ReadTable(kTable, kStoreCallTimeout, done);
  }
}

void LeadershipManager::OnPolled(Result<RowChanges> polled) {
  if (!Ok(polled)) {
    const Error& error = ErrorOf(polled);
    m_replica_recorder.OnStoreUnavailable();
    if (error.kind == ErrorKind::kNotFound) {
      m_table_loaded = false;
      LOG(INFO) << "event=leadership_history_lost outcome=table_is_read";
      SchedulePoll(absl::ZeroDuration());
      return;
    }
    if (m_store_reachable) {
      m_store_reachable = false;
      LOG(WARNING) << "event=dependency_lost dependency=store cause=\""
                   << error.message << "\"";
    }
    SchedulePoll(kPollRetryDelay);
    return;
  }
  if (!m_store_reachable) {
    m_store_reachable = true;
    LOG(INFO) << "event=dependency_regained dependency=store version="
              << ValueOf(polled).version;
  }
  OnEra(EraOf(ValueOf(polled).version));
  if (EraOf(ValueOf(polled).version) < m_view.Era()) {
    // Another instance has not read the present era yet, or the store has not
    // reached the era that a peer named.
    if (ValueOf(polled).as_of > m_era_named_at) {
      LOG(WARNING) << "event=era_not_reached named=" << m_view.Era()
                   << " read=" << EraOf(ValueOf(polled).version);
      BeginEra(EraOf(ValueOf(polled).version));
    }
    SchedulePoll(kPollRetryDelay);
    return;
  }
  m_era_named_at = absl::InfiniteFuture();
  if (ValueOf(polled).version < m_view.Version()) {
    LOG(WARNING) << "event=store_version_decreased known=" << m_view.Version()
                 << " read=" << ValueOf(polled).version
                 << " whole_table=" << ValueOf(polled).snapshot;
  }
  m_table_loaded = m_table_loaded || ValueOf(polled).snapshot;
  if (!m_table_loaded) {
    SchedulePoll(absl::ZeroDuration());
    return;
  }
  ApplyRows(ValueOf(polled));
  if (!m_view.OwnRowPresent()) {
    WriteMemberRow();
  } else if (!m_member_row_timer && OwnRowNeedsRewrite()) {
    m_member_row_timer = m_loop->RunAfter(kMemberRowRewriteDelay, [this]() {
      m_member_row_timer.reset();
      WriteMemberRow();
    });
  }
  ContinueChanges();
  if (LeaseReturnsSoon()) {
    ProposeLeaders();
  }
  DeleteEarlierRows();
  SchedulePoll(absl::ZeroDuration());
}

void LeadershipManager::OnEra(uint64_t era) {
  if (era > m_view.Era()) {
    BeginEra(era);
  }
}

void LeadershipManager::OnEraOfPeer(uint64_t era) {
  if (era > m_view.Era() && era <= kMaxEra) {
    BeginEra(era);
    m_era_named_at = m_loop->Now();
  }
}

void LeadershipManager::BeginEra(uint64_t era) {
  m_era_named_at = absl::InfiniteFuture();
  const absl::Time now = m_loop->Now();
  const bool first = !m_table_loaded && m_view.Version() == 0;
  const bool lease_valid = m_view.LeaseValid(now);
  for (const auto& [group, state] : m_states) {
    // In-flight calls of the changes find that their attempts have ended.
    auto next = std::make_unique<GroupState>();
    next->earlier_stagger =
        m_view.Members().empty() ? state->earlier_stagger : Stagger(group);
    *state = std::move(*next);
  }
  const uint64_t previous = m_view.Era();
  const uint64_t version = m_view.Version();
  m_earlier_sharing_members = SharingMembers();
  m_view.BeginEra(era, now);
  m_first_leader.Reset();
  m_promotions->DiscardUnsent();
  m_confirmed_epochs.clear();
  m_table_loaded = false;
  m_member_row_timer.reset();
  m_member_row_failures = 0;
  m_member_row_retry_at = absl::InfinitePast();
  m_era_begun_at = first ? absl::InfinitePast() : now;
  m_eras_begun += first ? 0 : 1;
  LOG(INFO) << "event=store_era era=" << era << " previous=" << previous
            << " first=" << first << " known_version=" << VersionNumber(version)
            << " lease_valid=" << lease_valid;
  for (const GroupName& group : m_groups->Groups()) {
    const EarlierLeader* const earlier = m_view.Earlier(group);
    if (earlier != nullptr) {
      LOG(INFO) << "event=earlier_leader group=" << group
                << " primary=" << earlier->leader.primary
                << " term=" << earlier->leader.term
                << " epoch=" << earlier->leader.epoch
                << " proven=" << earlier->proven;
    }
    m_groups->OnLeaderChanged(group);
  }
}

bool LeadershipManager::LeaseReturnsSoon() const {
  return m_loop->Now() < m_era_begun_at + kReregistrationTime;
}

void LeadershipManager::ProposeLeaders() {
  if (!m_view.LeaseValid(m_loop->Now())) {
    return;
  }
  for (const GroupName& group : m_groups->Groups()) {
    if (m_view.Leader(group).phase == LeaderPhase::kUnknown) {
      CheckGroup(group);
    }
  }
}

void LeadershipManager::DeleteEarlierRows() {
  if (m_deleting_earlier_rows || m_stopping || m_view.EarlierRows().empty() ||
      m_loop->Now() < m_view.EraReadAt() + kEarlierRowsKept ||
      m_view.Members().empty() ||
      m_view.Members().begin()->first != m_settings.self) {
    return;
  }
  for (const GroupName& group : m_groups->Groups()) {
    if (m_view.Leader(group).phase == LeaderPhase::kUnknown) {
      return;  // The rows may be all that is known of its leader.
    }
    if (m_groups->SyncReplicas(group) > 0 &&
        m_view.EarlierReplicas(group) != nullptr &&
        m_view.Replicas(group) == nullptr) {
      return;  // Nor is its record of replicas written again yet.
    }
  }
  m_deleting_earlier_rows = true;
  m_store.DeleteEarlierRows(
      kTable, m_view.EarlierRows(), kStoreCallTimeout,
      [this, alive = m_alive](const Result<uint64_t>& result) {
        if (!*alive) {
          return;
        }
        m_deleting_earlier_rows = false;
        LOG(INFO) << "event=earlier_rows_deleted outcome="
                  << (Ok(result) ? "done" : "failed");
      });
}

void LeadershipManager::ApplyRows(const RowChanges& changes) {
  for (const GroupName& group : m_view.Apply(changes, m_loop->Now())) {
    OnLeaderRow(group);
  }
}

VouchResponse LeadershipManager::Vouch(const VouchQuery& query) {
  OnEraOfPeer(EraOf(query.leaders_version));
  if (!query.announced.empty()) {
    RowChanges announced;
    announced.rows = query.announced;
    ApplyRows(announced);
  }
  // Epochs of different eras have nothing in common.
  if (!query.confirmed.empty() &&
      EraOf(query.leaders_version) == m_view.Era()) {
    m_view.RecordConfirmation(query.instance, query.incarnation,
                              query.confirmed);
    ContinueChanges();
  }
  const bool changing = std::any_of(
      m_states.begin(), m_states.end(),
      [](const auto& state) { return state.second->change != nullptr; });
  return m_peer_leases.Answer(query, m_store_reachable, changing);
}

void LeadershipManager::ContinueChanges() {
  for (auto& [group, state] : m_states) {
    PrimaryChange* const change = state->change.get();
    if (change != nullptr && change->published) {
      AwaitConfirmations(group, change->attempt);
    }
  }
}

bool LeadershipManager::MembersRegisterAgain() const {
  return LeaseReturnsSoon() ||
         (m_eras_begun > 0 && m_view.EraReadAt() == absl::InfinitePast());
}

std::map<InstanceId, MemberRow> LeadershipManager::SharingMembers() const {
  std::map<InstanceId, MemberRow> members = m_view.Members();
  if (MembersRegisterAgain()) {
    members.insert(m_earlier_sharing_members.begin(),
                   m_earlier_sharing_members.end());
  }
  return members;
}

const MemberRow* LeadershipManager::SharingMember(const InstanceId& id) const {
  const auto member = m_view.Members().find(id);
  if (member != m_view.Members().end()) {
    return &member->second;
  }
  const auto earlier = m_earlier_sharing_members.find(id);
  return MembersRegisterAgain() && earlier != m_earlier_sharing_members.end()
             ? &earlier->second
             : nullptr;
}

uint64_t LeadershipManager::SharingRevision() const {
  return 2 * m_view.MembersRevision() + (MembersRegisterAgain() ? 1 : 0);
}

size_t LeadershipManager::MemberCount() const {
  return std::max(kMinMembers, MembersRegisterAgain()
                                   ? SharingMembers().size()
                                   : m_view.Members().size());
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
  // No promotion is ordered before this instance has confirmed the change or
  // its earlier lease has expired.
  const auto confirmed = m_confirmed_epochs.find(group);
  return leader.phase == LeaderPhase::kOpen ||
         (m_loop->Now() < leader.usable_until &&
          (confirmed == m_confirmed_epochs.end() ||
           confirmed->second < leader.change_epoch));
}

void LeadershipManager::OnLeaderRow(const GroupName& group) {
  const GroupLeader leader = m_view.Leader(group);
  GroupState& state = StateOf(group);
  state.primary_unresponsive = false;
  state.primary_demoted = false;
  state.vote_cast_at = absl::InfinitePast();
  if (leader.phase == LeaderPhase::kOpen || leader.holder != m_settings.self) {
    state.confirmed_claim.reset();
  }
  LOG(INFO) << "event=leader_row group=" << group << " epoch=" << leader.epoch
            << " phase="
            << (leader.phase == LeaderPhase::kOpen ? "open" : "changing")
            << " primary=" << leader.primary << " term=" << leader.term
            << " holder=" << leader.holder
            << " era=" << EraOf(leader.row_version)
            << " version=" << VersionNumber(leader.row_version)
            << " table_version=" << VersionNumber(m_view.Version())
            << " lease_from=" << LeaseSourceName(m_view.Source())
            << " lease_age_ms="
            << absl::ToInt64Milliseconds(m_loop->Now() - m_view.AsOf());
  PrimaryChange* const change = state.change.get();
  if (change != nullptr && change->published && leader.epoch > change->epoch) {
    EndChange(group);
  }
  m_groups->OnLeaderChanged(group);
  // The record of an order does not start a new epoch.
  if (leader.phase == LeaderPhase::kChanging &&
      leader.epoch != state.quiescing_epoch) {
    state.quiescing_epoch = leader.epoch;
    const uint64_t epoch = leader.epoch;
    m_groups->Quiesce(
        group, leader.planned,
        [this, group, epoch, era = m_view.Era(), alive = m_alive]() {
          // Epochs begin anew with each era.
          if (*alive && m_view.Era() == era) {
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
  m_view.RecordConfirmation(m_settings.self, m_settings.incarnation,
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
  // Sends the confirmation to the holder directly, which also works while this
  // instance cannot write to the store. If that fails, it is written as a row.
  m_peers->Vouch(
      member->second.peer_address,
      {m_settings.self,
       m_settings.incarnation,
       m_view.Version(),
       m_confirmed_epochs,
       {}},
      kConfirmTimeout,
      [this, holder, alive = m_alive](const Result<VouchResponse>& answer) {
        if (*alive && (!Ok(answer) || ValueOf(answer).responder != holder)) {
          WriteConfirmation();
        }
      });
}

void LeadershipManager::WriteConfirmation() {
  if (m_writing_confirmation) {
    m_write_confirmation_again = true;
    return;
  }
  m_writing_confirmation = true;
  m_write_confirmation_again = false;
  RowTransaction transaction{kTable, {}, {}, {}};
  transaction.writes = {{LeadershipView::ConfirmationKey(m_settings.self),
                         LeadershipView::EncodeConfirmation(
                             m_settings.incarnation, m_confirmed_epochs),
                         0, false}};
  m_store.Commit(transaction, kStoreCallTimeout,
                 [this, alive = m_alive](const Result<uint64_t>& result) {
                   if (!*alive) {
                     return;
                   }
                   m_writing_confirmation = false;
                   if (m_write_confirmation_again || !Ok(result)) {
                     m_write_confirmation_again = false;
                     m_loop->Post([this, alive]() {
                       if (*alive) {
                         WriteConfirmation();
                       }
                     });
                   }
                 });
}

// --- Failure detection and votes -------------------------------------------

void LeadershipManager::Tick() {
  m_tick_timer = m_loop->RunAfter(kTickPeriod, [this]() { Tick(); });
  m_peer_leases.Tick();
  const bool lease_valid = m_view.LeaseValid(m_loop->Now());
  LogLease(lease_valid);
  if (!lease_valid) {
    m_last_without_lease = m_loop->Now();
    return;
  }
  for (const GroupName& group : m_groups->Groups()) {
    CheckGroup(group);
  }
}

void LeadershipManager::LogLease(bool valid) {
  const absl::Time now = m_loop->Now();
  if (m_had_lease && !valid) {
    LOG(WARNING) << "event=lease_lost lease_from="
                 << LeaseSourceName(m_view.Source()) << " lease_age_ms="
                 << absl::ToInt64Milliseconds(now - m_view.AsOf())
                 << " store_read_ms_ago="
                 << absl::ToInt64Milliseconds(now - m_view.LastStoreRead())
                 << " own_row=" << m_view.OwnRowPresent() << " peers=\""
                 << m_peer_leases.DescribeLastRound() << "\"";
    ++m_leases_lost;
    m_lease_lost_at = now;
  } else if (!m_had_lease && valid && m_lease_lost_at != absl::InfinitePast()) {
    LOG(INFO) << "event=lease_regained lease_from="
              << LeaseSourceName(m_view.Source()) << " after_ms="
              << absl::ToInt64Milliseconds(now - m_lease_lost_at)
              << " own_row_version="
              << VersionNumber(
                     m_view.Members().at(m_settings.self).row_version);
  }
  m_had_lease = valid;
}

void LeadershipManager::CheckGroup(const GroupName& group) {
  const GroupLeader& leader = m_view.Leader(group);
  m_replica_recorder.Update(group);
  m_replica_recorder.Maintain(group, Stagger(group));
  if (StateOf(group).change) {
    return;
  }
  switch (leader.phase) {
    case LeaderPhase::kUnknown:
      m_first_leader.Propose(
          group, StateOf(group).earlier_stagger.value_or(Stagger(group)));
      break;
    case LeaderPhase::kOpen:
      CheckOpenLeader(group, leader);
      break;
    case LeaderPhase::kChanging:
      CheckStuckChange(group, leader);
      break;
  }
}

const std::vector<InstanceId>& LeadershipManager::Voters(
    const GroupName& group) {
  GroupState& state = StateOf(group);
  if (!state.voters.empty() &&
      state.voters_revision == m_view.MembersRevision()) {
    return state.voters;
  }
  // Members with more capacity come first, because the holder of a change
  // exchanges messages with all members.
  using Ranked = std::tuple<int64_t, uint64_t, InstanceId>;
  std::vector<Ranked> ranked;
  const uint64_t seed = StableHash(group);
  for (const auto& [id, member] : m_view.Members()) {
    ranked.emplace_back(-static_cast<int64_t>(member.capacity),
                        StableHash(id, seed), id);
  }
  const size_t count = std::min(kVoters, ranked.size());
  std::partial_sort(ranked.begin(),
                    ranked.begin() + static_cast<ptrdiff_t>(count),
                    ranked.end());
  state.voters.clear();
  for (size_t index = 0; index < count; ++index) {
    state.voters.push_back(std::get<InstanceId>(ranked[index]));
  }
  state.voters_revision = m_view.MembersRevision();
  return state.voters;
}

bool LeadershipManager::IsVoter(const GroupName& group) {
  const std::vector<InstanceId>& voters = Voters(group);
  return std::find(voters.begin(), voters.end(), m_settings.self) !=
         voters.end();
}

absl::Duration LeadershipManager::Stagger(const GroupName& group) {
  const std::vector<InstanceId>& voters = Voters(group);
  const auto own = std::find(voters.begin(), voters.end(), m_settings.self);
  const size_t rank =
      own != voters.end()
          ? static_cast<size_t>(own - voters.begin())
          : kVoters + StableHash(m_settings.self, StableHash(group)) % kVoters;
  return static_cast<int64_t>(rank) * kStaggerStep;
}

void LeadershipManager::ReportUnresponsivePrimary(const GroupName& group) {
  StateOf(group).primary_unresponsive = true;
}

void LeadershipManager::ReportDemotedPrimary(const GroupName& group) {
  GroupState& state = StateOf(group);
  const GroupLeader& leader = m_view.Leader(group);
  if (state.primary_demoted || state.probing ||
      leader.phase != LeaderPhase::kOpen) {
    return;
  }
  state.probing = true;
  const uint64_t epoch = leader.epoch;
  m_groups->QueryStatus(
      group, leader.primary, kProbeTimeout,
      [this, group, epoch, era = m_view.Era(),
       alive = m_alive](const std::optional<TargetStatus>& status) {
        if (!*alive || m_view.Era() != era) {
          return;
        }
        GroupState& probed = StateOf(group);
        probed.probing = false;
        if (status && !status->primary && m_view.Leader(group).epoch == epoch) {
          probed.primary_demoted = true;
        }
      });
}

void LeadershipManager::CheckOpenLeader(const GroupName& group,
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
  if (draining || state.primary_demoted) {
    state.stagger_start = std::min(state.stagger_start, now);
    // A planned change may just have ended with the same primary.
    const bool ended_recently = leader.planned &&
                                m_groups->SyncReplicas(group) > 0 &&
                                now < leader.seen + kPlannedRetryDelay;
    // The change could order nothing before these orders have ended.
    const bool orders_pending =
        leader.orders.count > 0 &&
        now < leader.orders_seen + kRecordedOrderLifetime;
    const bool retry_later =
        !state.primary_demoted && (ended_recently || orders_pending);
    if (now >= state.stagger_start + Stagger(group) && !retry_later) {
      state.stagger_start = absl::InfiniteFuture();
      StartChange(group, draining && !state.primary_demoted,
                  draining ? "draining" : "not_primary");
    }
    return;
  }
  state.stagger_start = absl::InfiniteFuture();
  AnswerVoteRequests(group);
  const absl::Time last_contact = m_groups->LastContact(group, leader.primary);
  // An instance that had no lease could not query the primary, so it gives the
  // primary time to answer.
  const absl::Time unanswered_since =
      std::max({last_contact, leader.seen, m_last_without_lease});
  if (listed) {
    state.listed_epoch = leader.epoch;
  }
  const bool gone =
      !listed && (state.listed_epoch == leader.epoch ||
                  now - unanswered_since > kUnlistedPrimaryTimeout);
  const bool unresponsive = (state.primary_unresponsive || gone) &&
                            now - unanswered_since > kUnresponsiveAfter;
  if (!unresponsive) {
    if (now - last_contact <= kUnresponsiveAfter) {
      state.primary_unresponsive = false;
    }
    return;
  }
  if (now - state.vote_cast_at > kVoteRetryDelay) {
    if (!ShouldReportPrimary(group, leader, unanswered_since)) {
      return;
    }
    state.vote_cast_at = now;
    CastVote(group, true, ++state.vote_round);
    return;
  }
  CountVotes(group);
}

bool LeadershipManager::ShouldReportPrimary(const GroupName& group,
                                            const GroupLeader& leader,
                                            absl::Time unresponsive_since) {
  if (IsVoter(group)) {
    return true;
  }
  for (const auto& [id, vote] : m_view.Votes(group)) {
    if (vote.epoch == leader.epoch && vote.dead) {
      return false;
    }
  }
  const double spread =
      static_cast<double>(StableHash(m_settings.self, leader.epoch) % 1000) /
      1000;
  return m_loop->Now() - unresponsive_since >
         kUnresponsiveAfter + spread * kReportSpread;
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
  m_store.Commit(transaction, kStoreCallTimeout,
                 [](const Result<uint64_t>&) {});
}

void LeadershipManager::AnswerVoteRequests(const GroupName& group) {
  if (!IsVoter(group)) {
    return;
  }
  GroupState& state = StateOf(group);
  const GroupLeader& leader = m_view.Leader(group);
  uint64_t requested_round = 0;
  for (const auto& [id, vote] : m_view.Votes(group)) {
    if (id != m_settings.self && vote.epoch == leader.epoch && vote.dead) {
      requested_round = std::max(requested_round, vote.round);
    }
  }
  if (state.vote_epoch != leader.epoch) {
    state.vote_epoch = leader.epoch;
    state.answered_round = 0;
    state.vote_round = 0;
  }
  const absl::Time now = m_loop->Now();
  if (requested_round <= state.answered_round || state.probing ||
      state.vote_round >= requested_round) {
    return;
  }
  if (now - m_groups->LastContact(group, leader.primary) < kProbeTimeout) {
    state.answered_round = requested_round;
    CastVote(group, false, requested_round);
    return;
  }
  state.probing = true;
  m_groups->QueryStatus(
      group, leader.primary, kProbeTimeout,
      [this, group, requested_round, era = m_view.Era(),
       alive = m_alive](const std::optional<TargetStatus>& status) {
        if (!*alive || m_view.Era() != era) {
          return;
        }
        GroupState& probed = StateOf(group);
        probed.probing = false;
        probed.answered_round = requested_round;
        const absl::Time answered = m_loop->Now();
        const bool dead =
            !status && answered - m_groups->LastContact(
                                      group, m_view.Leader(group).primary) >
                           kProbeTimeout;
        if (dead) {
          probed.primary_unresponsive = true;
          probed.vote_cast_at = answered;
        }
        CastVote(group, dead, requested_round);
      });
}

void LeadershipManager::CountVotes(const GroupName& group) {
  GroupState& state = StateOf(group);
  const GroupLeader& leader = m_view.Leader(group);
  const absl::Time now = m_loop->Now();
  size_t dead = 0;
  size_t alive = 0;
  absl::Duration stagger = Stagger(group);
  const std::map<InstanceId, Vote>& votes = m_view.Votes(group);
  for (const InstanceId& id : Voters(group)) {
    if (id == m_settings.self) {
      // Voters that reach the primary do not start the change.
      stagger = static_cast<int64_t>(dead) * kStaggerStep;
    }
    const auto vote = votes.find(id);
    if (vote != votes.end() && vote->second.epoch == leader.epoch) {
      dead += vote->second.dead ? 1 : 0;
      alive +=
          !vote->second.dead && vote->second.round >= state.vote_round ? 1 : 0;
    }
  }
  const bool all_voted = dead + alive >= Voters(group).size();
  if (dead + alive == 0 && now >= state.vote_cast_at + kVoteWindow) {
    // No voter answers, so that this instance's own observation decides.
    dead = 1;
  }
  if (dead == 0 || dead < alive ||
      (!all_voted && now < state.vote_cast_at + kVoteWindow)) {
    return;
  }
  const absl::Time start_at = state.vote_cast_at +
                              (all_voted ? absl::ZeroDuration() : kVoteWindow) +
                              stagger;
  if (now >= start_at && CanTakePromotionLock()) {
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

void LeadershipManager::CheckStuckChange(const GroupName& group,
                                         const GroupLeader& leader) {
  const bool gone = HolderGone(leader.holder, leader.holder_incarnation);
  const absl::Time start_at = leader.seen +
                              (gone ? absl::ZeroDuration() : kTakeoverAfter) +
                              Stagger(group);
  if (m_loop->Now() >= start_at) {
    StartChange(group, leader.planned, gone ? "holder_gone" : "holder_silent");
  }
}

// --- Changes of primary ----------------------------------------------------

bool LeadershipManager::CanTakePromotionLock() const {
  const PromotionLockRow& lock = m_view.PromotionLock();
  return lock.holder.empty() || lock.holder == m_settings.self ||
         HolderGone(lock.holder, lock.incarnation) ||
         m_loop->Now() > lock.seen + kTakeoverAfter;
}

LeadershipManager::PrimaryChange* LeadershipManager::FindChange(
    const GroupName& group,
    uint64_t attempt) {
  PrimaryChange* const change = StateOf(group).change.get();
  return change != nullptr && change->attempt == attempt ? change : nullptr;
}

void LeadershipManager::RunStepAfter(
    const GroupName& group,
    uint64_t attempt,
    absl::Duration delay,
    void (LeadershipManager::*step)(const GroupName&, uint64_t)) {
  PrimaryChange* const change = FindChange(group, attempt);
  if (change != nullptr) {
    change->timer = m_loop->RunAfter(delay, [this, group, attempt, step]() {
      (this->*step)(group, attempt);
    });
  }
}

void LeadershipManager::EndChange(const GroupName& group) {
  StateOf(group).change.reset();
}

void LeadershipManager::RestartChange(const GroupName& group,
                                      uint64_t attempt,
                                      absl::Duration delay,
                                      const std::string& cause) {
  PrimaryChange* const change = FindChange(group, attempt);
  if (change == nullptr) {
    return;
  }
  LOG(INFO) << "event=change_restarted group=" << group << " cause=\"" << cause
            << "\"";
  const bool planned = change->planned;
  EndChange(group);
  StateOf(group).restart_timer = m_loop->RunAfter(delay, [this, group,
                                                          planned]() {
    const GroupLeader& leader = m_view.Leader(group);
    if (!StateOf(group).change && leader.phase == LeaderPhase::kChanging &&
        leader.holder == m_settings.self && m_view.LeaseValid(m_loop->Now())) {
      StartChange(group, planned, "restart");
    }
  });
}

void LeadershipManager::StartChange(const GroupName& group,
                                    bool planned,
                                    const char* reason) {
  const GroupLeader& leader = m_view.Leader(group);
  StartChangeFrom(group, leader, leader.orders,
                  leader.orders_seen + kRecordedOrderLifetime, planned, reason);
}

void LeadershipManager::StartChangeFrom(const GroupName& group,
                                        const GroupLeader& leader,
                                        const PendingOrders& orders,
                                        absl::Time orders_end,
                                        bool planned,
                                        const char* reason) {
  if (!CanTakePromotionLock() || m_stopping) {
    return;
  }
  GroupState& state = StateOf(group);
  state.change = std::make_unique<PrimaryChange>();
  PrimaryChange& change = *state.change;
  change.attempt = ++m_attempts;
  change.planned = planned;
  change.old_primary = leader.primary;
  change.epoch = leader.epoch + 1;
  change.publication_sent_at = m_loop->Now();
  change.orders = orders;
  change.orders_end = orders_end;
  GroupLeader next = leader;
  next.orders = orders;
  next.epoch = change.epoch;
  next.phase = LeaderPhase::kChanging;
  next.holder = m_settings.self;
  next.holder_incarnation = m_settings.incarnation;
  next.planned = planned;
  LOG(INFO) << "event=change_started group=" << group
            << " primary=" << leader.primary << " epoch=" << next.epoch
            << " reason=" << reason;
  const std::string leader_key = LeadershipView::LeaderKey(group);
  const std::string lock_key = LeadershipView::PromotionLockKey();
  RowTransaction transaction{
      kTable,
      {{leader_key, "", m_view.Leader(group).row_version, false},
       {lock_key, "", m_view.PromotionLock().row_version, false}},
      {{leader_key, LeadershipView::EncodeLeader(next), 0, false},
       {lock_key,
        LeadershipView::EncodePromotionLock(
            {m_settings.self, m_settings.incarnation, 0, {}}),
        0, false}},
      {}};
  const uint64_t attempt = change.attempt;
  change.announcement = {leader_key, LeadershipView::EncodeLeader(next), 0,
                         false};
  m_store.Commit(
      transaction, kStoreCallTimeout,
      [this, group, attempt, alive = m_alive](const Result<uint64_t>& result) {
        if (*alive) {
          OnChangePublished(group, attempt, result);
        }
      });
}

void LeadershipManager::OnChangePublished(const GroupName& group,
                                          uint64_t attempt,
                                          Result<uint64_t> result) {
  PrimaryChange* const change = FindChange(group, attempt);
  if (change == nullptr) {
    return;
  }
  if (!Ok(result)) {
    // If the change was published after all, the leader row will show it, and
    // CheckStuckChange() resumes it.
    LOG(INFO) << "event=change_not_published group=" << group << " cause=\""
              << ErrorOf(result).message << "\"";
    EndChange(group);
    return;
  }
  // All changes in progress use the newest token, so that the tokens of
  // concurrent changes never decrease.
  m_token = std::max(m_token, ValueOf(result));
  m_token_requested_at = change->publication_sent_at;
  change->published = true;
  change->row_version = ValueOf(result);
  change->published_at = m_loop->Now();
  change->announcement.version = change->row_version;
  Announce(StoredRow(change->announcement));
  AwaitConfirmations(group, attempt);
}

void LeadershipManager::Announce(const StoredRow& row) {
  RowChanges own;
  own.rows = {row};
  ApplyRows(own);
  if (m_peers == nullptr) {
    return;
  }
  const VouchQuery query{
      m_settings.self, m_settings.incarnation, m_view.Version(), {}, {row}};
  const auto announce_to = [this, &query](const MemberRow& member) {
    m_peers->Vouch(member.peer_address, query, kConfirmTimeout,
                   [](const Result<VouchResponse>&) {});
  };
  for (const auto& [id, member] : m_view.Members()) {
    if (id != m_settings.self) {
      announce_to(member);
    }
  }
  for (const auto& [id, departed] : m_view.Departed()) {
    if (!departed.row.peer_address.empty()) {
      announce_to(departed.row);
    }
  }
}

void LeadershipManager::AwaitConfirmations(const GroupName& group,
                                           uint64_t attempt) {
  PrimaryChange* const change = FindChange(group, attempt);
  if (change == nullptr || change->quiesced ||
      change->verifications_pending > 0) {
    return;
  }
  const absl::Time now = m_loop->Now();
  change->witnesses.clear();
  const std::vector<InstanceId> missing =
      m_view.Unconfirmed(group, change->epoch);
  // Until the view includes the announcement's version, it may lack a member
  // that joined before the announcement.
  const bool all_confirmed =
      missing.empty() && m_view.Version() >= change->row_version;
  absl::Time expiry = m_view.Leader(group).change_seen;
  for (const InstanceId& id : missing) {
    const uint64_t row_version = m_view.Members().at(id).row_version;
    expiry = std::max(
        expiry, EndOfLeaseRenewals(
                    group, change, id, missing,
                    [row_version](const InstanceId&, const MemberRow& other) {
                      return other.joined < row_version;
                    }));
  }
  expiry += kLeaderLease + kLeaseMargin;
  if (all_confirmed) {
    expiry = absl::InfinitePast();
  }
  expiry = std::max(expiry, EndOfDepartedLeases(group, change, missing));
  if (now < expiry) {
    if (change->lost_witnesses.empty()) {
      RunStepAfter(group, attempt, expiry - now,
                   &LeadershipManager::AwaitConfirmations);
    } else {
      RunStepAfter(group, attempt, std::min(expiry - now, kWitnessRetryDelay),
                   &LeadershipManager::RetryWitnesses);
    }
    return;
  }
  if (m_peers != nullptr &&
      !std::includes(change->verified_witnesses.begin(),
                     change->verified_witnesses.end(),
                     change->witnesses.begin(), change->witnesses.end())) {
    VerifyWitnesses(group, attempt);
    return;
  }
  // A later attempt may find the leases over before a live member could confirm
  // it. That member's row must stay: it is the only sign for other changes to
  // wait for its lease, which covers all groups.
  const bool gave_time = now >= change->published_at + kLeaderLease;
  for (const InstanceId& id : missing) {
    if (gave_time && id != m_settings.self) {
      change->expired_members[id] = m_view.Members().at(id).row_version;
    }
  }
  LOG(INFO) << "event=change_confirmed group=" << group
            << " epoch=" << change->epoch << " waited_ms="
            << absl::ToInt64Milliseconds(now - change->published_at)
            << " unconfirmed=" << absl::StrJoin(missing, ",");
  change->quiesced = true;
  change->collecting_since = now;
  CollectStatuses(group, attempt);
}

void LeadershipManager::VerifyWitnesses(const GroupName& group,
                                        uint64_t attempt) {
  PrimaryChange* const change = FindChange(group, attempt);
  std::vector<MemberRun> asked;
  std::set_difference(change->witnesses.begin(), change->witnesses.end(),
                      change->verified_witnesses.begin(),
                      change->verified_witnesses.end(),
                      std::back_inserter(asked));
  change->verifications_pending = asked.size();
  const VouchQuery query{
      m_settings.self, m_settings.incarnation, m_view.Version(), {}, {}};
  for (const MemberRun& witness : asked) {
    m_peers->Vouch(
        m_view.Members().at(witness.first).peer_address, query, kConfirmTimeout,
        [this, group, attempt, witness,
         alive = m_alive](const Result<VouchResponse>& answer) {
          PrimaryChange* const asking =
              *alive ? FindChange(group, attempt) : nullptr;
          if (asking == nullptr) {
            return;
          }
          const bool runs =
              Ok(answer) &&
              witness == MemberRun(ValueOf(answer).responder,
                                   ValueOf(answer).responder_incarnation);
          (runs ? asking->verified_witnesses : asking->lost_witnesses)
              .insert(witness);
          LOG(INFO) << "event=witness_asked group=" << group
                    << " member=" << witness.first
                    << " outcome=" << (runs ? "runs" : "lost");
          if (--asking->verifications_pending == 0) {
            AwaitConfirmations(group, attempt);
          }
        });
  }
}

void LeadershipManager::RetryWitnesses(const GroupName& group,
                                       uint64_t attempt) {
  PrimaryChange* const change = FindChange(group, attempt);
  if (change != nullptr) {
    change->lost_witnesses.clear();
    AwaitConfirmations(group, attempt);
  }
}

absl::Time LeadershipManager::EndOfDepartedLeases(
    const GroupName& group,
    PrimaryChange* change,
    const std::vector<InstanceId>& missing) const {
  // Members whose rows were removed before this instance read the table may
  // have leases, too.
  absl::Time renewals_end = m_view.TableReadAt();
  for (const auto& [id, departed] : m_view.Departed()) {
    if (!m_view.HasConfirmed(id, departed.row.incarnation, group,
                             change->epoch)) {
      renewals_end = std::max(
          {renewals_end, departed.seen,
           EndOfLeaseRenewals(group, change, id, missing,
                              [&member = departed](const InstanceId& other_id,
                                                   const MemberRow& other) {
                                return KnewMember(member, other_id, other);
                              })});
    }
  }
  return renewals_end + kLeaderLease + kLeaseMargin;
}

absl::Time LeadershipManager::EndOfLeaseRenewals(
    const GroupName& group,
    PrimaryChange* change,
    const InstanceId& unresponsive,
    const std::vector<InstanceId>& missing,
    const std::function<bool(const InstanceId&, const MemberRow&)>& known_to_it)
    const {
  // Without the store, an unresponsive member extends its lease if all members
  // that it knows agree. It knows those whose rows were in the table before its
  // own. A member that has confirmed the change no longer agrees.
  const absl::Time change_seen = m_view.Leader(group).change_seen;
  const auto own = m_view.Members().find(m_settings.self);
  if (unresponsive == m_settings.self ||
      (own != m_view.Members().end() && known_to_it(own->first, own->second))) {
    return change_seen;
  }
  absl::Time earliest = change_seen + kUnanimityLimit;
  std::optional<MemberRun> witness;
  for (const auto& [id, member] : m_view.Members()) {
    const MemberRun run(id, member.incarnation);
    const bool confirmed =
        std::find(missing.begin(), missing.end(), id) == missing.end();
    if (confirmed && id != m_settings.self && known_to_it(id, member) &&
        !change->lost_witnesses.contains(run)) {
      const absl::Time since =
          change->confirmed_since.emplace(run, m_loop->Now()).first->second;
      if (since < earliest) {
        earliest = since;
        witness = run;
      }
    }
  }
  if (witness) {
    change->witnesses.insert(*witness);
  }
  return earliest;
}

std::vector<TargetId> LeadershipManager::TargetsToQuery(
    const GroupName& group,
    const PrimaryChange& change) const {
  const bool any_log_counts = m_groups->SyncReplicas(group) > 0;
  std::vector<TargetId> targets;
  for (const ListedTarget& target : m_groups->Targets(group)) {
    if (any_log_counts || target.id == change.old_primary ||
        (!target.draining && !change.rejected.contains(target.id))) {
      targets.push_back(target.id);
    }
  }
  return targets;
}

void LeadershipManager::CollectStatuses(const GroupName& group,
                                        uint64_t attempt) {
  PrimaryChange* const change = FindChange(group, attempt);
  if (change == nullptr) {
    return;
  }
  change->statuses.clear();
  change->old_status.reset();
  change->replicas_version.reset();
  change->listed = m_groups->Targets(group);
  change->orders_ended = m_loop->Now() >= change->orders_end;
  const std::vector<TargetId> queried = TargetsToQuery(group, *change);
  change->statuses_pending = queried.size();
  if (queried.empty()) {
    change->rejected.clear();
    RunStepAfter(group, attempt, kStatusTimeout,
                 &LeadershipManager::CollectStatuses);
    return;
  }
  for (const TargetId& id : queried) {
    m_groups->QueryStatus(
        group, id, kStatusTimeout,
        [this, group, attempt, id,
         alive = m_alive](const std::optional<TargetStatus>& status) {
          if (!*alive) {
            return;
          }
          PrimaryChange* const pending = FindChange(group, attempt);
          if (pending == nullptr || pending->statuses_pending == 0) {
            return;
          }
          const bool known =
              status && m_replica_recorder.IsOfListedRun(group, id, *status);
          if (known && id == pending->old_primary) {
            pending->old_status = status;
          } else if (known) {
            pending->statuses[id] = *status;
          }
          if (--pending->statuses_pending == 0) {
            DiscardOutdatedStatuses(group, pending);
            ChooseCandidate(group, attempt);
          }
        });
  }
}

void LeadershipManager::DiscardOutdatedStatuses(const GroupName& group,
                                                PrimaryChange* change) const {
  const std::vector<ListedTarget> present = m_groups->Targets(group);
  for (const ListedTarget& asked : change->listed) {
    const bool restarted = std::any_of(
        present.begin(), present.end(), [&asked](const ListedTarget& target) {
          return target.id == asked.id &&
                 target.started_unix_ms != asked.started_unix_ms;
        });
    if (restarted && asked.id == change->old_primary) {
      change->old_status.reset();
    } else if (restarted) {
      change->statuses.erase(asked.id);
    }
  }
}

const TargetStatus* LeadershipManager::StatusOf(const PrimaryChange& change,
                                                const TargetId& target) {
  if (target == change.old_primary) {
    return change.old_status ? &*change.old_status : nullptr;
  }
  const auto found = change.statuses.find(target);
  return found != change.statuses.end() ? &found->second : nullptr;
}

uint64_t LeadershipManager::HighestTerm(const PrimaryChange& change) {
  uint64_t highest = change.old_status ? change.old_status->term : 0;
  for (const auto& [id, status] : change.statuses) {
    highest = std::max(highest, status.term);
  }
  return highest;
}

ReplicaLog LeadershipManager::LogOf(const GroupName& group,
                                    const PrimaryChange& change,
                                    const TargetId& target,
                                    const TargetStatus& status) const {
  const absl::Time now = m_loop->Now();
  const GroupLeader& leader = m_view.Leader(group);
  // A log of an older term, such as that of a deposed primary, lacks all
  // commits of the newest term, and may have some that were discarded at its
  // start and must not come back.
  const bool outdated = status.term < leader.term &&
                        now < leader.change_seen + kOutdatedLogTimeout;
  // The effect of an order is visible only at a target that does not claim to
  // lead already.
  const bool claims =
      status.primary && now < change.collecting_since + kCatchUpTimeout;
  return {target, status.received,
          !outdated && !claims && !change.rejected.contains(target)};
}

std::map<TargetId, std::string> LeadershipManager::UnknownLogs(
    const GroupName& group,
    const PrimaryChange& change) {
  std::map<TargetId, std::string> unknown;
  if (m_groups->SyncReplicas(group) > 0) {
    for (const TargetRun& run :
         m_replica_recorder.Tracker(group).UnlistedHolders()) {
      unknown[run.id] = DescribeRuns({run});
    }
  }
  for (const ListedTarget& target : m_groups->Targets(group)) {
    if (StatusOf(change, target.id) == nullptr) {
      unknown[target.id] = target.id;
    }
  }
  return unknown;
}

std::optional<TargetId> LeadershipManager::FindLeadingLog(
    const GroupName& group,
    const PrimaryChange& change) {
  const uint32_t sync_replicas = m_groups->SyncReplicas(group);
  const GroupLeader& leader = m_view.Leader(group);
  const ReplicaTracker& tracker = m_replica_recorder.Tracker(group);
  uint64_t newest_term = HighestTerm(change);
  if (sync_replicas > 0) {
    newest_term = std::max(newest_term, leader.term);
  }
  const auto leads = [&](const TargetId& id) {
    const TargetStatus* const status = StatusOf(change, id);
    return status != nullptr && status->primary &&
           status->term >= newest_term && !ClaimsWithoutLog(group, id, *status);
  };
  if (sync_replicas == 0 || !leader.claimed) {
    if (leads(change.old_primary)) {
      return change.old_primary;
    }
    if (sync_replicas == 0) {
      return std::nullopt;
    }
  }
  // An acknowledged commit of a newer term would be on the primary of that term
  // and on `sync_replicas` others, so that one of the known ones would show it.
  if (!tracker.HoldersKnown(m_loop->Now()) ||
      UnknownLogs(group, change).size() > sync_replicas) {
    return std::nullopt;
  }
  for (const ListedTarget& target : m_groups->Targets(group)) {
    if (leads(target.id)) {
      return target.id;
    }
  }
  return std::nullopt;
}

PromotionChoice LeadershipManager::ChooseFromStatuses(const GroupName& group,
                                                      PrimaryChange* change) {
  const uint32_t sync_replicas = m_groups->SyncReplicas(group);
  m_replica_recorder.Update(group);
  const ReplicaTracker& tracker = m_replica_recorder.Tracker(group);
  // If the old primary is only claimed to have led last, its log is one of
  // those that may have an acknowledged commit, like the others.
  const bool claimed = sync_replicas > 0 && m_view.Leader(group).claimed;
  std::vector<ReplicaLog> logs;
  for (const ListedTarget& target : m_groups->Targets(group)) {
    const bool is_old = target.id == change->old_primary;
    const TargetStatus* const status = StatusOf(*change, target.id);
    // A deposed old primary is a replica like the others. The commits that it
    // has are also on enough of those, so that its log may be unknown.
    const bool deposed = is_old && status != nullptr && !status->primary &&
                         !HasLostLog(group, target.id);
    if (status != nullptr && (!is_old || deposed || claimed)) {
      logs.push_back(LogOf(group, *change, target.id, *status));
      logs.back().draining = target.draining && !is_old;
    }
  }
  for (const auto& [id, description] : UnknownLogs(group, *change)) {
    if (id != change->old_primary || claimed) {
      logs.push_back(
          {description, std::nullopt, !change->rejected.contains(id)});
    }
  }
  change->leading_log = FindLeadingLog(group, *change);
  std::optional<Position> leading_position;
  if (change->leading_log) {
    leading_position = StatusOf(*change, *change->leading_log)->received;
  }
  if (sync_replicas > 0) {
    change->replicas_version = tracker.RecordVersion();
  }
  return ChoosePromotion(sync_replicas + (claimed ? 1 : 0), logs,
                         leading_position, tracker.HoldersKnown(m_loop->Now()));
}

void LeadershipManager::KeepPrimary(const GroupName& group, uint64_t attempt) {
  PrimaryChange* const change = FindChange(group, attempt);
  LOG(INFO) << "event=primary_kept group=" << group
            << " primary=" << change->old_primary
            << " promoted_again=" << (change->orders.count > 0);
  if (change->orders.count > 0) {
    // A promotion may have deposed it unseen. Ordering it makes it the primary
    // again, and changes nothing if it still is.
    Promote(group, attempt, change->old_primary, *change->old_status);
    return;
  }
  change->candidate = change->old_primary;
  change->candidate_term = change->old_status->term;
  PublishLeader(group, attempt);
}

void LeadershipManager::AwaitCandidate(const GroupName& group,
                                       uint64_t attempt,
                                       const PromotionChoice& choice) {
  PrimaryChange* const change = FindChange(group, attempt);
  std::string wait = absl::StrCat(
      "unknown_logs=", absl::StrJoin(choice.unknown, ","),
      " excluded=", absl::StrJoin(choice.excluded, ","), " required=",
      choice.required
          ? absl::StrCat(choice.required->term, ".", choice.required->lsn)
          : "unknown");
  if (wait != change->logged_wait) {
    LOG(WARNING) << "event=promotion_waits group=" << group
                 << " sync_replicas=" << m_groups->SyncReplicas(group) << " "
                 << wait;
    change->logged_wait = std::move(wait);
  }
  // Targets that were rejected may run again.
  change->rejected.clear();
  RunStepAfter(group, attempt, kStatusRetryDelay,
               &LeadershipManager::CollectStatuses);
}

std::optional<TargetId> LeadershipManager::FindLeadingTarget(
    const GroupName& group,
    const PrimaryChange& change) const {
  // Without any order, the old primary is the only one that can lead. A claim
  // alone proves nothing: a target that was deposed goes on claiming to lead
  // until it can reach its successor.
  const bool ordered = change.orders.count > 0;
  const TargetId& target = ordered ? change.orders.target : change.old_primary;
  const TargetStatus* const status = StatusOf(change, target);
  if (status == nullptr || !status->primary ||
      status->term < HighestTerm(change) ||
      status->term < m_view.Leader(group).term ||
      (ordered ? status->term <= change.orders.term_before
               : ClaimsWithoutLog(group, target, *status))) {
    return std::nullopt;
  }
  return target;
}

bool LeadershipManager::ClaimsWithoutLog(const GroupName& group,
                                         const TargetId& target,
                                         const TargetStatus& status) const {
  return status.term <= kFirstTerm && HasLostLog(group, target);
}

bool LeadershipManager::HasLostLog(const GroupName& group,
                                   const TargetId& target) const {
  return m_groups->SyncReplicas(group) > 0 &&
         !m_replica_recorder.Tracker(group).HasItsLog(target);
}

void LeadershipManager::AwaitOrders(const GroupName& group, uint64_t attempt) {
  PrimaryChange* const change = FindChange(group, attempt);
  if (!change->waits_for_orders) {
    change->waits_for_orders = true;
    ++m_promotions_withheld;
    LOG(WARNING) << "event=promotion_withheld group=" << group
                 << " ordered=" << change->orders.target
                 << " orders=" << change->orders.count
                 << " term_before=" << change->orders.term_before
                 << " at_most_ms="
                 << absl::ToInt64Milliseconds(change->orders_end -
                                              m_loop->Now());
  }
  RunStepAfter(group, attempt, kStatusRetryDelay,
               &LeadershipManager::CollectStatuses);
}

bool LeadershipManager::MayOrderAgain(const PrimaryChange& change) {
  const TargetStatus* const status = StatusOf(change, change.orders.target);
  return status != nullptr && !change.rejected.contains(change.orders.target) &&
         status->received >= change.orders.received;
}

void LeadershipManager::ChooseCandidate(const GroupName& group,
                                        uint64_t attempt) {
  PrimaryChange* const change = FindChange(group, attempt);
  const absl::Time now = m_loop->Now();
  const std::optional<TargetId> leading = FindLeadingTarget(group, *change);
  if (leading && (*leading != change->old_primary || !change->planned)) {
    const TargetStatus& status = *StatusOf(*change, *leading);
    // Repeated orders that were passed on with the old primary's row are older
    // than its term.
    if (*leading == change->old_primary &&
        change->orders.term_before < m_view.Leader(group).term) {
      LOG(INFO) << "event=primary_kept group=" << group
                << " primary=" << *leading << " promoted_again=0";
    } else {
      LOG(INFO) << "event=promotion_seen group=" << group
                << " target=" << *leading << " term=" << status.term
                << " replaced_term=" << m_view.Leader(group).term
                << " ordered_by=earlier_attempt";
      ++m_promotions_seen;
      change->effect_seen = true;
    }
    change->candidate = *leading;
    change->candidate_term = status.term;
    PublishLeader(group, attempt);
    return;
  }
  if (change->orders.count > 0 && !change->orders_ended) {
    if (!leading && MayOrderAgain(*change)) {
      Promote(group, attempt, change->orders.target,
              *StatusOf(*change, change->orders.target));
    } else {
      AwaitOrders(group, attempt);
    }
    return;
  }
  const PromotionChoice choice = ChooseFromStatuses(group, change);
  const bool may_wait = now < change->collecting_since + kCatchUpTimeout;
  const bool behind = choice.target && change->old_status &&
                      choice.received < change->old_status->received;
  const bool none_safe = !choice.target && (choice.required != Position{} ||
                                            !choice.excluded.empty());
  // An unplanned change does not discard commits of a primary that still leads.
  const bool can_keep = change->leading_log == change->old_primary;
  if (can_keep && !may_wait &&
      (none_safe || (!change->planned && (!choice.target || behind)))) {
    KeepPrimary(group, attempt);
    return;
  }
  if (none_safe) {
    AwaitCandidate(group, attempt, choice);
    return;
  }
  if (!choice.target || (behind && may_wait)) {
    RunStepAfter(group, attempt, kStatusRetryDelay,
                 &LeadershipManager::CollectStatuses);
    return;
  }
  LOG(INFO) << "event=candidate group=" << group << " target=" << *choice.target
            << " term=" << choice.received.term
            << " lsn=" << choice.received.lsn
            << " candidates=" << change->statuses.size() << " behind=" << behind
            << DescribeLogs(group, choice);
  Promote(group, attempt, *choice.target, *StatusOf(*change, *choice.target));
}

std::string LeadershipManager::DescribeLogs(const GroupName& group,
                                            const PromotionChoice& choice) {
  const uint32_t sync_replicas = m_groups->SyncReplicas(group);
  if (sync_replicas == 0) {
    return "";
  }
  const ReplicaTracker& tracker = m_replica_recorder.Tracker(group);
  return absl::StrCat(
      " sync_replicas=", sync_replicas,
      " holders=", DescribeRuns(tracker.Holders()),
      " unknown_logs=", absl::StrJoin(choice.unknown, ","),
      " record_version=", VersionNumber(tracker.RecordVersion()),
      " list_known_ms=",
      absl::ToInt64Milliseconds(m_loop->Now() - tracker.FollowedSince()));
}

void LeadershipManager::Promote(const GroupName& group,
                                uint64_t attempt,
                                const TargetId& target,
                                const TargetStatus& status) {
  PrimaryChange* const change = FindChange(group, attempt);
  std::optional<std::pair<TargetId, uint64_t>>& claim =
      StateOf(group).confirmed_claim;
  if (claim && claim->first != target) {
    claim.reset();
  }
  change->candidate = target;
  change->candidate_log = status.received;
  change->term_before_promotion =
      std::max(HighestTerm(*change), m_view.Leader(group).term);
  change->candidate_claimed =
      status.primary && status.term == change->term_before_promotion;
  if (MayPromote(group, attempt)) {
    RecordOrder(group, attempt);
  }
}

bool LeadershipManager::MayPromote(const GroupName& group, uint64_t attempt) {
  // Within kPromotionLockLease no other instance has taken over the promotion
  // lock, because all wait for kTakeoverAfter.
  if (m_loop->Now() > m_token_requested_at + kPromotionLockLease ||
      m_view.PromotionLock().row_version > m_token) {
    RestartChange(group, attempt, absl::ZeroDuration(),
                  "promotion lock lease expired");
    return false;
  }
  return true;
}

void LeadershipManager::RecordOrder(const GroupName& group, uint64_t attempt) {
  PrimaryChange* const change = FindChange(group, attempt);
  const GroupLeader& leader = m_view.Leader(group);
  if (leader.epoch != change->epoch) {
    EndChange(group);
    return;
  }
  GroupLeader next = leader;
  next.orders.count = change->orders_ended ? 1 : change->orders.count + 1;
  next.orders.target = change->candidate;
  next.orders.received = change->candidate_log;
  next.orders.term_before = change->term_before_promotion;
  next.orders.recorded_after = leader.row_version;
  const std::string key = LeadershipView::LeaderKey(group);
  StoredRow record{key, LeadershipView::EncodeLeader(next), 0, false};
  RowTransaction transaction{
      kTable,
      {{key, "", leader.row_version, false},
       {LeadershipView::PromotionLockKey(), "", m_token, false}},
      {record},
      {}};
  if (change->replicas_version) {
    // Another instance may have seen a target that this one does not know.
    transaction.expected.push_back({LeadershipView::ReplicasKey(group), "",
                                    *change->replicas_version, false});
  }
  m_store.Commit(transaction, kStoreCallTimeout,
                 [this, group, attempt, record, orders = next.orders,
                  recorded_at = m_loop->Now(),
                  alive = m_alive](const Result<uint64_t>& result) mutable {
                   if (!*alive || FindChange(group, attempt) == nullptr) {
                     return;
                   }
                   if (!Ok(result)) {
                     LOG(INFO) << "event=promotion_not_recorded group=" << group
                               << " target=" << orders.target << " cause=\""
                               << ErrorOf(result).message << "\"";
                     RunStepAfter(group, attempt, kStatusRetryDelay,
                                  &LeadershipManager::CollectStatuses);
                     return;
                   }
                   record.version = ValueOf(result);
                   OnOrderRecorded(group, attempt, record, orders, recorded_at);
                 });
}

void LeadershipManager::OnOrderRecorded(const GroupName& group,
                                        uint64_t attempt,
                                        const StoredRow& record,
                                        const PendingOrders& orders,
                                        absl::Time recorded_at) {
  FindChange(group, attempt)->row_version = record.version;
  RowChanges own;
  own.rows = {record};
  ApplyRows(own);
  // Other instances count on an order being sent soon after its record. This
  // instance may have been paused in between.
  if (m_loop->Now() > recorded_at + kStoreCallTimeout) {
    RunStepAfter(group, attempt, kStatusRetryDelay,
                 &LeadershipManager::CollectStatuses);
    return;
  }
  if (MayPromote(group, attempt)) {
    SendPromotion(group, attempt, orders);
  }
}

void LeadershipManager::SendPromotion(const GroupName& group,
                                      uint64_t attempt,
                                      const PendingOrders& orders) {
  PrimaryChange* const change = FindChange(group, attempt);
  const absl::Time now = m_loop->Now();
  const PendingOrders earlier_orders = change->orders;
  const absl::Time earlier_end = change->orders_end;
  change->orders = orders;
  change->orders_end = std::max(change->orders_end, now + kOrderLifetime);
  change->promotion_sent_at = now;
  // Also logged before the answer, which may never come.
  LOG(INFO) << "event=promotion_sent group=" << group
            << " target=" << change->candidate << " token=" << m_token
            << " epoch=" << change->epoch
            << " term_before=" << orders.term_before
            << " orders=" << orders.count;
  ++m_promotions_sent;
  m_promotions->Promote(
      group, change->candidate, m_settings.self, m_token, kPromoteCallTimeout,
      [this, group, attempt, target = change->candidate, sent_at = now,
       token = m_token, earlier_orders, earlier_end,
       alive = m_alive](const Status& status) {
        if (!*alive) {
          return;
        }
        LOG(INFO) << "event=promotion_ordered group=" << group
                  << " target=" << target << " token=" << token << " outcome=\""
                  << (Ok(status) ? "accepted" : ErrorOf(status).message)
                  << "\" ms="
                  << absl::ToInt64Milliseconds(m_loop->Now() - sent_at);
        const bool refused =
            !Ok(status) && ErrorOf(status).kind == ErrorKind::kConflict;
        const bool ended = refused || (!Ok(status) && ErrorOf(status).kind ==
                                                          ErrorKind::kNotSent);
        m_promotions_unanswered += !Ok(status) && !ended ? 1 : 0;
        PrimaryChange* const sent = FindChange(group, attempt);
        if (sent == nullptr) {
          return;
        }
        if (Ok(status)) {
          AwaitPrimary(group, attempt);
          return;
        }
        if (refused) {
          sent->rejected.insert(target);
        }
        if (ended) {
          // The order has no effect.
          sent->orders = earlier_orders;
          sent->orders_end = earlier_end;
        }
        RunStepAfter(group, attempt, kStatusRetryDelay,
                     &LeadershipManager::CollectStatuses);
      });
}

bool LeadershipManager::LeadsAfterPromotion(const PrimaryChange& change,
                                            const TargetStatus& status,
                                            absl::Time queried_at) const {
  // A deposed primary that is promoted again claims to lead before the
  // promotion takes effect. If it still does so in the same term when its
  // orders have ended, it has led all the time.
  const bool still_leads = change.candidate_claimed &&
                           status.term == change.term_before_promotion &&
                           queried_at >= change.orders_end;
  return status.primary &&
         (status.term > change.term_before_promotion || still_leads);
}

void LeadershipManager::AwaitPrimary(const GroupName& group, uint64_t attempt) {
  PrimaryChange* const change = FindChange(group, attempt);
  if (change == nullptr) {
    return;
  }
  const absl::Time deadline =
      change->candidate_claimed ? change->orders_end + kStatusTimeout
                                : change->promotion_sent_at + kPromotionTimeout;
  if (m_loop->Now() > deadline) {
    RestartChange(group, attempt, absl::ZeroDuration(),
                  "the promotion did not take effect in time");
    return;
  }
  m_groups->QueryStatus(
      group, change->candidate, kStatusTimeout,
      [this, group, attempt, queried_at = m_loop->Now(),
       alive = m_alive](const std::optional<TargetStatus>& status) {
        PrimaryChange* const awaited =
            *alive ? FindChange(group, attempt) : nullptr;
        if (awaited == nullptr) {
          return;
        }
        if (status && LeadsAfterPromotion(*awaited, *status, queried_at)) {
          OnCandidateLeads(group, attempt, *status);
          return;
        }
        RunStepAfter(group, attempt, kStatusRetryDelay,
                     &LeadershipManager::AwaitPrimary);
      });
}

void LeadershipManager::OnCandidateLeads(const GroupName& group,
                                         uint64_t attempt,
                                         const TargetStatus& status) {
  PrimaryChange* const change = FindChange(group, attempt);
  change->effect_seen = status.term > change->term_before_promotion;
  LOG(INFO) << (change->effect_seen ? "event=promotion_seen group="
                                    : "event=promotion_changed_nothing group=")
            << group << " target=" << change->candidate
            << " term=" << status.term
            << " replaced_term=" << m_view.Leader(group).term
            << " ordered_by=self ms="
            << absl::ToInt64Milliseconds(m_loop->Now() -
                                         change->promotion_sent_at);
  m_promotions_seen += change->effect_seen ? 1 : 0;
  // An order that arrived late may have given another target the lead after the
  // first order for this one had arrived. A second order shows that by a higher
  // term.
  const std::pair claim(change->candidate, status.term);
  if (!change->effect_seen &&
      std::exchange(StateOf(group).confirmed_claim, claim) != claim) {
    change->orders_ended = true;
    Promote(group, attempt, change->candidate, status);
    return;
  }
  change->candidate_term = status.term;
  PublishLeader(group, attempt);
}

void LeadershipManager::PublishLeader(const GroupName& group,
                                      uint64_t attempt) {
  PrimaryChange* const change = FindChange(group, attempt);
  if (change == nullptr) {
    return;
  }
  const GroupLeader& changing = m_view.Leader(group);
  GroupLeader next;
  next.epoch = change->epoch + 1;
  next.phase = LeaderPhase::kOpen;
  next.primary = change->candidate;
  next.term = change->candidate_term;
  next.holder = m_settings.self;
  next.holder_incarnation = m_settings.incarnation;
  next.planned = change->planned;
  // Repeated orders for the primary change nothing while it leads, but a later
  // change has to know of them.
  next.orders = change->orders;
  if (m_loop->Now() >= change->orders_end) {
    next.orders.count = 0;
  } else if (change->effect_seen && next.orders.count > 0) {
    --next.orders.count;
  }
  const std::string leader_key = LeadershipView::LeaderKey(group);
  const uint64_t version = changing.epoch == change->epoch
                               ? changing.row_version
                               : change->row_version;
  RowTransaction transaction{
      kTable, {{leader_key, "", version, false}}, {}, {}};
  transaction.writes = {
      {leader_key, LeadershipView::EncodeLeader(next), 0, false}};
  bool other_changes = false;
  for (const auto& [name, state] : m_states) {
    other_changes |= name != group && state->change != nullptr;
  }
  const std::string lock_key = LeadershipView::PromotionLockKey();
  if (!other_changes && m_view.PromotionLock().row_version <= m_token) {
    transaction.expected.push_back({lock_key, "", m_token, false});
    transaction.writes.push_back(
        {lock_key, LeadershipView::EncodePromotionLock({}), 0, false});
  }
  for (const auto& [id, row_version] : change->expired_members) {
    const std::string key = LeadershipView::MemberKey(id);
    transaction.expected.push_back({key, "", row_version, false});
    transaction.deletes.push_back(key);
  }
  m_store.Commit(
      transaction, kStoreCallTimeout,
      [this, group, attempt, alive = m_alive](const Result<uint64_t>& result) {
        PrimaryChange* const published =
            *alive ? FindChange(group, attempt) : nullptr;
        if (published == nullptr) {
          return;
        }
        if (Ok(result)) {
          LOG(INFO) << "event=change_done group=" << group
                    << " primary=" << published->candidate << " took_ms="
                    << absl::ToInt64Milliseconds(
                           m_loop->Now() - published->publication_sent_at);
          // OnLeaderRow() ends the change when the poll delivers the row.
          return;
        }
        published->expired_members.clear();
        if (ErrorOf(result).kind == ErrorKind::kConflict &&
            m_view.Leader(group).epoch > published->epoch) {
          EndChange(group);
          return;
        }
        RunStepAfter(group, attempt, kPollRetryDelay,
                     &LeadershipManager::PublishLeader);
      });
}

}  // namespace heatherwick
