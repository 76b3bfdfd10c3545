// Shows that the fake databases treat orders of promotions and synchronous
// commits as the platform's page states it; the soak relies on this to find
// orders that take effect late, and commits that are lost.

#include "Tests/platform/platform_fakes.h"

#include <map>
#include <string>
#include <vector>

#include "absl/time/clock.h"
#include "boost/asio/buffer.hpp"
#include "boost/asio/read_until.hpp"
#include "boost/asio/write.hpp"
#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

constexpr absl::Duration kLate = absl::Milliseconds(100);

// Never destroyed, because the server threads use it until the process ends.
struct Fixture {
  FakeStore store;
  FakeDatabaseGroup group{"f",
                          3,
                          &store,
                          {absl::ZeroDuration(), absl::ZeroDuration()}};
};

TEST_CASE("FakeDatabaseGroup_OrderWithDelay_TakesEffectLater") {
  auto* const fixture = new Fixture();
  FakeDatabaseGroup& group = fixture->group;
  CHECK(group.Promote("f-1", kLate) == 200);
  CHECK(group.Primary() == "f-0");
  CHECK(group.Promote("f-2", absl::ZeroDuration()) == 200);
  CHECK(group.Primary() == "f-2");
  absl::SleepFor(3 * kLate);
  CHECK(group.Primary() == "f-1");
}

TEST_CASE("FakeDatabaseGroup_OrderedDatabaseDown_IsRefusedWithoutEffect") {
  auto* const fixture = new Fixture();
  FakeDatabaseGroup& group = fixture->group;
  group.Crash("f-1");
  CHECK(group.Promote("f-1", absl::ZeroDuration()) == 409);
  group.Restart("f-1");
  CHECK(group.Primary() == "f-0");
  CHECK(group.Promote("f-0", absl::ZeroDuration()) == 200);
  CHECK(group.Primary() == "f-0");
  CHECK(group.Promote("f-1", kLate) == 200);
  group.Crash("f-1");
  absl::SleepFor(3 * kLate);
  CHECK(group.Primary() == "f-0");
}

// A connection to a database of the group "f".
class Connection {
 public:
  Connection(const std::string& address, const std::string& id) {
    const size_t colon = address.find(':');
    m_socket.connect(
        {boost::asio::ip::make_address(address.substr(0, colon)),
         static_cast<uint16_t>(std::stoi(address.substr(colon + 1)))});
    m_start_answer = Send("START f - " + id);
  }

  // Returns the first line of the answer.
  std::string Send(const std::string& line) {
    boost::asio::write(m_socket, boost::asio::buffer(line + "\r\n"));
    std::string answer;
    boost::asio::read_until(m_socket, boost::asio::dynamic_buffer(answer),
                            "\r\n");
    return answer.substr(0, answer.find("\r\n") + 2);
  }
  const std::string& StartAnswer() const { return m_start_answer; }

 private:
  boost::asio::io_context m_context;
  boost::asio::ip::tcp::socket m_socket{m_context};
  std::string m_start_answer;
};

// The answer to START, which ends with the term and the end of the log.
std::string StartAnswer(const std::string& address, const std::string& id) {
  return Connection(address, id).StartAnswer();
}

// A group whose replicas receive nothing but what a synchronous commit needs.
class SyncGroupFixture {
 protected:
  std::string Position(const std::string& id) {
    return StartAnswer((*m_addresses)[id], id);
  }
  std::string Write() {
    return Connection((*m_addresses)[m_group->Primary()], m_group->Primary())
        .Send("QUERY w1 WRITE k v1");
  }

  // Never destroyed, because the server threads use them until the process
  // ends.
  std::map<std::string, std::string>* const m_addresses =
      new std::map<std::string, std::string>();
  FakeStore* const m_store = new FakeStore();
  FakeDatabaseGroup* const m_group = new FakeDatabaseGroup(
      "f",
      3,
      m_store,
      Options(),
      // Not `this`: databases also register after the test has ended.
      [addresses = m_addresses](const std::string& address) {
        // They register first in the order of their names.
        const size_t count = addresses->size();
        if (count < 3) {
          (*addresses)["f-" + std::to_string(count)] = address;
        }
        return address;
      });

 private:
  static FakeGroupOptions Options() {
    FakeGroupOptions options{absl::Hours(1), absl::ZeroDuration()};
    options.sync_replicas = 1;
    return options;
  }
};

TEST_CASE_FIXTURE(SyncGroupFixture,
                  "FakeDatabaseGroup_SyncCommit_IsInLogOfOneReplica") {
  CHECK(Write() == "COMPLETE write.f-0\r\n");
  const bool first = Position("f-1") == "READY I 1.2\r\n";
  const bool second = Position("f-2") == "READY I 1.2\r\n";
  CHECK(first != second);
}

TEST_CASE_FIXTURE(SyncGroupFixture,
                  "FakeDatabaseGroup_SyncCommitWithoutReplicas_IsUnknown") {
  m_group->Crash("f-1");
  m_group->Crash("f-2");
  CHECK(Write() == "ERROR TIMEOUT f-0\r\n");
  CHECK(m_group->Commits().size() == 1);
}

TEST_CASE_FIXTURE(SyncGroupFixture,
                  "FakeDatabaseGroup_PromotedWithoutCommit_CommitIsLost") {
  REQUIRE(Write() == "COMPLETE write.f-0\r\n");
  const bool first = Position("f-1") == "READY I 1.2\r\n";
  m_group->Crash("f-0");
  CHECK(m_group->Promote(first ? "f-2" : "f-1") == 200);
  CHECK(m_group->Commits().at(0).lost);
}

TEST_CASE_FIXTURE(SyncGroupFixture,
                  "FakeDatabaseGroup_ReplicaLacksOlderCommit_StaysInItsTerm") {
  REQUIRE(Write() == "COMPLETE write.f-0\r\n");
  const bool first = Position("f-1") == "READY I 1.2\r\n";
  const std::string holder = first ? "f-1" : "f-2";
  const std::string other = first ? "f-2" : "f-1";
  CHECK(m_group->Promote(holder) == 200);
  CHECK(Position(holder) == "READY I 2.3\r\n");
  CHECK(Connection((*m_addresses)[other], other)
            .Send("QUERY r1 AFTER 1.2 READ k") ==
        "ERROR LAGGING " + other + "\r\n");
}

TEST_CASE_FIXTURE(SyncGroupFixture,
                  "FakeDatabaseGroup_LogLost_DatabaseStartsAgainEmpty") {
  CHECK(!m_group->LoseLog("f-0"));
  CHECK(m_group->Promote("f-1", kLate) == 200);
  CHECK(!m_group->LoseLog("f-1"));
  CHECK(m_group->LoseLog("f-2"));
  m_group->Crash("f-0");
  m_group->Restart("f-2");
  CHECK_THROWS(Position("f-2"));
  m_group->RestartEmpty("f-2");
  CHECK(Position("f-2") == "READY I 1.0\r\n");
}

TEST_CASE("FakeDatabaseGroup_FirstTerm_IsThatOfAllDatabases") {
  auto* const store = new FakeStore();
  FakeGroupOptions options{absl::ZeroDuration(), absl::ZeroDuration()};
  options.first_term = 3;
  auto* const addresses = new std::vector<std::string>();
  auto* const group = new FakeDatabaseGroup(
      "f", 2, store, options, [addresses](const std::string& address) {
        if (addresses->size() < 2) {
          addresses->push_back(address);
        }
        return address;
      });
  CHECK(StartAnswer(addresses->at(0), "f-0") == "READY I 3.3\r\n");
  CHECK(StartAnswer(addresses->at(1), "f-1") == "READY I 3.3\r\n");
  CHECK(group->Promote("f-1", absl::ZeroDuration()) == 200);
  CHECK(StartAnswer(addresses->at(1), "f-1") == "READY I 4.4\r\n");
}

}  // namespace
}  // namespace heatherwick::platform
