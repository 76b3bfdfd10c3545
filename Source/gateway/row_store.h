// Asynchronous access to the rows of the platform's table service, with change
// feeds, and to the platform's promotion API.

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
  // Qualified by the era (see store_version.h), like all versions here. In a
  // condition, 0 means that the row must not exist.
  uint64_t version = 0;
  bool deleted = false;
};

// A conditional write to rows of one table, applied as a whole or not at all.
struct RowTransaction {
  std::string table;
  std::vector<StoredRow> expected;  // Conditions; only key and version count.
  std::vector<StoredRow> writes;    // Only key and value count.
  std::vector<std::string> deletes;
  uint64_t era = 0;  // In which the transaction was prepared.
};

struct RowChanges {
  std::vector<StoredRow> rows;
  // Position in the table's history from which the next poll continues.
  uint64_t version = 0;
  // True if `rows` is the whole table.
  bool snapshot = false;
  // A time, by the reader's clock, that is not later than the read of the
  // store. The read includes every change made before this time.
  absl::Time as_of = absl::InfinitePast();
  // Rows that were written in earlier eras, each with a version of its own era.
  // Only EraScopedRowStore sets them.
  std::vector<StoredRow> earlier_rows = {};
};

class RowStore {
 public:
  static constexpr absl::string_view kPluginKind = "row store";

  virtual ~RowStore() = default;

  // Reads a consistent snapshot of the whole table.
  virtual void ReadTable(const std::string& table,
                         absl::Duration timeout,
                         std::function<void(Result<RowChanges>)> done) = 0;
  // Returns the changes after `version` as soon as there is one, or an empty
  // list after `wait`. Fails with kNotFound if the history no longer reaches
  // back to `version`, or if `version` is of an earlier era; the whole table
  // must then be read.
  virtual void PollChanges(const std::string& table,
                           uint64_t version,
                           absl::Duration wait,
                           absl::Duration timeout,
                           std::function<void(Result<RowChanges>)> done) = 0;
  // Returns the version that the store gave the transaction; a later
  // transaction gets a higher one. On kConflict nothing was written, or the
  // store is in another era than the transaction. On kUnavailable the
  // transaction may have been applied, or may still be applied later if its
  // conditions hold by then, also in a later era. On kOverloaded nothing was
  // written and the call can be retried later.
  virtual void Commit(const RowTransaction& transaction,
                      absl::Duration timeout,
                      std::function<void(Result<uint64_t>)> done) = 0;
};

// Orders the platform to make a target the primary of its group.
class PromotionApi {
 public:
  static constexpr absl::string_view kPluginKind = "promotion API";

  virtual ~PromotionApi() = default;

  // The order is sent within `timeout` of the call, or never. kConflict means
  // that the target does not run, and kNotSent that the order was not sent;
  // neither has an effect. After any other error the outcome is unknown.
  virtual void Promote(const std::string& group,
                       const std::string& target,
                       const std::string& holder,
                       uint64_t fencing_token,
                       absl::Duration timeout,
                       std::function<void(Status)> done) = 0;
  // Makes all orders fail with kNotSent that were not sent yet.
  virtual void DiscardUnsent() {}
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_ROW_STORE_H_
