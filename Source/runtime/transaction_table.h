// The open transactions of one group's home.

#ifndef SOURCE_RUNTIME_TRANSACTION_TABLE_H_
#define SOURCE_RUNTIME_TRANSACTION_TABLE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "Source/base/error.h"
#include "Source/base/types.h"
#include "Source/decision/group_scheduler.h"
#include "absl/container/flat_hash_map.h"
#include "absl/strings/string_view.h"
#include "absl/time/time.h"

namespace heatherwick {

// Returns the error for a transaction that no longer exists; `reason` names the
// cause.
Error TransactionLostError(absl::string_view reason);

// Not thread-safe; guarded by the home's lock.
class TransactionTable {
 public:
  // `home_id` must be unique for each start of a home, so that a handle from an
  // earlier home never matches a transaction of this one.
  explicit TransactionTable(std::string home_id);

  // Adds a transaction. It is busy until Release is called.
  TransactionId Open(const CallerName& caller, absl::Time now);
  // Returns the handle by which callers refer to the transaction.
  std::string HandleOf(TransactionId transaction) const;

  // Marks the transaction of the handle as busy. Fails if it no longer exists,
  // if another caller owns it, or if one of its statements is still running.
  Result<TransactionId> Claim(absl::string_view handle,
                              const CallerName& caller);
  // Records that a statement of the transaction has ended.
  void Release(TransactionId transaction, absl::Time now);
  // Treats the transaction as idle at once, because its caller will not
  // continue it.
  void Abandon(TransactionId transaction);
  void Close(TransactionId transaction);

  // Removes each transaction that has no running statement and that either no
  // longer exists in the scheduler or has been idle for the timeout. Returns
  // the removed transactions that still exist in the scheduler.
  std::vector<TransactionId> TakeIdle(
      absl::Time now,
      const std::function<bool(TransactionId)>& exists);

  size_t Size() const { return m_open.size(); }

 private:
  struct OpenTransaction {
    CallerName caller;
    absl::Time last_used;
    bool busy = false;
  };

  const std::string m_home_id;
  TransactionId m_last_id = 0;
  absl::flat_hash_map<TransactionId, OpenTransaction> m_open;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_TRANSACTION_TABLE_H_
