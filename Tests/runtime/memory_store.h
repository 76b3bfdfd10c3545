// An in-memory fake of the platform's store that can simulate outages and lost
// replies.

#ifndef TESTS_RUNTIME_MEMORY_STORE_H_
#define TESTS_RUNTIME_MEMORY_STORE_H_

#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "Source/decision/sheet_head.h"
#include "Source/runtime/store_client.h"
#include "absl/base/thread_annotations.h"
#include "absl/synchronization/mutex.h"

namespace heatherwick {

class MemoryStore : public StoreClient {
 public:
  Result<TableRow> ReadRow(const std::string& key, absl::Duration) override {
    absl::MutexLock lock(&m_mutex);
    return m_down ? Result<TableRow>(UnavailableError()) : m_rows[key];
  }
  Result<uint64_t> WriteRow(const std::string& key,
                            uint64_t expected_version,
                            const std::string& value,
                            absl::Duration) override {
    absl::MutexLock lock(&m_mutex);
    if (m_down) {
      return UnavailableError();
    }
    TableRow& row = m_rows[key];
    if (row.version != expected_version) {
      return Error{ErrorKind::kConflict, "other version", ""};
    }
    row = {row.version + 1, value};
    if (key == kSheetHeadRow && std::exchange(m_lose_head_answer, false)) {
      m_down = m_down_after_loss;
      return UnavailableError();
    }
    return row.version;
  }
  Status PutObject(const std::string& name,
                   const std::string& content,
                   absl::Duration) override {
    absl::MutexLock lock(&m_mutex);
    if (m_down) {
      return UnavailableError();
    }
    m_objects[name] = content;
    return std::monostate{};
  }
  Result<std::string> GetObject(const std::string& name,
                                absl::Duration) override {
    absl::MutexLock lock(&m_mutex);
    return m_down ? Result<std::string>(UnavailableError()) : m_objects[name];
  }
  Result<std::vector<ListedInstance>> ListInstances(absl::Duration) override {
    return UnavailableError();
  }

  void SetDown(bool down) {
    absl::MutexLock lock(&m_mutex);
    m_down = down;
  }
  void LoseNextHeadReply(bool then_down) {
    absl::MutexLock lock(&m_mutex);
    m_lose_head_answer = true;
    m_down_after_loss = then_down;
  }

 private:
  static Error UnavailableError() {
    return {ErrorKind::kUnavailable, "down", ""};
  }

  absl::Mutex m_mutex;
  bool m_down ABSL_GUARDED_BY(m_mutex) = false;
  bool m_lose_head_answer ABSL_GUARDED_BY(m_mutex) = false;
  bool m_down_after_loss ABSL_GUARDED_BY(m_mutex) = false;
  std::map<std::string, TableRow> m_rows ABSL_GUARDED_BY(m_mutex);
  std::map<std::string, std::string> m_objects ABSL_GUARDED_BY(m_mutex);
};

}  // namespace heatherwick

#endif  // TESTS_RUNTIME_MEMORY_STORE_H_
