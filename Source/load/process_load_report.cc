// Collects the results of a load run and formats them as text and JSON.

#include "Source/load/process_load_report.h"

#include <algorithm>

#include "Source/base/enum_table.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_format.h"
#include "nlohmann/json.hpp"

namespace heatherwick {

namespace {

// Further violations are counted but not listed.
constexpr size_t kMaxListedViolations = 20;

constexpr EnumName<RequestOutcome> kOutcomeNames[] = {
    {RequestOutcome::kDone, "done"},
    {RequestOutcome::kNotRun, "not_run"},
    {RequestOutcome::kUnknown, "unknown"},
    {RequestOutcome::kFailed, "failed"},
};

double Percent(uint64_t part, uint64_t whole) {
  return whole == 0 ? 0 : 100.0 * part / whole;
}

double Ms(absl::Duration duration) {
  return absl::ToDoubleMilliseconds(duration);
}

uint64_t CountOf(const std::map<RequestOutcome, uint64_t>& outcomes,
                 RequestOutcome outcome) {
  const auto found = outcomes.find(outcome);
  return found == outcomes.end() ? 0 : found->second;
}

}  // namespace

void ProcessLoadReport::Start(const std::vector<std::string>& groups,
                              absl::Time now) {
  const absl::MutexLock lock(&m_mutex);
  m_started = now;
  for (const std::string& group : groups) {
    m_gaps[group].last = now;
  }
}

void ProcessLoadReport::AddRequest(const std::string& request_class,
                                   RequestOutcome outcome,
                                   const proto::ExecuteReply& reply,
                                   absl::Duration latency) {
  const absl::MutexLock lock(&m_mutex);
  ClassCounts& counts = m_classes[request_class];
  ++counts.outcomes[outcome];
  if (outcome == RequestOutcome::kDone) {
    counts.done_latency.Add(latency);
  } else if (!reply.error_kind().empty()) {
    ErrorCounts& errors = m_errors[reply.error_kind()];
    ++errors.count;
    errors.example = reply.error_message();
  }
}

void ProcessLoadReport::AddNotSent() {
  const absl::MutexLock lock(&m_mutex);
  ++m_not_sent;
}

void ProcessLoadReport::EndGap(GroupGap* gap, absl::Time now) {
  if (now - gap->last > gap->longest) {
    gap->longest = now - gap->last;
    gap->longest_at = now - m_started;
  }
  gap->last = now;
}

void ProcessLoadReport::AddAcknowledgedWrite(const std::string& group,
                                             const std::string& target,
                                             absl::Time now) {
  const absl::MutexLock lock(&m_mutex);
  GroupGap& gap = m_gaps[group];
  gap.primary = target;
  ++gap.writes;
  if (!m_load_ended) {
    EndGap(&gap, now);
  }
}

void ProcessLoadReport::AddServedRead(const std::string& group,
                                      const std::string& target,
                                      const std::string& kind) {
  const absl::MutexLock lock(&m_mutex);
  ReadCounts& counts = m_reads[kind];
  ++counts.total;
  if (!target.empty() && target != m_gaps[group].primary) {
    ++counts.by_replica;
  }
}

void ProcessLoadReport::AddSettled(bool done) {
  const absl::MutexLock lock(&m_mutex);
  ++(done ? m_settled_done : m_settled_not_run);
}

void ProcessLoadReport::AddViolation(const std::string& text) {
  const absl::MutexLock lock(&m_mutex);
  ++m_violation_count;
  if (m_violations.size() < kMaxListedViolations) {
    m_violations.push_back(text);
  }
}

void ProcessLoadReport::EndLoad(absl::Time now) {
  const absl::MutexLock lock(&m_mutex);
  for (auto& entry : m_gaps) {
    EndGap(&entry.second, now);
  }
  m_load_ended = true;
}

uint64_t ProcessLoadReport::Violations() const {
  const absl::MutexLock lock(&m_mutex);
  return m_violation_count;
}

uint64_t ProcessLoadReport::Total(RequestOutcome outcome) const {
  uint64_t total = 0;
  for (const auto& entry : m_classes) {
    total += CountOf(entry.second.outcomes, outcome);
  }
  return total;
}

std::string ProcessLoadReport::ProgressLine(absl::Time now) const {
  const absl::MutexLock lock(&m_mutex);
  return absl::StrFormat(
      "progress t=%.1fs done=%d not_run=%d unknown=%d failed=%d not_sent=%d "
      "violations=%d",
      absl::ToDoubleSeconds(now - m_started), Total(RequestOutcome::kDone),
      Total(RequestOutcome::kNotRun), Total(RequestOutcome::kUnknown),
      Total(RequestOutcome::kFailed), m_not_sent, m_violation_count);
}

std::string ProcessLoadReport::Table() const {
  const absl::MutexLock lock(&m_mutex);
  std::string table =
      absl::StrFormat("%-18s %8s %8s %8s %8s %9s %9s\n", "class", "done",
                      "not_run", "unknown", "failed", "p50_ms", "p99_ms");
  for (const auto& [name, counts] : m_classes) {
    absl::StrAppendFormat(&table, "%-18s %8d %8d %8d %8d %9.2f %9.2f\n", name,
                          CountOf(counts.outcomes, RequestOutcome::kDone),
                          CountOf(counts.outcomes, RequestOutcome::kNotRun),
                          CountOf(counts.outcomes, RequestOutcome::kUnknown),
                          CountOf(counts.outcomes, RequestOutcome::kFailed),
                          Ms(counts.done_latency.Quantile(0.5)),
                          Ms(counts.done_latency.Quantile(0.99)));
  }
  for (const auto& [kind, counts] : m_reads) {
    absl::StrAppendFormat(
        &table, "replica_share kind=%s reads=%d percent=%.1f\n", kind,
        counts.total, Percent(counts.by_replica, counts.total));
  }
  for (const auto& [group, gap] : m_gaps) {
    absl::StrAppendFormat(
        &table, "write_gap group=%s longest_ms=%.0f ends_at_s=%.2f writes=%d\n",
        group, Ms(gap.longest), absl::ToDoubleSeconds(gap.longest_at),
        gap.writes);
  }
  for (const auto& [kind, errors] : m_errors) {
    absl::StrAppendFormat(&table, "error kind=%s count=%d example=%s\n", kind,
                          errors.count, errors.example);
  }
  absl::StrAppendFormat(&table, "settled done=%d not_run=%d\n", m_settled_done,
                        m_settled_not_run);
  for (const std::string& violation : m_violations) {
    absl::StrAppend(&table, "violation: ", violation, "\n");
  }
  absl::StrAppendFormat(&table, "not_sent=%d violations=%d\n", m_not_sent,
                        m_violation_count);
  return table;
}

std::string ProcessLoadReport::Json() const {
  const absl::MutexLock lock(&m_mutex);
  nlohmann::json json;
  for (const auto& [name, counts] : m_classes) {
    nlohmann::json& entry = json["classes"][name];
    for (const EnumName<RequestOutcome>& outcome : kOutcomeNames) {
      entry[std::string(outcome.name)] =
          CountOf(counts.outcomes, outcome.value);
    }
    entry["p50_ms"] = Ms(counts.done_latency.Quantile(0.5));
    entry["p99_ms"] = Ms(counts.done_latency.Quantile(0.99));
  }
  for (const auto& [kind, counts] : m_reads) {
    json["reads"][kind] = {{"served", counts.total},
                           {"by_replica", counts.by_replica}};
  }
  for (const auto& [group, gap] : m_gaps) {
    json["groups"][group] = {
        {"longest_gap_ms", Ms(gap.longest)},
        {"longest_gap_ends_at_s", absl::ToDoubleSeconds(gap.longest_at)},
        {"acknowledged_writes", gap.writes}};
  }
  for (const auto& [kind, errors] : m_errors) {
    json["errors"][kind] = {{"count", errors.count},
                            {"example", errors.example}};
  }
  json["settled"] = {{"done", m_settled_done}, {"not_run", m_settled_not_run}};
  json["not_sent"] = m_not_sent;
  json["violation_count"] = m_violation_count;
  json["violations"] = m_violations;
  return json.dump(2);
}

}  // namespace heatherwick
