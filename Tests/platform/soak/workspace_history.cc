// Compares what reached the databases with what keys and quotas permit.

#include "Tests/platform/soak/workspace_history.h"

#include <algorithm>
#include <utility>

#include "absl/strings/str_cat.h"

namespace heatherwick::platform {
namespace {

// Between the time at which a change of the keys is stored and the one at which
// it is recorded.
constexpr absl::Duration kRecordingMargin = absl::Milliseconds(100);
constexpr size_t kMaxViolations = 10;

}  // namespace

void WorkspaceHistory::SetQuota(const std::string& workspace,
                                WorkspaceQuota quota) {
  absl::MutexLock lock(&m_mutex);
  m_quotas[workspace] = quota;
}

void WorkspaceHistory::SetKey(const std::string& key,
                              const std::string& workspace,
                              absl::Time time) {
  absl::MutexLock lock(&m_mutex);
  m_holders[key].push_back({time, workspace});
}

void WorkspaceHistory::AddSent(SentStatement statement) {
  absl::MutexLock lock(&m_mutex);
  std::string id = statement.id;
  m_sent.emplace(std::move(id), std::move(statement));
}

bool WorkspaceHistory::Held(const std::string& key,
                            const std::string& workspace,
                            absl::Time from,
                            absl::Time to) const {
  const auto found = m_holders.find(key);
  if (found == m_holders.end()) {
    return false;
  }
  const std::vector<Holder>& holders = found->second;
  for (size_t index = 0; index < holders.size(); ++index) {
    const absl::Time end = index + 1 < holders.size() ? holders[index + 1].since
                                                      : absl::InfiniteFuture();
    if (holders[index].workspace == workspace && holders[index].since <= to &&
        end >= from) {
      return true;
    }
  }
  return false;
}

size_t WorkspaceHistory::Most(std::vector<Operation> operations) const {
  std::sort(operations.begin(), operations.end(),
            [](const Operation& first, const Operation& second) {
              return first.sent < second.sent;
            });
  size_t most = 0;
  for (size_t first = 0; first < operations.size(); ++first) {
    const absl::Time end = operations[first].sent + m_tolerance.window;
    size_t count = 0;
    for (size_t index = first;
         index < operations.size() && operations[index].sent <= end; ++index) {
      count += operations[index].reached <= end ? 1 : 0;
    }
    most = std::max(most, count);
  }
  return most;
}

std::vector<std::string> WorkspaceHistory::Check(
    const std::vector<FakeStatement>& reached) const {
  absl::MutexLock lock(&m_mutex);
  std::vector<std::string> violations;
  std::map<std::string, std::map<uint64_t, Operation>> operations;
  for (const FakeStatement& statement : reached) {
    const auto found = m_sent.find(statement.id);
    if (found == m_sent.end()) {
      continue;  // Sent by an instance itself.
    }
    const SentStatement& sent = found->second;
    if (!Held(sent.key, statement.workspace,
              sent.sent - m_revocation_limit - kRecordingMargin,
              statement.received + kRecordingMargin) &&
        violations.size() < kMaxViolations) {
      violations.push_back(absl::StrCat(
          "statement ", sent.id, " with key ", sent.key,
          " ran on a connection of \"", statement.workspace,
          "\", which had not held the key within the revocation limit"));
    }
    const auto [operation, added] = operations[statement.workspace].try_emplace(
        sent.operation, Operation{sent.sent, statement.received});
    operation->second.sent = std::min(operation->second.sent, sent.sent);
    operation->second.reached =
        std::min(operation->second.reached, statement.received);
  }
  for (const auto& [workspace, quota] : m_quotas) {
    std::vector<Operation> list;
    for (const auto& [number, operation] : operations[workspace]) {
      list.push_back(operation);
    }
    const double permitted =
        (quota.rate_per_s * absl::ToDoubleSeconds(m_tolerance.window) +
         quota.burst) *
            (1 + m_tolerance.overshoot) +
        m_tolerance.slack;
    const size_t most = Most(std::move(list));
    if (static_cast<double>(most) > permitted) {
      violations.push_back(absl::StrCat("workspace ", workspace, " ran ", most,
                                        " operations in a window, permitted ",
                                        permitted));
    }
  }
  return violations;
}

std::string WorkspaceHistory::Summary() const {
  absl::MutexLock lock(&m_mutex);
  size_t changes = 0;
  for (const auto& [key, holders] : m_holders) {
    changes += holders.size() - 1;
  }
  return absl::StrCat("keyed_statements=", m_sent.size(),
                      " key_changes=", changes);
}

}  // namespace heatherwick::platform
