// Rows of the platform's table service, asynchronous, with change feeds.

#ifndef SOURCE_GATEWAY_ROW_STORE_H_
#define SOURCE_GATEWAY_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "Source/base/error.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

struct StoredRow {
  std::string key;
  std::string value;
  uint64_t version = 0;  // 0 in a condition: the row does not exist.
  bool deleted = false;
};

// A conditional write of rows of one table, applied as a whole or not at all.
struct RowTransaction {
  std::string table;
  std::vector<StoredRow> expected;  // Key and version.
  std::vector<StoredRow> writes;    // Key and value.
  std::vector<std::string> deletes;
};

struct RowChanges {
  std::vector<StoredRow> rows;
  // Position in the table's history from which the next poll continues.
  uint64_t version = 0;
  // `rows` is the whole table.
  bool snapshot = false;
  // A moment of the caller's clock at which the store's state was `rows` or
  // newer.
  absl::Time as_of = absl::InfinitePast();
};

class RowStore {
 public:
  static constexpr absl::string_view kPluginKind = "row store";

  virtual ~RowStore() = default;

  // The whole table as of one moment.
  virtual void ReadTable(const std::string& table,
                         absl::Duration timeout,
                         std::function<void(Result<RowChanges>)> done) = 0;
  // Changes after `version`, as soon as there is one or after `wait`.
  // kNotFound: the history no longer reaches back; read the table.
  virtual void PollChanges(const std::string& table,
                           uint64_t version,
                           absl::Duration wait,
                           absl::Duration timeout,
                           std::function<void(Result<RowChanges>)> done) = 0;
  // The store's version of the transaction; a later transaction has a higher
  // one. kConflict: nothing was done. kUnavailable: it may have been done, or
  // is done later if its conditions still hold. kOverloaded: nothing was
  // done, repeat later.
  virtual void Commit(const RowTransaction& transaction,
                      absl::Duration timeout,
                      std::function<void(Result<uint64_t>)> done) = 0;
};

// Orders the platform to make a target the primary of its group.
class PromotionApi {
 public:
  static constexpr absl::string_view kPluginKind = "promotion API";

  virtual ~PromotionApi() = default;

  // kConflict: the target does not run. Any other error: unknown outcome.
  virtual void Promote(const std::string& group,
                       const std::string& target,
                       const std::string& holder,
                       uint64_t fencing_token,
                       absl::Duration timeout,
                       std::function<void(Status)> done) = 0;
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_ROW_STORE_H_
