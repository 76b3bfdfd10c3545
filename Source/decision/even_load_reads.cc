// Keeps the lenders' reports and the targets' shares, and estimates loads.

#include "Source/decision/even_load_reads.h"

#include <algorithm>
#include <cmath>

#include "Source/kernel/registry.h"
#include "absl/random/distributions.h"

namespace heatherwick {
namespace {

const Registration<ReadPolicy, EvenLoadReads, absl::BitGenRef> g_registration(
    "even_load");

// Numbers of statements change within a few statements' times (5 to 34 ms), but
// a chooser reads from a group only once or twice a second; older reports say
// little. The moving average of the latency lasts for about ten statements.
constexpr absl::Duration kLoadTimeConstant = absl::Milliseconds(500);
constexpr absl::Duration kLatencyTimeConstant = absl::Seconds(2);
// Weight of the group's mean beside the reports, whose weight is 1 when new. A
// lender sees only its own connections, so that a report counts half at most.
constexpr double kMeanWeight = 1;
// Relative random error of an estimate with new reports, and what is added when
// nothing is known. Choosers that follow small differences of old knowledge
// overrun the target that looked best; in the sum both exceed the preference
// for replicas, which therefore does not decide alone.
constexpr double kLeastError = 0.3;
constexpr double kUnknownError = 0.5;
// Weight of an own statement that has not ended: it is newer than any report,
// and others that know the same have sent theirs too.
constexpr double kOwnWeight = 3;
// A target in another data centre adds a few milliseconds to reads of 14 to
// 34 ms, and traffic between data centres is paid for.
constexpr double kRemoteFactor = 1.1;
// The primary also runs what no replica can run; its writes have the shortest
// objective (100 ms).
constexpr double kPrimaryFactor = 1.5;
// Latencies differ up to this factor because targets run different statements;
// the primary's are the shortest.
constexpr double kUsualLatencyRatio = 2;
// Differences below this do not matter to callers, whose objectives are 100 ms
// and longer, and must not make a target attract all work.
constexpr absl::Duration kLeastLatency = absl::Milliseconds(1);

// A lender has tens of connections to a target and at most 64 requests waiting;
// statements are answered or given up within 6 s.
constexpr uint32_t kMaxReportedStatements = 4096;
constexpr absl::Duration kMaxReportedLatency = absl::Seconds(60);

// A target is slow if its latency exceeds that of every other by this factor,
// which differences between statements do not reach, and by a time that matters
// for objectives of 100 ms. The lender's moving average contains about ten
// replies, so that reports in quick succession tell the same.
constexpr double kSlowLatencyRatio = 3;
constexpr absl::Duration kLeastSlowness = absl::Milliseconds(30);
constexpr double kLeastKnown = 0.1;  // Weight of a report after 4.6 s.
constexpr absl::Duration kSlowReportInterval = absl::Seconds(2);

// Choices that a silent target does not report stop counting when callers have
// given up: the shortest deadline is 1.2 s.
constexpr absl::Duration kOwnChoiceTime = absl::Milliseconds(1200);
// A group has about ten lenders; reports of former ones end here.
constexpr absl::Duration kReportTime = absl::Seconds(10);
constexpr size_t kMaxReports = 32;
// A group has a few targets; identifiers that are not used any more are dropped
// beyond this number.
constexpr size_t kMaxTargets = 64;

// A chooser sends one or two reads a second to a group. Where one of them
// failed, the next would usually fail too, and callers retry at most twice; so
// nearly all work is taken away at once, and for long enough to be noticed less
// than once in ten reads. A single chooser that is wrong costs little.
constexpr double kFailedFactor = 0.05;
constexpr double kSlowFactor = 0.1;
constexpr absl::Duration kRecovery = absl::Seconds(20);
// The recovery doubles with each further loss, as when a target flaps.
constexpr absl::Duration kLongestRecovery = absl::Seconds(60);
// Replicas usually lag by 20 to 30 ms and targets are busy at times, so that
// single refusals are normal. Several in a row count as failures.
constexpr double kRefusedFactor = 0.5;
constexpr absl::Duration kRefusedRecovery = absl::Seconds(2);
constexpr int kRefusalsInRow = 2;
// Keeps a few statements at the target, whose outcomes show its recovery.
constexpr double kLeastShare = 0.01;
// A target that was no candidate for this long starts with this share, as its
// load has gone: choosers would find it idle until their reports are renewed.
constexpr absl::Duration kAbsence = absl::Milliseconds(500);
constexpr double kReturnShare = 0.1;
constexpr absl::Duration kReturnRecovery = absl::Seconds(5);

double WeightAt(absl::Duration age, absl::Duration time_constant) {
  return std::exp(-std::max(0.0, absl::FDivDuration(age, time_constant)));
}

}  // namespace

EvenLoadReads::Target& EvenLoadReads::Entry(const TargetId& id,
                                            absl::Time now) {
  if (m_targets.size() >= kMaxTargets && !m_targets.contains(id)) {
    m_targets.erase(std::min_element(m_targets.begin(), m_targets.end(),
                                     [](const auto& first, const auto& second) {
                                       return first.second.last_used <
                                              second.second.last_used;
                                     }));
  }
  Target& target = m_targets[id];
  target.last_used = now;
  return target;
}

bool EvenLoadReads::OnLoad(const TargetId& target,
                           const InstanceId& lender,
                           const TargetLoad& load,
                           absl::Time now) {
  if (load.running > kMaxReportedStatements ||
      load.waiting > kMaxReportedStatements ||
      load.latency <= absl::ZeroDuration() ||
      load.latency > kMaxReportedLatency) {
    return false;
  }
  Target& entry = Entry(target, now);
  std::erase_if(entry.reports, [now](const auto& report) {
    return now - report.second.at > kReportTime;
  });
  if (entry.reports.size() >= kMaxReports && !entry.reports.contains(lender)) {
    return true;
  }
  entry.reports[lender] = {load, now};
  if (IsSlow(target, now) && now - entry.reported_slow > kSlowReportInterval) {
    entry.reported_slow = now;
    Reduce(&entry, {kSlowFactor, kRecovery, true}, now);
  }
  return true;
}

bool EvenLoadReads::OnOutcome(const TargetId& target,
                              ReadOutcome outcome,
                              absl::Time now) {
  Target& entry = Entry(target, now);
  // A statement that was withdrawn still occupies the target.
  if (outcome != ReadOutcome::kSlow && !entry.own_choices.empty()) {
    entry.own_choices.pop_front();
  }
  switch (outcome) {
    case ReadOutcome::kDone:
      entry.refusals_in_row = 0;
      return false;
    case ReadOutcome::kFailed:
      Reduce(&entry, {kFailedFactor, kRecovery, true}, now);
      return true;
    case ReadOutcome::kSlow:
      Reduce(&entry, {kSlowFactor, kRecovery, true}, now);
      return true;
    case ReadOutcome::kRefused:
    case ReadOutcome::kLagging:
      if (++entry.refusals_in_row < kRefusalsInRow) {
        Reduce(&entry, {kRefusedFactor, kRefusedRecovery, false}, now);
      } else {
        Reduce(&entry, {kFailedFactor, kRecovery, true}, now);
      }
      return true;
  }
  return false;
}

double EvenLoadReads::ShareOf(const Target& target, absl::Time now) {
  if (target.lost_at == absl::InfinitePast()) {
    return 1.0;
  }
  // The third power keeps the share small for the first half of the time.
  const double passed =
      std::min(1.0, absl::FDivDuration(now - target.lost_at, target.recovery));
  return std::max(kLeastShare,
                  target.share_at_loss +
                      (1.0 - target.share_at_loss) * std::pow(passed, 3));
}

void EvenLoadReads::Reduce(Target* target, const Loss& loss, absl::Time now) {
  const double share = ShareOf(*target, now);
  const bool again = target->lost_at != absl::InfinitePast() &&
                     now - target->lost_at < 2 * target->recovery;
  if (!again) {
    target->recovery = loss.recovery;
  } else if (loss.grows) {
    target->recovery =
        std::clamp(2 * target->recovery, loss.recovery, kLongestRecovery);
  } else {
    target->recovery = std::max(target->recovery, loss.recovery);
  }
  target->share_at_loss = std::max(kLeastShare, share * loss.factor);
  target->lost_at = now;
}

EvenLoadReads::Estimate EvenLoadReads::EstimateOf(const Target& target,
                                                  absl::Time now) {
  Estimate estimate;
  double load_weights = 0;
  double latency_weights = 0;
  for (const auto& [lender, report] : target.reports) {
    const absl::Duration age = now - report.at;
    if (age > kReportTime) {
      continue;
    }
    const double load_weight = WeightAt(age, kLoadTimeConstant);
    const double latency_weight = WeightAt(age, kLatencyTimeConstant);
    load_weights += load_weight;
    latency_weights += latency_weight;
    estimate.statements +=
        load_weight * (report.load.running + report.load.waiting);
    estimate.latency += latency_weight * report.load.latency;
    estimate.known = std::max(estimate.known, load_weight);
    estimate.lenders += load_weight;
    estimate.latency_known = std::max(estimate.latency_known, latency_weight);
  }
  if (load_weights > 0) {
    estimate.statements /= load_weights;
  }
  if (latency_weights > 0) {
    estimate.latency /= latency_weights;
  }
  return estimate;
}

std::optional<BelievedLoad> EvenLoadReads::Believed(const TargetId& target,
                                                    absl::Time now) const {
  const auto found = m_targets.find(target);
  if (found == m_targets.end() || found->second.reports.empty()) {
    return std::nullopt;
  }
  BelievedLoad believed;
  believed.age = absl::InfiniteDuration();
  double weights = 0;
  for (const auto& [lender, report] : found->second.reports) {
    const absl::Duration age = now - report.at;
    const double weight = WeightAt(age, kLoadTimeConstant);
    weights += weight;
    believed.running += weight * report.load.running;
    believed.waiting += weight * report.load.waiting;
    believed.age = std::min(believed.age, age);
  }
  if (weights > 0) {
    believed.running /= weights;
    believed.waiting /= weights;
  }
  believed.latency = EstimateOf(found->second, now).latency;
  believed.share = ShareOf(found->second, now);
  return believed;
}

void EvenLoadReads::UpdatePresence(const std::vector<ReadCandidate>& candidates,
                                   absl::Time now) {
  for (const ReadCandidate& candidate : candidates) {
    Target& target = Entry(candidate.id, now);
    // It was left out of an earlier choice, so that its load has gone.
    if (target.last_candidate < m_last_choice &&
        now - target.last_candidate > kAbsence &&
        m_last_choice != absl::InfinitePast()) {
      Reduce(&target, {kReturnShare, kReturnRecovery, false}, now);
    }
    target.last_candidate = now;
  }
  m_last_choice = now;
}

std::vector<size_t> EvenLoadReads::Participants(
    const PendingRequest& pending,
    const std::vector<ReadCandidate>& candidates,
    absl::Time now) {
  std::vector<size_t> startable;
  std::vector<size_t> preferred;
  for (size_t index = 0; index < candidates.size(); ++index) {
    if (!candidates[index].can_start) {
      continue;
    }
    startable.push_back(index);
    if (!pending.IsRefusedBy(candidates[index].id, absl::InfinitePast())) {
      preferred.push_back(index);
    }
  }
  std::vector<size_t>& eligible = preferred.empty() ? startable : preferred;
  double best_share = 0;
  for (const size_t index : eligible) {
    best_share =
        std::max(best_share, ShareOf(m_targets[candidates[index].id], now));
  }
  // Relative to the best, since a fault that all targets share tells nothing
  // about one.
  std::vector<size_t> drawn;
  for (const size_t index : eligible) {
    const double share = ShareOf(m_targets[candidates[index].id], now);
    if (share >= best_share || absl::Bernoulli(m_random, share / best_share)) {
      drawn.push_back(index);
    }
  }
  return drawn;
}

EvenLoadReads::Estimate EvenLoadReads::MeanOf(
    const std::vector<Estimate>& estimates) {
  Estimate mean;
  for (const Estimate& estimate : estimates) {
    mean.statements += estimate.known * estimate.statements;
    mean.known += estimate.known;
    mean.lenders = std::max(mean.lenders, estimate.lenders);
    mean.latency += estimate.latency_known * estimate.latency;
    mean.latency_known += estimate.latency_known;
  }
  if (mean.known > 0) {
    mean.statements /= mean.known;
  }
  if (mean.latency_known > 0) {
    mean.latency /= mean.latency_known;
  }
  return mean;
}

bool EvenLoadReads::IsSlow(const TargetId& id, absl::Time now) const {
  absl::Duration slowest_other;
  for (const auto& [other, target] : m_targets) {
    const Estimate estimate = EstimateOf(target, now);
    if (other != id && estimate.latency_known > kLeastKnown) {
      slowest_other = std::max(slowest_other, estimate.latency);
    }
  }
  const absl::Duration latency = EstimateOf(m_targets.at(id), now).latency;
  return slowest_other > absl::ZeroDuration() &&
         latency > kSlowLatencyRatio * slowest_other &&
         latency > slowest_other + kLeastSlowness;
}

double EvenLoadReads::CostOf(const ReadCandidate& candidate,
                             const Estimate& estimate,
                             const Estimate& mean) {
  const Target& target = m_targets[candidate.id];
  const double known = estimate.known / (estimate.known + kMeanWeight);
  const double statements =
      std::max(1.0, mean.lenders) *
          (known * estimate.statements + (1 - known) * mean.statements) +
      kOwnWeight * static_cast<double>(target.own_choices.size()) + 1;
  const double latency_known =
      estimate.latency_known / (estimate.latency_known + kMeanWeight);
  const absl::Duration latency =
      latency_known * estimate.latency + (1 - latency_known) * mean.latency;
  const double ratio = absl::FDivDuration(
      std::max(kLeastLatency, latency), std::max(kLeastLatency, mean.latency));
  const double latency_factor = std::max(1.0, ratio / kUsualLatencyRatio);
  const double error = (kLeastError + kUnknownError * (1 - known)) *
                       absl::Uniform(m_random, -1.0, 1.0);
  return statements * latency_factor * (1 + error) *
         (candidate.primary ? kPrimaryFactor : 1.0) *
         (candidate.same_data_centre ? 1.0 : kRemoteFactor);
}

std::optional<size_t> EvenLoadReads::Choose(
    const PendingRequest& pending,
    const std::vector<ReadCandidate>& candidates,
    absl::Time now) {
  UpdatePresence(candidates, now);
  std::vector<size_t> drawn = Participants(pending, candidates, now);
  if (drawn.empty()) {
    return std::nullopt;
  }
  std::vector<Estimate> estimates;
  for (const ReadCandidate& candidate : candidates) {
    Target& target = m_targets[candidate.id];
    while (!target.own_choices.empty() &&
           now - target.own_choices.front() > kOwnChoiceTime) {
      target.own_choices.pop_front();
    }
    estimates.push_back(EstimateOf(target, now));
  }
  const Estimate mean = MeanOf(estimates);
  const size_t first = absl::Uniform<size_t>(m_random, size_t{0}, drawn.size());
  size_t chosen = drawn[first];
  if (drawn.size() > 1) {
    size_t second =
        absl::Uniform<size_t>(m_random, size_t{0}, drawn.size() - 1);
    second += second >= first ? 1 : 0;
    const size_t other = drawn[second];
    if (CostOf(candidates[other], estimates[other], mean) <
        CostOf(candidates[chosen], estimates[chosen], mean)) {
      chosen = other;
    }
  }
  m_targets[candidates[chosen].id].own_choices.push_back(now);
  return chosen;
}

}  // namespace heatherwick
