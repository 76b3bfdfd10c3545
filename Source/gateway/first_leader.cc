// Asks all targets of a group, and publishes the one that leads.

#include "Source/gateway/first_leader.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "Source/gateway/promotion_limits.h"
#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// Between two attempts of the instance that acts first.
constexpr absl::Duration kRetryDelay = absl::Milliseconds(300);
// For clocks of instances that run at slightly different speeds.
constexpr absl::Duration kOrdersMargin = absl::Milliseconds(100);

std::string Describe(const std::vector<TargetClaim>& claims) {
  std::string text;
  for (const TargetClaim& claim : claims) {
    absl::StrAppend(&text, text.empty() ? "" : ",", claim.id, "/",
                    claim.registered_as_primary ? "primary" : "replica", "/");
    if (claim.answer) {
      absl::StrAppend(&text, claim.answer->leads ? "leads" : "follows", "/",
                      claim.answer->term);
    } else {
      absl::StrAppend(&text, "silent");
    }
  }
  return text;
}

}  // namespace

FirstLeader::FirstLeader(InstanceId self,
                         uint64_t incarnation,
                         EventLoop* loop,
                         RowStore* store,
                         GroupAccess* groups,
                         const LeadershipView* view,
                         std::string table,
                         UnlistedHolders unlisted_holders,
                         StartChange start_change)
    : m_self(std::move(self)),
      m_incarnation(incarnation),
      m_loop(loop),
      m_store(store),
      m_groups(groups),
      m_view(view),
      m_table(std::move(table)),
      m_unlisted_holders(std::move(unlisted_holders)),
      m_start_change(std::move(start_change)) {}

FirstLeader::~FirstLeader() {
  *m_alive = false;
}

void FirstLeader::Reset() {
  m_states.clear();
}

void FirstLeader::Propose(const GroupName& group, absl::Duration stagger) {
  const absl::Time now = m_loop->Now();
  const EarlierLeader* const earlier = m_view->Earlier(group);
  const bool proven = earlier != nullptr && earlier->proven;
  if (!proven && m_groups->Targets(group).empty()) {
    return;
  }
  std::shared_ptr<GroupState>& state = m_states[group];
  if (!state) {
    state = std::make_shared<GroupState>();
    state->first_proposed = now;
    state->act_at = now + stagger;
  }
  if (now < state->act_at || state->asking) {
    return;
  }
  state->act_at = now + std::max(stagger, kRetryDelay);
  if (proven) {
    Publish(group, earlier->leader);
  } else {
    AskTargets(group, std::shared_ptr<GroupState>(state));
  }
}

std::vector<TargetClaim> FirstLeader::SilentClaims(
    const GroupName& group,
    const std::vector<ListedTarget>& listed) const {
  std::vector<TargetClaim> claims;
  for (const TargetRun& run : m_unlisted_holders(group)) {
    claims.push_back({DescribeRuns({run}), false, std::nullopt});
  }
  // An order that was recorded in the lost row may have taken effect.
  const EarlierLeader* const earlier = m_view->Earlier(group);
  if (earlier != nullptr && earlier->leader.orders.count > 0) {
    const TargetId& ordered = earlier->leader.orders.target;
    const bool is_listed = std::any_of(
        listed.begin(), listed.end(),
        [&ordered](const ListedTarget& each) { return each.id == ordered; });
    if (!ordered.empty() && !is_listed) {
      claims.push_back({ordered, false, std::nullopt});
    }
  }
  return claims;
}

void FirstLeader::AskTargets(const GroupName& group,
                             const std::shared_ptr<GroupState>& state) {
  state->asking = true;
  state->claims.clear();
  const absl::Time now = m_loop->Now();
  const absl::Duration wait = kRecordedOrderLifetime + kOrdersMargin;
  // Only a store that has returned from a copy has lost rows. Whoever has not
  // read an earlier era cannot tell that from a store whose first era is 1.
  state->rows_may_be_lost =
      m_view->Era() > 0 && now < m_view->EraReadAt() + wait;
  // The targets of a group that is new in the configuration may be listed one
  // after the other.
  state->orders_ended =
      now >= std::max(m_view->EraReadAt(), state->first_proposed) + wait;
  const std::vector<ListedTarget> listed = m_groups->Targets(group);
  for (const ListedTarget& target : listed) {
    state->claims.push_back({target.id, target.claims_primary, std::nullopt});
  }
  for (const TargetClaim& claim : SilentClaims(group, listed)) {
    state->claims.push_back(claim);
  }
  state->unanswered = listed.size();
  for (size_t index = 0; index < listed.size(); ++index) {
    m_groups->QueryStatus(
        group, state->claims[index].id, kProbeTimeout,
        [this, group, state, index,
         alive = m_alive](const std::optional<TargetStatus>& status) {
          if (!*alive) {
            return;
          }
          if (status) {
            state->claims[index].answer = {status->primary, status->term};
          }
          if (--state->unanswered == 0) {
            state->asking = false;
            const auto current = m_states.find(group);
            if (current != m_states.end() && current->second == state) {
              Decide(group, state);
            }
          }
        });
  }
}

void FirstLeader::Decide(const GroupName& group,
                         const std::shared_ptr<GroupState>& state) {
  const EarlierLeader* const earlier = m_view->Earlier(group);
  if (m_view->Leader(group).phase != LeaderPhase::kUnknown ||
      (earlier != nullptr && earlier->proven)) {
    return;
  }
  std::optional<EarlierClaim> claim;
  if (earlier != nullptr) {
    claim = {earlier->leader.primary, earlier->leader.term};
  }
  const FirstLeaderChoice choice = ChooseFirstLeader(
      state->claims, claim, state->rows_may_be_lost, state->orders_ended);
  const std::string decision = absl::StrCat(
      "action=", FirstLeaderActionName(choice.action),
      " target=", choice.target, " term=", choice.term, " reason=\"",
      choice.reason, "\" claims=", Describe(state->claims));
  if (decision != state->logged) {
    LOG(INFO) << "event=first_leader_choice group=" << group << " " << decision;
    state->logged = decision;
  }
  if (choice.action == FirstLeaderAction::kWait) {
    return;
  }
  GroupLeader leader;
  if (earlier != nullptr) {
    leader = earlier->leader;
  }
  leader.primary =
      choice.target.empty() ? state->claims.front().id : choice.target;
  leader.term = choice.term;
  leader.orders = {};
  leader.claimed = choice.action == FirstLeaderAction::kElect;
  if (choice.action == FirstLeaderAction::kPublish) {
    Publish(group, leader);
  } else {
    m_start_change(group, leader);
  }
}

void FirstLeader::Publish(const GroupName& group, const GroupLeader& leader) {
  GroupLeader first = leader;
  ++first.epoch;
  first.phase = LeaderPhase::kOpen;
  first.holder = m_self;
  first.holder_incarnation = m_incarnation;
  first.planned = false;
  first.claimed = false;
  const std::string key = LeadershipView::LeaderKey(group);
  RowTransaction transaction{m_table, {{key, "", 0, false}}, {}, {}};
  transaction.writes = {{key, LeadershipView::EncodeLeader(first), 0, false}};
  LOG(INFO) << "event=first_leader group=" << group
            << " primary=" << first.primary << " term=" << first.term
            << " epoch=" << first.epoch << " era=" << m_view->Era();
  m_store->Commit(transaction, kStoreCallTimeout,
                  [](const Result<uint64_t>&) {});
}

}  // namespace heatherwick
