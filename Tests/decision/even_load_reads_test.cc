// Guards against targets that are overrun in turn because many choosers act on
// the same old knowledge, against faulty targets that keep their work, and
// against a crowd at a target that returns. A simulation in virtual time runs
// the choosers with EvenLoadReads and with the rule that compares only a
// chooser's own statements and latencies.

#include "Source/decision/even_load_reads.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numeric>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "Source/kernel/registry.h"
#include "absl/strings/str_cat.h"
#include "absl/time/time.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

constexpr size_t kTargets = 3;
constexpr size_t kSlots = 4;
constexpr size_t kLenders = 7;
constexpr size_t kConnectionsOfLender = 4;
constexpr size_t kChoosers = 100;
constexpr absl::Duration kHop = absl::Milliseconds(1);
constexpr absl::Duration kRemoteHop = absl::Milliseconds(2);
// A target's work relative to the mean of all; see section 6 of
// docs/workspaces-and-load.md.
constexpr double kMostUneven = 1.5;
// A read is tried three times, so that fewer than one in a thousand meets only
// the faulty target.
constexpr double kMostAtFaulty = 0.1;

enum class Rule {
  kOwnLatency,
  kLeastReported,  // The target with the fewest statements in the reports.
  kEvenLoad,
};

// How choosers learn of the loads.
enum class Knowledge {
  kAnswers,  // From the answers to their own statements, as in the product.
  // Of all targets and lenders each 450 ms, 50 ms late: 50 to 500 ms old when
  // it is used.
  kPeriodic,
};

struct FleetOptions {
  Rule rule = Rule::kEvenLoad;
  Knowledge knowledge = Knowledge::kAnswers;
  double reads_per_s = 150;
  absl::Duration service_time = absl::Milliseconds(20);
  // Work that only the first target, the primary, can run; 0 if all targets
  // are replicas.
  double writes_per_s = 0;
  absl::Duration write_time = absl::Milliseconds(5);
  // Each target is in another of four data centres of uneven size.
  bool spread = false;
  unsigned seed = 1;
};

// Choosers, lenders and targets of one group.
class SimulatedGroup {
 public:
  struct Fault {
    double slowdown = 1;
    double failing = 0;  // Fraction of the statements that fail, at once.
    bool absent = false;
  };
  struct Choice {
    absl::Duration at;
    size_t target;
  };

  explicit SimulatedGroup(FleetOptions options)
      : m_options(options),
        m_arrivals(options.seed),
        m_random(options.seed),
        m_targets(kTargets) {
    for (size_t index = 0; index < kChoosers; ++index) {
      auto chooser = std::make_unique<Chooser>();
      chooser->random.seed(uint64_t{options.seed} * 1000 + index);
      // 46, 27, 18 and 9 of the choosers; two lenders in each data centre, one
      // in the last.
      constexpr std::array<size_t, 11> kDataCentres = {0, 0, 0, 0, 0, 1,
                                                       1, 1, 2, 2, 3};
      chooser->data_centre =
          options.spread ? kDataCentres[index % kDataCentres.size()] : 0;
      chooser->lender =
          options.spread
              ? std::min(kLenders - 1, 2 * chooser->data_centre + index % 2)
              : index % kLenders;
      auto policy = Registry<ReadPolicy, absl::BitGenRef>::Create(
          "even_load", chooser->random);
      REQUIRE(Ok(policy));
      chooser->policy = std::move(ValueOf(policy));
      m_choosers.push_back(std::move(chooser));
    }
    for (auto& target : m_targets) {
      target.lenders.resize(kLenders);
    }
    NextRead();
    if (options.writes_per_s > 0) {
      NextWrite();
    }
    if (options.knowledge == Knowledge::kPeriodic) {
      for (size_t chooser = 0; chooser < kChoosers; ++chooser) {
        for (size_t target = 0; target < kTargets; ++target) {
          After(absl::Milliseconds(Uniform(0, 450)), [this, chooser, target]() {
            ReportPeriodically(chooser, target);
          });
        }
      }
    }
  }

  void RunFor(absl::Duration time) {
    const absl::Duration end = m_now + time;
    while (!m_events.empty() && m_events.begin()->first.first <= end) {
      auto event = m_events.extract(m_events.begin());
      m_now = event.key().first;
      event.mapped()();
    }
    m_now = end;
  }

  void SetFault(size_t target, Fault fault) { m_targets[target].fault = fault; }
  absl::Duration Now() const { return m_now; }

  // Fraction of the choices within the time that are `target`.
  double ShareOf(size_t target, absl::Duration from, absl::Duration to) const {
    size_t all = 0;
    size_t at_target = 0;
    for (const Choice& choice : m_choices) {
      if (choice.at >= from && choice.at < to) {
        ++all;
        at_target += choice.target == target ? 1 : 0;
      }
    }
    return all == 0 ? 0
                    : static_cast<double>(at_target) / static_cast<double>(all);
  }
  // The target's largest share in any window of the time.
  double HighestShareOf(size_t target,
                        absl::Duration from,
                        absl::Duration to,
                        absl::Duration window) const {
    double highest = 0;
    for (absl::Duration at = from; at + window <= to; at += window / 2) {
      highest = std::max(highest, ShareOf(target, at, at + window));
    }
    return highest;
  }
  // Work of the busiest target relative to the mean: in all, and the mean over
  // windows of 500 ms.
  double Unevenness(absl::Duration from) const {
    return UnevennessOf(from, m_now);
  }
  double WindowUnevenness(absl::Duration from) const {
    constexpr absl::Duration kWindow = absl::Milliseconds(500);
    double sum = 0;
    int windows = 0;
    for (absl::Duration at = from; at + kWindow <= m_now; at += kWindow) {
      sum += UnevennessOf(at, at + kWindow);
      ++windows;
    }
    return sum / windows;
  }
  absl::Duration WaitQuantile(absl::Duration from, double quantile) const {
    std::vector<absl::Duration> waits;
    for (const auto& [at, wait] : m_waits) {
      if (at >= from) {
        waits.push_back(wait);
      }
    }
    std::sort(waits.begin(), waits.end());
    return waits[static_cast<size_t>(quantile *
                                     static_cast<double>(waits.size() - 1))];
  }

 private:
  struct Statement {
    size_t chooser = 0;
    size_t target = 0;
    size_t lender = 0;
    bool read = true;
    absl::Duration work;
    absl::Duration chosen;
    absl::Duration sent;  // To the target.
  };
  struct LentTarget {
    size_t running = 0;
    std::deque<Statement> waiting;
    absl::Duration latency = absl::Milliseconds(10);
  };
  struct Target {
    Fault fault;
    size_t busy = 0;
    std::deque<Statement> queue;
    std::vector<LentTarget> lenders;
  };
  struct Own {
    size_t busy = 0;
    absl::Duration latency = absl::Milliseconds(10);
  };
  struct Chooser {
    std::mt19937_64 random;
    size_t data_centre = 0;
    size_t lender = 0;
    std::unique_ptr<ReadPolicy> policy;
    std::array<Own, kTargets> own;
    std::array<std::array<uint32_t, kLenders>, kTargets> reported = {};
  };
  struct Work {
    absl::Duration at;
    size_t target;
    absl::Duration time;
  };

  double Uniform(double low, double high) {
    return std::uniform_real_distribution<double>(low, high)(m_random);
  }
  absl::Duration Exponential(absl::Duration mean) {
    return mean * std::exponential_distribution<double>(1)(m_arrivals);
  }
  size_t AnyChooser() {
    return std::uniform_int_distribution<size_t>(0, kChoosers - 1)(m_arrivals);
  }
  void After(absl::Duration delay, std::function<void()> event) {
    m_events.emplace(std::pair(m_now + delay, m_next_event++),
                     std::move(event));
  }
  static std::string Id(size_t target) { return absl::StrCat("t", target); }
  absl::Time Time() const { return absl::UnixEpoch() + absl::Hours(1) + m_now; }

  void NextRead() {
    After(Exponential(absl::Seconds(1) / m_options.reads_per_s), [this]() {
      Read(AnyChooser(), Exponential(m_options.service_time));
      NextRead();
    });
  }
  void NextWrite() {
    After(Exponential(absl::Seconds(1) / m_options.writes_per_s), [this]() {
      Statement write;
      write.read = false;
      write.chooser = AnyChooser();
      write.work = Exponential(m_options.write_time);
      Send(write);
      NextWrite();
    });
  }

  static uint32_t Sum(const std::array<uint32_t, kLenders>& values) {
    return std::accumulate(values.begin(), values.end(), uint32_t{0});
  }
  bool IsLocal(const Chooser& chooser, size_t target) const {
    return !m_options.spread || chooser.data_centre == target;
  }
  // Between a lender and a target.
  absl::Duration HopOf(const Statement& statement) const {
    return IsLocal(*m_choosers[statement.chooser], statement.target)
               ? absl::ZeroDuration()
               : kRemoteHop;
  }

  size_t Choose(Chooser* chooser) {
    std::vector<ReadCandidate> candidates;
    std::vector<size_t> targets;
    for (size_t target = 0; target < kTargets; ++target) {
      if (m_targets[target].fault.absent) {
        continue;
      }
      ReadCandidate candidate;
      candidate.id = Id(target);
      candidate.primary = m_options.writes_per_s > 0 && target == 0;
      candidate.same_data_centre = IsLocal(*chooser, target);
      candidate.can_start = true;
      candidates.push_back(candidate);
      targets.push_back(target);
    }
    if (m_options.rule == Rule::kEvenLoad) {
      return targets[*chooser->policy->Choose({}, candidates, Time())];
    }
    if (m_options.rule == Rule::kLeastReported) {
      return *std::min_element(targets.begin(), targets.end(),
                               [chooser](size_t first, size_t second) {
                                 return Sum(chooser->reported[first]) <
                                        Sum(chooser->reported[second]);
                               });
    }
    size_t best = 0;
    double best_score = 0;
    for (size_t index = 0; index < targets.size(); ++index) {
      const Own& own = chooser->own[targets[index]];
      double score = absl::ToDoubleMilliseconds(own.latency) *
                         static_cast<double>(own.busy + 1) +
                     (candidates[index].same_data_centre ? 0 : 4);
      score *= candidates[index].primary ? 1.5 : 1.0;
      if (index == 0 || score < best_score) {
        best = index;
        best_score = score;
      }
    }
    return targets[best];
  }

  void Read(size_t index, absl::Duration work) {
    Statement read;
    read.work = work;
    read.chooser = index;
    read.target = Choose(m_choosers[index].get());
    ++m_choosers[index]->own[read.target].busy;
    m_choices.push_back({m_now, read.target});
    Send(read);
  }

  void Send(Statement statement) {
    statement.lender = m_choosers[statement.chooser]->lender;
    statement.chosen = m_now;
    After(kHop, [this, statement]() {
      Target& target = m_targets[statement.target];
      target.lenders[statement.lender].waiting.push_back(statement);
      Lend(statement.target, statement.lender);
    });
  }

  void Lend(size_t index, size_t lender) {
    Target& target = m_targets[index];
    LentTarget& lent = target.lenders[lender];
    while (lent.running < kConnectionsOfLender && !lent.waiting.empty()) {
      Statement statement = lent.waiting.front();
      lent.waiting.pop_front();
      ++lent.running;
      statement.sent = m_now;
      After(HopOf(statement), [this, statement]() {
        m_targets[statement.target].queue.push_back(statement);
        Serve(statement.target);
      });
    }
  }

  void Serve(size_t index) {
    Target& target = m_targets[index];
    while (target.busy < kSlots && !target.queue.empty()) {
      const Statement statement = target.queue.front();
      target.queue.pop_front();
      ++target.busy;
      const bool fails = Uniform(0, 1) < target.fault.failing;
      const absl::Duration time = fails
                                      ? absl::Milliseconds(1)
                                      : statement.work * target.fault.slowdown;
      m_work.push_back({m_now, index, time});
      if (statement.read) {
        m_waits.emplace_back(
            m_now, m_now - statement.chosen - kHop - HopOf(statement));
      }
      After(time, [this, statement, fails]() {
        --m_targets[statement.target].busy;
        Serve(statement.target);
        After(HopOf(statement),
              [this, statement, fails]() { Finish(statement, fails); });
      });
    }
  }

  void Finish(const Statement& statement, bool fails) {
    Target& target = m_targets[statement.target];
    LentTarget& lent = target.lenders[statement.lender];
    --lent.running;
    lent.latency = 0.85 * lent.latency + 0.15 * (m_now - statement.sent);
    Lend(statement.target, statement.lender);
    const TargetLoad load = LoadOf(statement.target, statement.lender);
    After(kHop, [this, statement, fails, load]() {
      OnAnswer(statement, fails, load);
    });
  }

  TargetLoad LoadOf(size_t target, size_t lender) const {
    const LentTarget& lent = m_targets[target].lenders[lender];
    return {static_cast<uint32_t>(lent.running),
            static_cast<uint32_t>(lent.waiting.size()), lent.latency};
  }

  void OnAnswer(const Statement& statement,
                bool fails,
                const TargetLoad& load) {
    Chooser& chooser = *m_choosers[statement.chooser];
    Own& own = chooser.own[statement.target];
    own.latency = 0.85 * own.latency + 0.15 * (m_now - statement.chosen);
    own.busy -= statement.read ? 1 : 0;
    if (m_options.knowledge == Knowledge::kAnswers) {
      Report(statement.chooser, statement.target, statement.lender, load);
    }
    if (!statement.read) {
      return;
    }
    chooser.policy->OnOutcome(Id(statement.target),
                              fails ? ReadOutcome::kFailed : ReadOutcome::kDone,
                              Time());
  }

  void Report(size_t chooser,
              size_t target,
              size_t lender,
              const TargetLoad& load) {
    m_choosers[chooser]->reported[target][lender] = load.running + load.waiting;
    m_choosers[chooser]->policy->OnLoad(Id(target), absl::StrCat("l", lender),
                                        load, Time());
  }

  void ReportPeriodically(size_t chooser, size_t target) {
    for (size_t lender = 0; lender < kLenders; ++lender) {
      const TargetLoad load = LoadOf(target, lender);
      After(absl::Milliseconds(50), [this, chooser, target, lender, load]() {
        Report(chooser, target, lender, load);
      });
    }
    After(absl::Milliseconds(450),
          [this, chooser, target]() { ReportPeriodically(chooser, target); });
  }

  double UnevennessOf(absl::Duration from, absl::Duration to) const {
    std::array<double, kTargets> work = {};
    double sum = 0;
    for (const Work& item : m_work) {
      if (item.at >= from && item.at < to) {
        work[item.target] += absl::ToDoubleSeconds(item.time);
        sum += absl::ToDoubleSeconds(item.time);
      }
    }
    return *std::max_element(work.begin(), work.end()) / (sum / kTargets);
  }

  const FleetOptions m_options;
  // Separate, so that all rules meet the same arrivals.
  std::mt19937_64 m_arrivals;
  std::mt19937_64 m_random;
  std::vector<Target> m_targets;
  std::vector<std::unique_ptr<Chooser>> m_choosers;
  absl::Duration m_now;
  uint64_t m_next_event = 0;
  std::map<std::pair<absl::Duration, uint64_t>, std::function<void()>> m_events;
  std::vector<Choice> m_choices;
  std::vector<Work> m_work;
  std::vector<std::pair<absl::Duration, absl::Duration>> m_waits;
};

struct Figures {
  double unevenness = 0;
  double window_unevenness = 0;
  absl::Duration p99;
};

Figures Measure(const FleetOptions& options) {
  constexpr absl::Duration kWarmUp = absl::Seconds(5);
  SimulatedGroup group(options);
  group.RunFor(kWarmUp + absl::Seconds(60));
  return {group.Unevenness(kWarmUp), group.WindowUnevenness(kWarmUp),
          group.WaitQuantile(kWarmUp, 0.99)};
}

// Runs both rules on the same arrivals.
void CompareRules(const std::string& name,
                  FleetOptions options,
                  bool shorter_waits) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    options.seed = seed;
    options.rule = Rule::kOwnLatency;
    const Figures own = Measure(options);
    options.rule = Rule::kEvenLoad;
    const Figures even = Measure(options);
    MESSAGE(name << " seed " << seed << ": busiest/mean " << own.unevenness
                 << " to " << even.unevenness << ", in windows "
                 << own.window_unevenness << " to " << even.window_unevenness
                 << ", p99 wait " << absl::FormatDuration(own.p99) << " to "
                 << absl::FormatDuration(even.p99));
    CHECK(even.unevenness < kMostUneven);
    CHECK(even.window_unevenness < kMostUneven);
    CHECK((even.p99 < own.p99 || !shorter_waits));
  }
}

// Guards against targets that are overrun in turn because many choosers follow
// the same old knowledge, and against a crowd at the primary, whose statements
// are short. Waits are to be shorter on calm days.
TEST_CASE("EvenLoadReads_OldKnowledge_LoadIsEvenAndWaitsAreShorter") {
  FleetOptions options;
  options.knowledge = Knowledge::kPeriodic;
  options.reads_per_s = 110;
  options.writes_per_s = 110;
  CompareRules("primary and replicas, 0.2 busy", options, true);
  options.reads_per_s = 330;
  options.writes_per_s = 330;
  CompareRules("primary and replicas, 0.7 busy", options, false);
  for (unsigned seed = 1; seed <= 5; ++seed) {
    options.seed = seed;
    options.rule = Rule::kLeastReported;
    const Figures least = Measure(options);
    options.rule = Rule::kEvenLoad;
    const Figures even = Measure(options);
    MESSAGE("least reported seed " << seed << ": busiest/mean in windows "
                                   << least.window_unevenness << " to "
                                   << even.window_unevenness << ", p99 wait "
                                   << absl::FormatDuration(least.p99) << " to "
                                   << absl::FormatDuration(even.p99));
    CHECK(even.window_unevenness < least.window_unevenness);
    CHECK(even.p99 < least.p99);
  }
}

// The same with what the answers carry, and with most choosers in the data
// centre of one target.
TEST_CASE("EvenLoadReads_KnowledgeOfAnswers_LoadIsEvenAndWaitsAreShorter") {
  FleetOptions options;
  options.spread = true;
  options.reads_per_s = 110;
  options.writes_per_s = 110;
  CompareRules("data centres, 0.2 busy", options, true);
  options.reads_per_s = 330;
  options.writes_per_s = 330;
  CompareRules("data centres, 0.7 busy", options, false);
}

// Targets that run the same statements show the same latency, so that choosers
// that follow their own are not drawn to one. The rules differ little there.
TEST_CASE("EvenLoadReads_EqualTargets_LoadIsEven") {
  FleetOptions options;
  options.knowledge = Knowledge::kPeriodic;
  options.reads_per_s = 150;
  CompareRules("replicas only, 0.25 busy", options, false);
  options.reads_per_s = 420;
  CompareRules("replicas only, 0.7 busy", options, false);
}

// Guards against faulty targets that keep their work until a report of theirs
// arrives, and against work that goes back before the fault is over.
// The choices are counted from three seconds after the fault begins, in which a
// chooser sends about one read to each target.
void CheckLosesWork(
    const std::string& name,
    const std::function<void(SimulatedGroup*)>& run_with_fault) {
  for (unsigned seed = 1; seed <= 5; ++seed) {
    FleetOptions options;
    options.seed = seed;
    SimulatedGroup group(options);
    group.RunFor(absl::Seconds(10));
    run_with_fault(&group);
    const double share = group.ShareOf(2, absl::Seconds(13), absl::Seconds(30));
    options.rule = Rule::kOwnLatency;
    SimulatedGroup own(options);
    own.RunFor(absl::Seconds(10));
    run_with_fault(&own);
    MESSAGE(name << " seed " << seed << ": share "
                 << own.ShareOf(2, absl::Seconds(13), absl::Seconds(30))
                 << " to " << share);
    CHECK(share < kMostAtFaulty);
  }
}

TEST_CASE("EvenLoadReads_TargetSlow_LosesItsWork") {
  CheckLosesWork("slow", [](SimulatedGroup* group) {
    group->SetFault(2, {10, 0, false});
    group->RunFor(absl::Seconds(20));
  });
}

TEST_CASE("EvenLoadReads_TargetFailsStatements_LosesItsWork") {
  for (const double failing : {1.0, 0.5}) {
    CheckLosesWork(absl::StrCat("failing ", failing),
                   [failing](SimulatedGroup* group) {
                     group->SetFault(2, {1, failing, false});
                     group->RunFor(absl::Seconds(20));
                   });
  }
}

// Guards against a target that gets its work back each time it is up.
TEST_CASE("EvenLoadReads_TargetFlaps_LosesItsWork") {
  CheckLosesWork("flapping", [](SimulatedGroup* group) {
    for (int period = 0; period < 10; ++period) {
      group->SetFault(2, {1, 1, false});
      group->RunFor(absl::Seconds(1));
      group->SetFault(2, {});
      group->RunFor(absl::Seconds(1));
    }
  });
}

// Guards against choosers that all go to a target that returns and looks idle.
TEST_CASE("EvenLoadReads_TargetReturns_GetsWorkSlowlyAndFully") {
  for (const bool was_absent : {true, false}) {
    FleetOptions options;
    options.reads_per_s = 300;
    SimulatedGroup group(options);
    group.RunFor(absl::Seconds(10));
    group.SetFault(2, was_absent ? SimulatedGroup::Fault{1, 0, true}
                                 : SimulatedGroup::Fault{1, 1, false});
    group.RunFor(absl::Seconds(10));
    group.SetFault(2, {});
    group.RunFor(absl::Seconds(40));
    const double first =
        group.ShareOf(2, absl::Seconds(20), absl::Milliseconds(20500));
    const double highest = group.HighestShareOf(
        2, absl::Seconds(20), absl::Seconds(60), absl::Milliseconds(500));
    const double last = group.ShareOf(2, absl::Seconds(50), absl::Seconds(60));
    MESSAGE("absent " << was_absent << ": first 500 ms " << first
                      << ", highest in 500 ms " << highest << ", last 10 s "
                      << last);
    // A third is an even share.
    CHECK(first < 1.0 / 6);
    CHECK(highest < kMostUneven / 3);
    CHECK(last > 0.8 / 3);
  }
}

class EvenLoadFixture {
 protected:
  EvenLoadFixture() {
    for (size_t target = 0; target < kTargets; ++target) {
      ReadCandidate candidate;
      candidate.id = absl::StrCat("t", target);
      candidate.can_start = true;
      candidate.same_data_centre = true;
      m_candidates.push_back(candidate);
    }
  }

  // Choices of each target out of 3,000, each of which ends at once.
  std::vector<int> Choices() {
    std::vector<int> choices(m_candidates.size());
    for (int choice = 0; choice < 3000; ++choice) {
      const std::optional<size_t> chosen =
          m_policy.Choose(m_pending, m_candidates, m_now);
      REQUIRE(chosen);
      ++choices[*chosen];
      m_policy.OnOutcome(m_candidates[*chosen].id, ReadOutcome::kDone, m_now);
    }
    return choices;
  }
  void Report(size_t target, TargetLoad load) {
    m_policy.OnLoad(m_candidates[target].id, "l", load, m_now);
  }

  std::mt19937_64 m_random{7};
  EvenLoadReads m_policy{m_random};
  PendingRequest m_pending;
  std::vector<ReadCandidate> m_candidates;
  absl::Time m_now = absl::UnixEpoch() + absl::Hours(1);
};

// Six standard deviations of 3,000 choices with probability 1/3.
constexpr int kFewest = 845;
constexpr int kMost = 1155;

TEST_CASE_FIXTURE(EvenLoadFixture, "EvenLoadReads_NoLoadKnown_AllAreEqual") {
  for (const int choices : Choices()) {
    CHECK(choices > kFewest);
    CHECK(choices < kMost);
  }
}

// Guards against an old report that keeps work away from a target, or draws it
// there.
TEST_CASE_FIXTURE(EvenLoadFixture,
                  "EvenLoadReads_ReportsOld_CountLessAndAreForgotten") {
  Report(0, {0, 0, absl::Milliseconds(20)});
  Report(1, {20, 10, absl::Milliseconds(20)});
  Report(2, {20, 10, absl::Milliseconds(20)});
  const std::vector<int> fresh = Choices();
  CHECK(fresh[0] > 1800);
  m_now += absl::Seconds(11);
  for (const int choices : Choices()) {
    CHECK(choices > kFewest);
    CHECK(choices < kMost);
  }
}

// Guards against a lender that reports nonsense and draws all work to a target,
// or away from it.
TEST_CASE_FIXTURE(EvenLoadFixture, "EvenLoadReads_ReportOutOfRange_IsIgnored") {
  const absl::Duration latency = absl::Milliseconds(20);
  for (const TargetLoad& load :
       {TargetLoad{5000, 0, latency}, TargetLoad{0, 4000000000, latency},
        TargetLoad{0, 0, absl::ZeroDuration()},
        TargetLoad{0, 0, absl::Milliseconds(-5)},
        TargetLoad{0, 0, absl::Hours(1)},
        TargetLoad{0, 0, absl::InfiniteDuration()}}) {
    CHECK(!m_policy.OnLoad("t0", "l", load, m_now));
    CHECK(!m_policy.Believed("t0", m_now));
  }
  for (const int choices : Choices()) {
    CHECK(choices > kFewest);
    CHECK(choices < kMost);
  }
}

// Guards against preferences that decide alone.
TEST_CASE_FIXTURE(EvenLoadFixture,
                  "EvenLoadReads_Preferences_ShiftSomeOfTheWork") {
  m_candidates[0].primary = true;
  m_candidates[1].same_data_centre = false;
  const std::vector<int> choices = Choices();
  MESSAGE("primary " << choices[0] << ", remote " << choices[1] << ", local "
                     << choices[2]);
  CHECK(choices[0] < kFewest);
  CHECK(choices[0] > 300);
  CHECK(choices[1] < choices[2]);
  CHECK(choices[1] > 800);
}

// Guards against repeating a read at the target that was too slow for it.
TEST_CASE_FIXTURE(EvenLoadFixture,
                  "EvenLoadReads_RefusedCandidate_IsTheLastChoice") {
  m_pending.OnRefusedBy("t1", m_now);
  CHECK(Choices()[1] == 0);
  m_candidates[0].can_start = false;
  m_candidates[2].can_start = false;
  CHECK(Choices()[1] == 3000);
  m_candidates[1].can_start = false;
  CHECK(!m_policy.Choose(m_pending, m_candidates, m_now));
}

// Guards against a chooser that sends all its statements before it learns of
// their effect.
TEST_CASE_FIXTURE(EvenLoadFixture,
                  "EvenLoadReads_OwnChoices_CountUntilTheyEnd") {
  m_pending.OnRefusedBy("t1", m_now);
  m_pending.OnRefusedBy("t2", m_now);
  for (int choice = 0; choice < 4; ++choice) {
    CHECK(m_policy.Choose(m_pending, m_candidates, m_now) == 0);
  }
  m_pending = PendingRequest();
  CHECK(Choices()[0] < 300);
  for (int choice = 0; choice < 4; ++choice) {
    m_policy.OnOutcome("t0", ReadOutcome::kDone, m_now);
  }
  CHECK(Choices()[0] > kFewest);
}

// Guards against an overload that moves all reads to the primary, and against
// replicas that fail and keep their reads.
TEST_CASE_FIXTURE(EvenLoadFixture,
                  "EvenLoadReads_ReplicasOverloaded_PrimaryIsNotFlooded") {
  m_candidates[0].primary = true;
  for (const ReadOutcome outcome :
       {ReadOutcome::kRefused, ReadOutcome::kSlow}) {
    for (int count = 0; count < 5; ++count) {
      m_policy.OnOutcome("t1", outcome, m_now);
      m_policy.OnOutcome("t2", outcome, m_now);
    }
  }
  CHECK(Choices()[0] < kFewest);
  // One of them has recovered.
  m_policy.OnOutcome("t1", ReadOutcome::kSlow, m_now + absl::Seconds(60));
  m_now += absl::Seconds(60);
  const std::vector<int> choices = Choices();
  CHECK(choices[0] < kMost);
  CHECK(choices[1] < kFewest / 2);

  for (int count = 0; count < 5; ++count) {
    m_policy.OnOutcome("t1", ReadOutcome::kFailed, m_now);
    m_policy.OnOutcome("t2", ReadOutcome::kFailed, m_now);
  }
  CHECK(Choices()[0] > 2700);
}

// Guards against a target that flaps slowly and is whole again each time.
TEST_CASE_FIXTURE(EvenLoadFixture,
                  "EvenLoadReads_FailureRepeated_RecoveryIsLonger") {
  m_policy.OnOutcome("t1", ReadOutcome::kFailed, m_now);
  m_now += absl::Seconds(25);
  CHECK(Choices()[1] > kFewest);
  m_policy.OnOutcome("t1", ReadOutcome::kFailed, m_now);
  m_now += absl::Seconds(25);
  CHECK(Choices()[1] < kFewest);
  m_now += absl::Seconds(25);
  CHECK(Choices()[1] > kFewest);
}

// Guards against single refusals for lag, which are usual, that take a
// replica's work, and against a replica that lags for long and keeps it.
TEST_CASE_FIXTURE(EvenLoadFixture, "EvenLoadReads_TargetLags_LosesItsWork") {
  m_policy.OnOutcome("t1", ReadOutcome::kLagging, m_now);
  m_policy.OnOutcome("t1", ReadOutcome::kDone, m_now);
  m_now += absl::Seconds(2);
  for (const int choices : Choices()) {
    CHECK(choices > kFewest);
    CHECK(choices < kMost);
  }
  m_policy.OnOutcome("t1", ReadOutcome::kLagging, m_now);
  m_policy.OnOutcome("t1", ReadOutcome::kLagging, m_now);
  m_now += absl::Seconds(2);
  CHECK(Choices()[1] < kMostAtFaulty * 3000);
  m_now += absl::Seconds(20);
  CHECK(Choices()[1] > kFewest);
}

// Guards against a fault of all targets that leaves none to choose.
TEST_CASE_FIXTURE(EvenLoadFixture,
                  "EvenLoadReads_AllTargetsFail_AllStayInUse") {
  for (int failure = 0; failure < 20; ++failure) {
    for (const ReadCandidate& candidate : m_candidates) {
      m_policy.OnOutcome(candidate.id, ReadOutcome::kFailed, m_now);
    }
  }
  for (const int choices : Choices()) {
    CHECK(choices > kFewest);
    CHECK(choices < kMost);
  }
}

}  // namespace
}  // namespace heatherwick
