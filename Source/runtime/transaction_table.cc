// Tracks the handle, the owner and the idle time of each transaction.

#include "Source/runtime/transaction_table.h"

#include <utility>

#include "absl/strings/numbers.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/strip.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kIdleTimeout = absl::Seconds(30);

}  // namespace

Error TransactionLostError(absl::string_view reason) {
  return {ErrorKind::kTransactionLost,
          absl::StrCat("the transaction no longer exists and was rolled back: ",
                       reason),
          "begin a new transaction"};
}

TransactionTable::TransactionTable(std::string home_id)
    : m_home_id(std::move(home_id)) {}

TransactionId TransactionTable::Open(const CallerName& caller, absl::Time now) {
  m_open[++m_last_id] = {caller, now, true};
  return m_last_id;
}

std::string TransactionTable::HandleOf(TransactionId transaction) const {
  return absl::StrCat(m_home_id, "/", transaction);
}

Result<TransactionId> TransactionTable::Claim(absl::string_view handle,
                                              const CallerName& caller) {
  TransactionId transaction = 0;
  if (!absl::ConsumePrefix(&handle, absl::StrCat(m_home_id, "/")) ||
      !absl::SimpleAtoi(handle, &transaction)) {
    return TransactionLostError("its home has been replaced");
  }
  const auto open = m_open.find(transaction);
  if (open == m_open.end() || open->second.caller != caller) {
    return TransactionLostError("its connection was closed");
  }
  if (open->second.busy) {
    return Error{ErrorKind::kInvalidArgument,
                 "another statement of the transaction is still running",
                 "send the statements of a transaction one after the other"};
  }
  open->second.busy = true;
  return transaction;
}

void TransactionTable::Release(TransactionId transaction, absl::Time now) {
  const auto open = m_open.find(transaction);
  if (open != m_open.end()) {
    open->second.busy = false;
    open->second.last_used = now;
  }
}

void TransactionTable::Abandon(TransactionId transaction) {
  Release(transaction, absl::InfinitePast());
}

void TransactionTable::Close(TransactionId transaction) {
  m_open.erase(transaction);
}

std::vector<TransactionId> TransactionTable::TakeIdle(
    absl::Time now,
    const std::function<bool(TransactionId)>& exists) {
  std::vector<TransactionId> idle;
  absl::erase_if(m_open, [&](const auto& entry) {
    const auto& [transaction, open] = entry;
    if (open.busy) {
      return false;
    }
    if (!exists(transaction)) {
      return true;
    }
    if (now - open.last_used < kIdleTimeout) {
      return false;
    }
    idle.push_back(transaction);
    return true;
  });
  return idle;
}

}  // namespace heatherwick
