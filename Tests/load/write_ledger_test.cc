// Guards against a load check that sees nothing: each fault that the process
// tests look for must be reported.

#include "Source/load/write_ledger.h"

#include "doctest/doctest.h"

namespace heatherwick {

namespace {

class TwoWrites {
 public:
  WriteLedger ledger;
  const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
  const LoadWrite done = ledger.Begin(7, "g", "c");
  const LoadWrite not_run = ledger.Begin(7, "g", "c");
  const WriteBlock block{"g", 7, 0};

  TwoWrites() {
    ledger.Settle(done, WriteState::kDone, start);
    ledger.Settle(not_run, WriteState::kNotRun, start);
  }

  size_t Faults(const std::string& log, const std::vector<std::string>& once) {
    return WriteLedger::CheckFinal(block, ledger.All()[block], log, once)
        .size();
  }
};

}  // namespace

TEST_CASE_FIXTURE(TwoWrites, "WriteLedger_RowsAsTold_FindsNoFault") {
  CHECK(Faults("7.0,", {"1", ""}) == 0);
}

TEST_CASE_FIXTURE(TwoWrites, "WriteLedger_FaultyRows_FindsEachFault") {
  CHECK(Faults("", {"", ""}) == 1);            // Lost.
  CHECK(Faults("7.0,7.0,", {"2", ""}) == 2);   // Ran twice.
  CHECK(Faults("7.0,7.1,", {"1", "1"}) == 1);  // Ran although not run.
  CHECK(Faults("7.0,", {"", ""}) == 1);        // Ran in part.
  CHECK(Faults("7.0,8.0,", {"1", ""}) == 1);   // Another session's.
  ledger.Settle(done, WriteState::kUnknown, start);
  CHECK(Faults("7.0,", {"1", ""}) == 1);  // Never settled.
}

TEST_CASE_FIXTURE(TwoWrites, "WriteLedger_StaleRead_FindsTheMissingWrite") {
  const auto early =
      ledger.AcknowledgedUntil(block, start - absl::Milliseconds(1));
  CHECK_FALSE(WriteLedger::CheckLogRow(block, "", early).has_value());
  const auto required = ledger.AcknowledgedUntil(block, start);
  CHECK(WriteLedger::CheckLogRow(block, "", required).has_value());
  CHECK_FALSE(WriteLedger::CheckLogRow(block, "7.0,", required).has_value());
}

}  // namespace heatherwick
