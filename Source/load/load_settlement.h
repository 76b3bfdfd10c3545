// The end of a load run: settles every unknown outcome with Resolve, then
// reads all rows back and compares them with what was told.

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

  // Both work until `limit` at most; what is left then is a violation.
  void SettleUnknown(absl::Time limit);
  void Verify(absl::Time limit);

 private:
  bool SettleOne(const LoadWrite& write);
  void VerifyBlock(const WriteBlock& block,
                   const std::vector<LoadWrite>& writes,
                   absl::Time limit);
  // The result of a current read, nothing when none succeeded until `limit`.
  std::optional<std::string> Read(const std::string& group,
                                  const std::string& statement,
                                  absl::Time limit);

  const LoadContext m_context;
  uint64_t m_choice = 0;  // Of the proxy.
};

}  // namespace heatherwick

#endif  // SOURCE_LOAD_LOAD_SETTLEMENT_H_
