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

// The transaction no longer exists; `why` names the cause.
Error TransactionLost(absl::string_view why);

// Not thread-safe: the home's lock covers it.
class TransactionTable {
 public:
  // `home_id` is unique for each start of a home, so that a handle is never
  // taken for a transaction of an earlier one.
  explicit TransactionTable(std::string home_id);

  // The new transaction is busy until Release.
  TransactionId Open(const CallerName& caller, absl::Time now);
  // The text by which callers name the transaction.
  std::string HandleOf(TransactionId transaction) const;

  // Marks the transaction of the handle as busy. Fails when it is gone, when
  // another caller owns it, or when one of its statements is still running.
  Result<TransactionId> Claim(absl::string_view handle,
                              const CallerName& caller);
  // A statement of the transaction has ended.
  void Release(TransactionId transaction, absl::Time now);
  // The caller has given the transaction up: it counts as idle at once.
  void Abandon(TransactionId transaction);
  void Close(TransactionId transaction);

  // Removes the transactions that no statement uses and that have been idle
  // for the limit or no longer exist at the scheduler; returns the former.
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
  TransactionId m_last = 0;
  absl::flat_hash_map<TransactionId, OpenTransaction> m_open;
};

}  // namespace heatherwick

#endif  // SOURCE_RUNTIME_TRANSACTION_TABLE_H_
