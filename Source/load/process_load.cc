// Generates the arrivals and runs one thread per session.

#include "Source/load/process_load.h"
#include "Source/base/steady_clock.h"

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <random>
#include <thread>

#include "Source/load/load_settlement.h"
#include "absl/time/clock.h"

namespace heatherwick {

namespace {

// Limit of the arrivals of each caller that wait for an idle session. An
// arrival over the limit is counted as not sent.
constexpr size_t kMaxWaitingArrivals = 10000;
constexpr absl::Duration kProgressPeriod = absl::Seconds(1);

}  // namespace

ProcessLoad::ProcessLoad(const ProcessLoadOptions& options)
    : m_options(options),
      m_client(options.proxies),
      m_context{&m_options, &m_client, &m_ledger, &m_report},
      m_queues(options.callers.size()) {}

std::vector<double> ProcessLoad::CallerWeights() const {
  std::vector<double> weights;
  for (const LoadCaller& caller : m_options.callers) {
    weights.push_back(static_cast<double>(caller.weight));
  }
  return weights;
}

void ProcessLoad::AddArrival(size_t caller, const LoadArrival& arrival) {
  const absl::MutexLock lock(&m_mutex);
  if (m_queues[caller].arrivals.size() >= kMaxWaitingArrivals) {
    m_report.AddNotSent();
    return;
  }
  m_queues[caller].arrivals.push_back(arrival);
  m_changed.SignalAll();
}

void ProcessLoad::GenerateArrivals() {
  std::mt19937_64 random(m_options.seed);
  std::exponential_distribution<double> pause(
      static_cast<double>(m_options.rate));
  const std::vector<double> weights = CallerWeights();
  std::discrete_distribution<size_t> callers(weights.begin(), weights.end());
  const absl::Time start = SteadyNow();
  absl::Time progress = start + kProgressPeriod;
  for (absl::Time due = start; due < start + m_options.duration;
       due += absl::Seconds(pause(random))) {
    absl::SleepFor(due - SteadyNow());
    const size_t caller = callers(random);
    AddArrival(caller, {random(), due});
    if (due >= progress) {
      fprintf(stderr, "%s\n", m_report.ProgressLine(due).c_str());
      progress += kProgressPeriod;
    }
  }
}

void ProcessLoad::RunSession(uint64_t number, size_t caller) {
  LoadSession session(m_context, number, m_options.callers[caller].name);
  while (true) {
    LoadArrival arrival;
    {
      const absl::MutexLock lock(&m_mutex);
      std::deque<LoadArrival>& arrivals = m_queues[caller].arrivals;
      while (arrivals.empty() && !m_finished) {
        m_changed.Wait(&m_mutex);
      }
      if (arrivals.empty()) {
        return;
      }
      arrival = arrivals.front();
      arrivals.pop_front();
    }
    session.Run(arrival);
  }
}

void ProcessLoad::RunLoad() {
  // The first sessions go to one caller each, so that every caller has at least
  // one session.
  std::vector<std::thread> sessions;
  const std::vector<double> weights = CallerWeights();
  std::mt19937_64 random(m_options.seed + 1);
  std::discrete_distribution<size_t> callers(weights.begin(), weights.end());
  for (uint64_t i = 0; i < m_options.sessions; ++i) {
    const size_t caller = i < weights.size() ? i : callers(random);
    sessions.emplace_back([this, i, caller] { RunSession(i, caller); });
  }
  m_report.Start(m_options.groups, SteadyNow());
  GenerateArrivals();
  m_report.EndLoad(SteadyNow());
  {
    const absl::MutexLock lock(&m_mutex);
    m_finished = true;
    m_changed.SignalAll();
  }
  for (std::thread& session : sessions) {
    session.join();
  }
}

bool ProcessLoad::WriteJson() const {
  if (m_options.json_file.empty()) {
    return true;
  }
  std::ofstream file(m_options.json_file);
  file << m_report.Json() << "\n";
  return file.good();
}

int ProcessLoad::Run() {
  if (m_options.sessions < m_options.callers.size()) {
    fprintf(stderr, "fewer sessions than callers; raise --sessions\n");
    return 2;
  }
  RunLoad();
  LoadSettlement settlement(m_context);
  settlement.SettleUnknown(SteadyNow() + m_options.settle_limit);
  settlement.Verify(SteadyNow() + m_options.settle_limit);
  printf("%s", m_report.Table().c_str());
  if (!WriteJson()) {
    fprintf(stderr, "cannot write %s; choose a writable file\n",
            m_options.json_file.c_str());
    return 2;
  }
  return m_report.Violations() == 0 ? 0 : 1;
}

}  // namespace heatherwick
