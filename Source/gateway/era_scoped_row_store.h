// Keeps the rows that the instances wrote in different eras of the store apart.
// Each era has keys of its own, so that a transaction of an earlier era that is
// applied late, or whose conditions hold again because versions were given out
// twice, touches no row of the present era.

#ifndef SOURCE_GATEWAY_ERA_SCOPED_ROW_STORE_H_
#define SOURCE_GATEWAY_ERA_SCOPED_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <utility>

#include "Source/gateway/row_store.h"
#include "absl/strings/string_view.h"

namespace heatherwick {

class EraScopedRowStore : public RowStore {
 public:
  // Transactions are prepared in the era that `era` returns.
  EraScopedRowStore(RowStore* store, std::function<uint64_t()> era);

  // Answers have the rows of their own era under their plain keys, and those of
  // earlier eras in `earlier_rows`.
  void ReadTable(const std::string& table,
                 absl::Duration timeout,
                 std::function<void(Result<RowChanges>)> done) override;
  void PollChanges(const std::string& table,
                   uint64_t version,
                   absl::Duration wait,
                   absl::Duration timeout,
                   std::function<void(Result<RowChanges>)> done) override;
  // The era of `transaction` is set here.
  void Commit(const RowTransaction& transaction,
              absl::Duration timeout,
              std::function<void(Result<uint64_t>)> done) override;

  // Deletes rows of earlier eras, given by key and era, at most
  // kMaxRowsInCall at once.
  void DeleteEarlierRows(const std::string& table,
                         const std::set<std::pair<std::string, uint64_t>>& rows,
                         absl::Duration timeout,
                         std::function<void(Result<uint64_t>)> done);

  static constexpr size_t kMaxRowsInCall = 100;

  // The key under which a row of `era` is stored.
  static std::string StoredKey(uint64_t era, absl::string_view key);
  // Returns the plain key and the era.
  static std::pair<std::string, uint64_t> ParseKey(
      absl::string_view stored_key);

 private:
  RowStore* const m_store;
  const std::function<uint64_t()> m_era;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_ERA_SCOPED_ROW_STORE_H_
