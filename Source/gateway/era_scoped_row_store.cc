// Adds the era to keys and removes it. The rows of era 0, which a store without
// eras has, are stored under their plain keys.

#include "Source/gateway/era_scoped_row_store.h"

#include <utility>

#include "Source/gateway/store_version.h"
#include "absl/strings/numbers.h"
#include "absl/strings/str_format.h"

namespace heatherwick {
namespace {

constexpr char kEraMark = 'e';
constexpr char kEraEnd = '/';

RowChanges ByEra(RowChanges changes) {
  const uint64_t era = EraOf(changes.version);
  std::vector<StoredRow> stored;
  stored.swap(changes.rows);
  for (StoredRow& row : stored) {
    const auto [key, row_era] = EraScopedRowStore::ParseKey(row.key);
    row.key = key;
    if (row_era == era) {
      changes.rows.push_back(std::move(row));
    } else if (row_era < era) {
      row.version = QualifyVersion(row_era, VersionNumber(row.version));
      changes.earlier_rows.push_back(std::move(row));
    }
  }
  return changes;
}

std::function<void(Result<RowChanges>)> AnswerByEra(
    std::function<void(Result<RowChanges>)> done) {
  return [done = std::move(done)](Result<RowChanges> answer) {
    if (Ok(answer)) {
      answer = ByEra(std::move(ValueOf(answer)));
    }
    done(std::move(answer));
  };
}

}  // namespace

EraScopedRowStore::EraScopedRowStore(RowStore* store,
                                     std::function<uint64_t()> era)
    : m_store(store), m_era(std::move(era)) {}

std::string EraScopedRowStore::StoredKey(uint64_t era, absl::string_view key) {
  if (era == 0) {
    return std::string(key);
  }
  return absl::StrFormat("%c%d%c%s", kEraMark, era, kEraEnd, key);
}

std::pair<std::string, uint64_t> EraScopedRowStore::ParseKey(
    absl::string_view stored_key) {
  const size_t end = stored_key.find(kEraEnd);
  uint64_t era = 0;
  if (!stored_key.empty() && stored_key.front() == kEraMark &&
      end != absl::string_view::npos &&
      absl::SimpleAtoi(stored_key.substr(1, end - 1), &era) && era > 0) {
    return {std::string(stored_key.substr(end + 1)), era};
  }
  return {std::string(stored_key), 0};
}

void EraScopedRowStore::ReadTable(
    const std::string& table,
    absl::Duration timeout,
    std::function<void(Result<RowChanges>)> done) {
  m_store->ReadTable(table, timeout, AnswerByEra(std::move(done)));
}

void EraScopedRowStore::PollChanges(
    const std::string& table,
    uint64_t version,
    absl::Duration wait,
    absl::Duration timeout,
    std::function<void(Result<RowChanges>)> done) {
  m_store->PollChanges(table, version, wait, timeout,
                       AnswerByEra(std::move(done)));
}

void EraScopedRowStore::Commit(const RowTransaction& transaction,
                               absl::Duration timeout,
                               std::function<void(Result<uint64_t>)> done) {
  RowTransaction scoped = transaction;
  scoped.era = m_era();
  for (StoredRow& row : scoped.expected) {
    row.key = StoredKey(scoped.era, row.key);
  }
  for (StoredRow& row : scoped.writes) {
    row.key = StoredKey(scoped.era, row.key);
  }
  for (std::string& key : scoped.deletes) {
    key = StoredKey(scoped.era, key);
  }
  m_store->Commit(scoped, timeout, std::move(done));
}

void EraScopedRowStore::DeleteEarlierRows(
    const std::string& table,
    const std::set<std::pair<std::string, uint64_t>>& rows,
    absl::Duration timeout,
    std::function<void(Result<uint64_t>)> done) {
  RowTransaction transaction{table, {}, {}, {}, m_era()};
  for (const auto& [key, era] : rows) {
    if (transaction.deletes.size() < kMaxRowsInCall) {
      transaction.deletes.push_back(StoredKey(era, key));
    }
  }
  m_store->Commit(transaction, timeout, std::move(done));
}

}  // namespace heatherwick
