// Tests that the write ledger reports each fault that the process tests look
// for. Otherwise the load check could pass without detecting anything.

#include "Source/load/write_ledger.h"

#include "doctest/doctest.h"

namespace heatherwick {

namespace {

class TwoWritesFixture {
 public:
  WriteLedger ledger;
  const absl::Time start = absl::UnixEpoch() + absl::Hours(1);
  const LoadWrite done = ledger.Begin(7, "g", "c");
  const LoadWrite not_run = ledger.Begin(7, "g", "c");
  const WriteBlock block{"g", 7, 0};

  TwoWritesFixture() {
    ledger.Settle(done, WriteState::kDone, start);
    ledger.Settle(not_run, WriteState::kNotRun, start);
  }

  size_t CountFaults(const std::string& log,
                     const std::vector<std::string>& once) {
    return WriteLedger::CheckFinalRows(block, ledger.AllBlocks()[block], log,
                                       once)
        .size();
  }
};

}  // namespace

TEST_CASE_FIXTURE(TwoWritesFixture,
                  "WriteLedger_RowsMatchOutcomes_FindsNoFault") {
  CHECK(CountFaults("7.0,", {"1", ""}) == 0);
}

TEST_CASE_FIXTURE(TwoWritesFixture, "WriteLedger_FaultyRows_FindsEachFault") {
  CHECK(CountFaults("", {"", ""}) == 1);           // Lost.
  CHECK(CountFaults("7.0,7.0,", {"2", ""}) == 2);  // Ran twice.
  CHECK(CountFaults("7.0,7.1,", {"1", "1"}) ==
        1);                                   // Ran, but reported as not run.
  CHECK(CountFaults("7.0,", {"", ""}) == 1);  // Ran only in part.
  CHECK(CountFaults("7.0,8.0,", {"1", ""}) == 1);  // Write of another session.
  ledger.Settle(done, WriteState::kUnknown, start);
  CHECK(CountFaults("7.0,", {"1", ""}) == 1);  // Never settled.
}

TEST_CASE_FIXTURE(TwoWritesFixture, "WriteLedger_StaleRead_FindsMissingWrite") {
  const auto early =
      ledger.AcknowledgedUntil(block, start - absl::Milliseconds(1));
  CHECK_FALSE(WriteLedger::CheckLogRow(block, "", early).has_value());
  const auto required = ledger.AcknowledgedUntil(block, start);
  CHECK(WriteLedger::CheckLogRow(block, "", required).has_value());
  CHECK_FALSE(WriteLedger::CheckLogRow(block, "7.0,", required).has_value());
}

}  // namespace heatherwick
