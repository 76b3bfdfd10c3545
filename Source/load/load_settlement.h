// Runs after the load: settles every write whose outcome is unknown by calling
// Resolve, which reports whether it is done or not run. Then reads all rows
// back and compares them with the reported outcomes.

#ifndef SOURCE_LOAD_LOAD_SETTLEMENT_H_
#define SOURCE_LOAD_LOAD_SETTLEMENT_H_

#include <optional>
#include <string>
#include <vector>

#include "Source/load/load_session.h"
#include "absl/time/time.h"

namespace heatherwick {

class LoadSettlement {
 public:
  explicit LoadSettlement(const LoadContext& context) : m_context(context) {}

  // Both methods stop at `limit`. Each write that is then still unknown, and
  // each block that is not verified, counts as a violation.
  void SettleUnknown(absl::Time limit);
  void Verify(absl::Time limit);

 private:
  // Returns false if the outcome is still unknown.
  bool SettleOne(const LoadWrite& write);
  void VerifyBlock(const WriteBlock& block,
                   const std::vector<LoadWrite>& writes,
                   absl::Time limit);
  // Returns the result of a current read, or nothing if no attempt succeeded
  // before `limit`.
  std::optional<std::string> Read(const std::string& group,
                                  const std::string& statement,
                                  absl::Time limit);

  const LoadContext m_context;
  uint64_t m_next_choice = 0;  // Selects the proxy of the next request.
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_LOAD_SETTLEMENT_H_
