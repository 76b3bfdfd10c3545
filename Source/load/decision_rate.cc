// Submits requests to a scheduler whose slots are always busy.

#include "Source/load/decision_rate.h"

#include <array>
#include <chrono>
#include <ctime>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace heatherwick {
namespace {

constexpr uint32_t kSlotsPerTarget = 2;
constexpr uint32_t kConnectionsPerTarget = 7;
constexpr absl::Duration kStatementTime = absl::Milliseconds(5);
constexpr std::array<const char*, 3> kTargets = {"a", "b", "c"};
constexpr std::array<const char*, 3> kCallers = {"x", "y", "z"};
// Offered load as a multiple of the slots' capacity. It exceeds 1 so that
// requests wait and some are refused.
constexpr double kLoadFactor = 1.5;

// Handles the actions of the scheduler: connections open at once, statements
// finish after kStatementTime.
class DecisionLoop {
 public:
  DecisionLoop(std::unique_ptr<GroupScheduler> scheduler, uint64_t requests)
      : m_scheduler(std::move(scheduler)), m_requests(requests) {
    GroupConfig config;
    config.own_data_centre = "1";
    for (const char* target : kTargets) {
      config.targets.push_back(
          {target, "1", kSlotsPerTarget, kConnectionsPerTarget});
    }
    for (const char* caller : kCallers) {
      config.shares[caller] = 1;
    }
    m_scheduler->OnConfig(config, m_now, &m_actions);
    ReportHealth();
    m_scheduler->OnPrimary(std::string(kTargets[0]), 1, m_now, &m_actions);
    Apply();
  }

  DecisionRate Run() {
    const auto start = std::chrono::steady_clock::now();
    const std::clock_t core_start = std::clock();
    const absl::Duration interval =
        kStatementTime / (kTargets.size() * kSlotsPerTarget * kLoadFactor);
    for (uint64_t count = 0; count < m_requests; ++count) {
      m_now += interval;
      FinishDue();
      if (count % kRequestsPerReport == 0) {
        ReportHealth();
        m_scheduler->OnTick(m_now, &m_actions);
      }
      m_scheduler->OnRequest(MakeRequest(count), m_now, &m_actions);
      Apply();
    }
    m_rate.seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
            .count();
    m_rate.core_seconds = static_cast<double>(std::clock() - core_start) /
                          static_cast<double>(CLOCKS_PER_SEC);
    return m_rate;
  }

 private:
  static constexpr uint64_t kRequestsPerReport = 16;

  struct Running {
    absl::Time ends;
    StartStatement start;
  };

  void ReportHealth() {
    for (const char* target : kTargets) {
      TargetHealth health;
      health.reachable = true;
      health.age =
          target == kTargets[0] ? absl::ZeroDuration() : absl::Milliseconds(10);
      m_scheduler->OnTargetHealth(target, health, m_now, &m_actions);
    }
  }

  ScheduledRequest MakeRequest(uint64_t count) const {
    ScheduledRequest request;
    request.id = count + 1;
    request.caller = kCallers[count % kCallers.size()];
    // A quarter each of writes and current reads, half bounded-staleness reads.
    request.request_class = count % 4 == 0 ? RequestClass::kWrite
                            : count % 4 == 1
                                ? RequestClass::kCurrentRead
                                : RequestClass::kBoundedStalenessRead;
    request.max_age = absl::Seconds(1);
    request.shape = 1 + count % 20;
    request.deadline = m_now + absl::Seconds(1);
    return request;
  }

  void FinishDue() {
    while (!m_running.empty() && m_running.front().ends <= m_now) {
      const StartStatement start = m_running.front().start;
      m_running.pop_front();
      FinishedStatement finished;
      finished.request = start.request;
      finished.target = start.target;
      finished.connection = start.connection;
      finished.ran_for = kStatementTime;
      m_scheduler->OnFinished(finished, m_now, &m_actions);
      Apply();
    }
  }

  void Apply() {
    for (size_t index = 0; index < m_actions.size(); ++index) {
      const SchedulerAction action = m_actions[index];
      if (const auto* start = std::get_if<StartStatement>(&action)) {
        ++m_rate.decisions;
        m_running.push_back({m_now + kStatementTime, *start});
      } else if (std::holds_alternative<RefuseRequest>(action)) {
        ++m_rate.decisions;
        ++m_rate.refused;
      } else if (const auto* open = std::get_if<OpenConnection>(&action)) {
        m_scheduler->OnConnectionOpened(open->target, open->connection, m_now,
                                        &m_actions);
      }
    }
    m_actions.clear();
  }

  std::unique_ptr<GroupScheduler> m_scheduler;
  const uint64_t m_requests;
  absl::Time m_now = absl::FromUnixSeconds(1000);
  std::vector<SchedulerAction> m_actions;
  std::deque<Running> m_running;
  DecisionRate m_rate;
};

}  // namespace

DecisionRate MeasureDecisionRate(const SchedulerOptions& policies,
                                 uint64_t requests) {
  auto scheduler = GroupScheduler::Create(policies);
  if (!Ok(scheduler)) {
    return {};
  }
  return DecisionLoop(std::move(ValueOf(scheduler)), requests).Run();
}

}  // namespace heatherwick
