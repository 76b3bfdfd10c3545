// Writes decision records through glog, with a limit on lines per second.

#include "Source/base/decision_log.h"

#include <optional>
#include <utility>

#include "Source/base/enum_table.h"
#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace heatherwick {

namespace {

constexpr EnumName<DecisionLogLevel> kLevelNames[] = {
    {DecisionLogLevel::kOff, "off"},
    {DecisionLogLevel::kSampled, "sampled"},
    {DecisionLogLevel::kAll, "all"},
};

}  // namespace

DecisionLog::DecisionLog(DecisionLogLevel level, uint32_t lines_per_second)
    : m_level(level), m_lines_per_second(lines_per_second) {}

void DecisionLog::Write(const DecisionRecord& record, absl::Time now) {
  if (m_level == DecisionLogLevel::kOff) {
    return;
  }
  uint64_t suppressed = 0;
  if (m_level == DecisionLogLevel::kSampled) {
    const int64_t second = absl::ToUnixSeconds(now);
    absl::MutexLock lock(&m_mutex);
    Budget& budget = m_budgets[record.decision];
    if (budget.second != second) {
      budget.second = second;
      budget.written = 0;
    }
    if (budget.written >= m_lines_per_second) {
      ++budget.suppressed;
      return;
    }
    ++budget.written;
    suppressed = std::exchange(budget.suppressed, 0);
  }
  LOG(INFO) << record.Format()
            << (suppressed > 0 ? absl::StrCat(" suppressed=", suppressed) : "");
}

bool DecisionLog::ParseLevel(const std::string& text, DecisionLogLevel* level) {
  const std::optional<DecisionLogLevel> parsed = ValueOf(kLevelNames, text);
  if (parsed) {
    *level = *parsed;
  }
  return parsed.has_value();
}

}  // namespace heatherwick
