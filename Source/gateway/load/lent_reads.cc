// Connects the policy for lent groups to the borrowing driver and the metrics.

#include "Source/gateway/load/lent_reads.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "Source/decision/even_load_reads.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// Of all groups together, so that the log stays small at any number of groups.
constexpr absl::Duration kBeliefsLogPeriod = absl::Seconds(10);
constexpr absl::Duration kReductionLogPeriod = absl::Seconds(1);
// The longest recovery of a target's share, after which a group that is not
// used has nothing to remember. At the planned scale there are 7,000 groups.
constexpr absl::Duration kUnusedGroupTime = absl::Minutes(2);
// A group has three targets; longer lists are cut in the log.
constexpr size_t kMaxLoggedTargets = 8;

const char* OutcomeName(ReadOutcome outcome) {
  switch (outcome) {
    case ReadOutcome::kDone:
      return "done";
    case ReadOutcome::kFailed:
      return "failed";
    case ReadOutcome::kRefused:
      return "refused";
    case ReadOutcome::kLagging:
      return "lagging";
    case ReadOutcome::kSlow:
      return "slow";
  }
  return "unknown";
}

}  // namespace

LentReads::LentReads(EventLoop* loop, Metrics* metrics)
    : m_loop(loop), m_metrics(metrics) {}

ReadPolicy* LentReads::Policy(const GroupName& group) {
  const absl::Time now = m_loop->Now();
  if (now - m_swept > kUnusedGroupTime) {
    m_swept = now;
    std::erase_if(m_groups, [now](const auto& entry) {
      return now - entry.second.last_used > kUnusedGroupTime;
    });
  }
  Group& used = m_groups[group];
  used.last_used = now;
  if (!used.policy) {
    used.policy = std::make_unique<EvenLoadReads>(m_random);
  }
  return used.policy.get();
}

std::optional<size_t> LentReads::Choose(
    const GroupName& group,
    const std::vector<ReadCandidate>& candidates,
    const std::vector<TargetId>& avoided) {
  const absl::Time now = m_loop->Now();
  ReadPolicy* const policy = Policy(group);
  PendingRequest pending;
  for (const TargetId& target : avoided) {
    pending.OnRefusedBy(target, now);
  }
  const std::optional<size_t> chosen = policy->Choose(pending, candidates, now);
  if (!chosen) {
    return std::nullopt;
  }
  const ReadCandidate& candidate = candidates[*chosen];
  const char* const role = candidate.primary ? "primary" : "replica";
  m_metrics->Count(absl::StrCat("read_choices/", role));
  const std::optional<BelievedLoad> believed =
      policy->Believed(candidate.id, now);
  if (believed) {
    m_metrics->Observe("target_load_age", believed->age);
    m_metrics->Observe("target_load_latency", believed->latency);
    m_metrics->SetGauge(absl::StrCat("target_load_statements/", role),
                        std::llround(believed->running + believed->waiting));
  } else {
    m_metrics->Count("read_choices_load_unknown");
  }
  LogBeliefs(group, candidates, *chosen);
  return chosen;
}

void LentReads::LogBeliefs(const GroupName& group,
                           const std::vector<ReadCandidate>& candidates,
                           size_t chosen) {
  const absl::Time now = m_loop->Now();
  if (now - m_beliefs_logged < kBeliefsLogPeriod) {
    return;
  }
  m_beliefs_logged = now;
  std::string targets;
  for (size_t index = 0; index < std::min(candidates.size(), kMaxLoggedTargets);
       ++index) {
    const TargetId& id = candidates[index].id;
    const std::optional<BelievedLoad> believed =
        Policy(group)->Believed(id, now);
    if (!believed) {
      absl::StrAppend(&targets, " ", id, ":unknown");
      continue;
    }
    absl::StrAppendFormat(
        &targets,
        " %s:running=%.1f,waiting=%.1f,latency_ms=%.1f,age_ms=%d,"
        "share=%.2f",
        id, believed->running, believed->waiting,
        absl::ToDoubleMilliseconds(believed->latency),
        absl::ToInt64Milliseconds(believed->age), believed->share);
  }
  LOG(INFO) << "event=read_choice group=" << group
            << " chosen=" << candidates[chosen].id << " believed=\""
            << targets.substr(targets.empty() ? 0 : 1) << "\"";
}

void LentReads::OnTargetLoad(const ListedTarget& target,
                             const InstanceId& lender,
                             const TargetLoad& load) {
  if (!Policy(target.group)->OnLoad(target.id, lender, load, m_loop->Now())) {
    m_metrics->Count("target_load_ignored");
  }
}

void LentReads::OnTargetOutcome(const ListedTarget& target,
                                ReadOutcome outcome) {
  const absl::Time now = m_loop->Now();
  if (!Policy(target.group)->OnOutcome(target.id, outcome, now)) {
    return;
  }
  m_metrics->Count(absl::StrCat("target_work_reduced/", OutcomeName(outcome)));
  if (now - m_reduction_logged < kReductionLogPeriod) {
    return;
  }
  m_reduction_logged = now;
  LOG(INFO) << "event=target_work_reduced target=" << target.id
            << " group=" << target.group << " cause=" << OutcomeName(outcome);
}

}  // namespace heatherwick
