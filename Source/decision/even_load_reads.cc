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
constexpr absl::Duration kFailedRecovery = absl::Seconds(20);
constexpr absl::Duration kLongestFailedRecovery = absl::Seconds(60);
// Signs of load end with the load, so that their recovery is shorter.
constexpr double kLoadedFactor = 0.1;
constexpr absl::Duration kLoadedRecovery = absl::Seconds(5);
constexpr absl::Duration kLongestLoadedRecovery = absl::Seconds(20);
// Replicas usually lag by 20 to 30 ms and targets are busy at times, so that
// single refusals are normal. Several in a row count fully.
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

const EvenLoadReads::Loss EvenLoadReads::kFailure = {
    kFailedFactor, kFailedRecovery, kLongestFailedRecovery};
const EvenLoadReads::Loss EvenLoadReads::kOverload = {
    kLoadedFactor, kLoadedRecovery, kLongestLoadedRecovery};
const EvenLoadReads::Loss EvenLoadReads::kRefusal = {
    kRefusedFactor, kRefusedRecovery, kRefusedRecovery};
const EvenLoadReads::Loss EvenLoadReads::kReturn = {
    kReturnShare, kReturnRecovery, kReturnRecovery};

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
    Reduce(&entry.by_faults, kFailure, now);
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
      Reduce(&entry.by_faults, kFailure, now);
      return true;
    case ReadOutcome::kSlow:
      Reduce(&entry.by_load, kOverload, now);
      return true;
    case ReadOutcome::kRefused:
      Reduce(&entry.by_load,
             ++entry.refusals_in_row < kRefusalsInRow ? kRefusal : kOverload,
             now);
      return true;
    case ReadOutcome::kLagging:
      Reduce(&entry.by_faults,
             ++entry.refusals_in_row < kRefusalsInRow ? kRefusal : kFailure,
             now);
      return true;
  }
  return false;
}

double EvenLoadReads::ShareAt(const Share& share, absl::Time now) {
  if (share.lost_at == absl::InfinitePast()) {
    return 1.0;
  }
  // The third power keeps the share small for the first half of the time.
  const double passed =
      std::min(1.0, absl::FDivDuration(now - share.lost_at, share.recovery));
  return std::max(kLeastShare,
                  share.at_loss + (1.0 - share.at_loss) * std::pow(passed, 3));
}

void EvenLoadReads::Reduce(Share* share, const Loss& loss, absl::Time now) {
  const double before = ShareAt(*share, now);
  const bool again = share->lost_at != absl::InfinitePast() &&
                     now - share->lost_at < 2 * share->recovery;
  // The recovery doubles with each further loss, as when a target flaps.
  if (!again) {
    share->recovery = loss.recovery;
  } else if (share->recovery < loss.longest_recovery) {
    share->recovery =
        std::clamp(2 * share->recovery, loss.recovery, loss.longest_recovery);
  }
  share->at_loss = std::max(kLeastShare, before * loss.factor);
  share->lost_at = now;
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
  believed.share = ShareAt(found->second.by_faults, now) *
                   ShareAt(found->second.by_load, now);
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
      Reduce(&target.by_faults, kReturn, now);
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
  // Shares count relative to the best, since a fault that all targets share
  // tells nothing about one.
  double best_replica = 0;
  for (const size_t index : eligible) {
    if (!candidates[index].primary) {
      best_replica = std::max(
          best_replica, ShareAt(m_targets[candidates[index].id].by_load, now));
    }
  }
  std::vector<std::pair<double, double>> shares;  // By faults and by load.
  std::pair<double, double> best;
  for (const size_t index : eligible) {
    const Target& target = m_targets[candidates[index].id];
    std::pair<double, double> share = {ShareAt(target.by_faults, now),
                                       ShareAt(target.by_load, now)};
    if (candidates[index].primary && best_replica > 0) {
      share.second = std::min(share.second, best_replica);
    }
    best = {std::max(best.first, share.first),
            std::max(best.second, share.second)};
    shares.push_back(share);
  }
  std::vector<size_t> drawn;
  std::optional<size_t> likeliest;
  double highest = 0;
  for (size_t place = 0; place < eligible.size(); ++place) {
    const double probability =
        shares[place].first / best.first * shares[place].second / best.second;
    if (probability > highest) {
      highest = probability;
      likeliest = eligible[place];
    }
    if (probability >= 1 || absl::Bernoulli(m_random, probability)) {
      drawn.push_back(eligible[place]);
    }
  }
  if (drawn.empty() && likeliest) {
    drawn.push_back(*likeliest);
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
