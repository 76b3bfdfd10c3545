// One token bucket for each workspace, with the share of the quota that is in
// force.

#include "Source/decision/quota_coordinator.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "Source/decision/quota_plan.h"

namespace heatherwick {
namespace {

// Refusals are forgotten within about this time. It bounds how far callers that
// come back are spread.
constexpr absl::Duration kRefusalMemory = absl::Milliseconds(250);
// A few refusals do not make a crowd; the callers may come back for the next
// operation that is due.
constexpr double kRefusalsNotSpread = 4;
constexpr absl::Duration kMinRetry = absl::Milliseconds(20);
// A requester that asks again later than this would leave tokens unused.
constexpr absl::Duration kMaxRetry = absl::Milliseconds(500);
// This part of the permitted overshoot deepens the buckets, since the arrivals
// of a small workspace vary by more than its burst. The rest is for buckets of
// processes that take over from their earlier run.
constexpr double kOvershootInDepth = 0.75;
constexpr double kOvershootAtStart = 1 - kOvershootInDepth;

}  // namespace

QuotaCoordinator::QuotaCoordinator(InstanceId self,
                                   absl::Duration lease,
                                   QuotaTolerance tolerance)
    : m_self(std::move(self)), m_lease(lease), m_tolerance(tolerance) {}

void QuotaCoordinator::OnMembers(std::vector<FleetMember> members,
                                 bool restarted,
                                 absl::Time now) {
  if (m_views.empty()) {
    m_restarted = restarted;
    m_first_view_at = now;
    // Before its first view, a process that was no member had no share.
    if (!restarted) {
      m_views.push_back({m_next_view++, absl::InfinitePast(), {}});
    }
  }
  m_views.push_back({m_next_view++,
                     m_views.empty() ? absl::InfinitePast() : now,
                     std::move(members)});
  // Another instance may grant from here on. If the share comes back, its
  // bucket must not have filled in the meantime.
  std::erase_if(m_buckets, [this](const auto& entry) {
    return ShareIn(entry.first, m_views.back()).fraction == 0;
  });
  DropOldViews(now);
}

void QuotaCoordinator::OnQuotas(
    std::map<WorkspaceName, WorkspaceQuota> quotas) {
  m_quotas = std::move(quotas);
  std::erase_if(m_buckets, [this](const auto& entry) {
    return !m_quotas.contains(entry.first);
  });
}

void QuotaCoordinator::DropOldViews(absl::Time now) {
  // A view was in use until the next one began.
  while (m_views.size() > 1 && now - m_views[1].since > m_lease) {
    m_views.pop_front();
  }
}

QuotaCoordinator::Share QuotaCoordinator::ShareIn(
    const WorkspaceName& workspace,
    const View& view) const {
  const std::vector<QuotaShard> shards = PlanQuota(workspace, view.members);
  for (uint32_t number = 0; number < shards.size(); ++number) {
    if (shards[number].coordinator == m_self) {
      return {view.number, number, 1.0 / static_cast<double>(shards.size())};
    }
  }
  return {view.number, 0, 0};
}

double QuotaCoordinator::ShareInForce(const WorkspaceName& workspace,
                                      Bucket* bucket) const {
  if (m_views.empty()) {
    return 0;
  }
  std::deque<Share>& shares = bucket->shares;
  while (!shares.empty() && shares.front().view < m_views.front().number) {
    shares.pop_front();
  }
  for (const View& view : m_views) {
    if (shares.empty() || shares.back().view < view.number) {
      shares.push_back(ShareIn(workspace, view));
    }
  }
  double smallest = 1;
  for (const Share& share : shares) {
    smallest = std::min(smallest, share.fraction);
  }
  return smallest;
}

absl::Time QuotaCoordinator::InForceSince() const {
  const View& oldest = m_views.front();
  return oldest.since == absl::InfinitePast() ? m_first_view_at
                                              : oldest.since + m_lease;
}

double QuotaCoordinator::Overshoot(const WorkspaceQuota& quota) const {
  const double window = absl::ToDoubleSeconds(m_tolerance.window);
  return m_tolerance.overshoot * (quota.rate_per_s * window + quota.burst) +
         m_tolerance.slack;
}

double QuotaCoordinator::Depth(const WorkspaceQuota& quota,
                               double share) const {
  return (quota.burst + kOvershootInDepth * Overshoot(quota)) * share;
}

void QuotaCoordinator::Refill(const WorkspaceQuota& quota,
                              double share,
                              Bucket* bucket,
                              absl::Time now) {
  if (!bucket->started) {
    bucket->started = true;
    // A process that took over from its earlier run does not know what that
    // one has granted.
    const bool took_over =
        m_restarted && m_views.front().since == absl::InfinitePast();
    bucket->tokens =
        took_over ? kOvershootAtStart * Overshoot(quota) * share : 0;
    bucket->updated = std::min(now, InForceSince());
  }
  const double refilled =
      quota.rate_per_s * share * absl::ToDoubleSeconds(now - bucket->updated);
  bucket->tokens =
      std::min(Depth(quota, share), bucket->tokens + std::max(0.0, refilled));
  bucket->recent_refusals *=
      std::exp(-absl::FDivDuration(now - bucket->updated, kRefusalMemory));
  bucket->updated = now;
}

QuotaResponse QuotaCoordinator::OnQuery(const QuotaQuery& query,
                                        bool lease_valid,
                                        absl::Time now) {
  const auto quota = m_quotas.find(query.workspace);
  if (quota == m_quotas.end()) {
    return {QuotaOutcome::kUnknownWorkspace, 0, {}, 0};
  }
  DropOldViews(now);
  Bucket& bucket = m_buckets[query.workspace];
  const double share = ShareInForce(query.workspace, &bucket);
  // A requester with another number of shards has another view of the members.
  const bool same_view =
      share > 0 && bucket.shares.back().shard == query.shard &&
      std::lround(1 / bucket.shares.back().fraction) == query.shards;
  if (!lease_valid || !same_view) {
    return {QuotaOutcome::kNotCoordinator, 0, {}, 0};
  }
  Refill(quota->second, share, &bucket, now);
  const auto granted = static_cast<uint32_t>(
      std::min(static_cast<double>(query.count), std::floor(bucket.tokens)));
  bucket.tokens -= granted;
  m_granted += granted;
  const uint32_t refused = query.count - granted;
  m_refused += refused;
  const double left = bucket.tokens / Depth(quota->second, share);
  QuotaResponse response{QuotaOutcome::kAnswered, granted, {}, left};
  if (refused > 0) {
    const double rate = std::max(quota->second.rate_per_s * share, 1e-3);
    const double ahead =
        std::max(0.0, bucket.recent_refusals - kRefusalsNotSpread);
    const double missing = 1 - bucket.tokens + ahead;
    response.retry_after =
        std::clamp(absl::Seconds(missing / rate), kMinRetry, kMaxRetry);
    bucket.recent_refusals += refused;
  }
  return response;
}

}  // namespace heatherwick
