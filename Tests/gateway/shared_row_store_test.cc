// Guards against followers that miss changes, mistake an old read of the store
// for a new one, or wait for each other while no instance reads the store.

#include "Source/gateway/shared_row_store.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Source/gateway/store_version.h"
#include "Tests/gateway/fake_row_store.h"
#include "Tests/gateway/virtual_loop.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

constexpr absl::Duration kWait = absl::Milliseconds(600);
constexpr absl::Duration kTimeout = absl::Milliseconds(1000);

class CountingStore : public FakeRowStore {
 public:
  using FakeRowStore::FakeRowStore;
  void PollChanges(const std::string& table,
                   uint64_t after,
                   absl::Duration wait,
                   absl::Duration timeout,
                   std::function<void(Result<RowChanges>)> done) override {
    ++polls;
    FakeRowStore::PollChanges(table, after, wait, timeout, std::move(done));
  }
  int polls = 0;
};

class SharedStoreFixture {
 protected:
  struct Instance : PeerTransport {
    Instance(SharedStoreFixture* fixture, const std::string& name)
        : owner(fixture),
          id(name),
          direct(&fixture->m_loop, &fixture->m_table),
          shared(name, &fixture->m_loop, &direct, this, [fixture]() {
            return fixture->m_shared_members;
          }) {}
    void Vouch(const std::string&,
               const VouchQuery&,
               absl::Duration,
               std::function<void(Result<VouchResponse>)>) override {}
    void Follow(const std::string& address,
                const FollowQuery& query,
                absl::Duration timeout,
                std::function<void(Result<FollowResponse>)> done) override {
      Instance& peer = *owner->m_instances.at(address);
      if (peer.unresponsive) {
        owner->m_loop.Add(timeout, [done]() {
          done(Error{ErrorKind::kUnavailable, "no answer", ""});
        });
        return;
      }
      owner->m_loop.Add(absl::Milliseconds(2), [&peer, query, done, this]() {
        peer.shared.OnFollow(query, [done, this](Result<FollowResponse> sent) {
          if (Ok(sent) && owner->alter_response) {
            owner->alter_response(&ValueOf(sent));
          }
          done(std::move(sent));
        });
      });
    }
    void Fetch(const std::string& address,
               const FetchQuery& query,
               absl::Duration timeout,
               std::function<void(Result<std::string>)> done) override {
      Instance& peer = *owner->m_instances.at(address);
      if (peer.unresponsive || owner->lose_parts) {
        owner->m_loop.Add(timeout, [done]() {
          done(Error{ErrorKind::kUnavailable, "no answer", ""});
        });
        return;
      }
      owner->m_loop.Add(absl::Milliseconds(2), [&peer, query, done, this]() {
        if (owner->damage != Damage::kNone && ++owner->damaged_parts < 1000) {
          done(std::string(owner->damage == Damage::kEmptyParts ? 0 : 5000,
                           'x'));
          return;
        }
        Result<std::string> part = peer.shared.OnFetch(query);
        if (Ok(part)) {
          owner->largest_part =
              std::max(owner->largest_part, ValueOf(part).size());
          peer.bytes_sent += ValueOf(part).size();
        }
        done(std::move(part));
      });
    }
    // Polls continuously, as a store watch does.
    void Watch() {
      auto next = [this](const Result<RowChanges>& changes) {
        if (!Ok(changes) && ErrorOf(changes).kind == ErrorKind::kNotFound) {
          read = false;
        }
        if (Ok(changes)) {
          read = true;
          version = std::max(version, ValueOf(changes).version);
          as_of = std::max(as_of, ValueOf(changes).as_of);
          CHECK(ValueOf(changes).as_of <= owner->m_loop.Now());
          for (const StoredRow& row : ValueOf(changes).rows) {
            rows[row.key] = row.deleted ? "" : row.value;
          }
        }
        owner->m_loop.Add(absl::Milliseconds(1), [this]() { Watch(); });
      };
      if (read) {
        shared.PollChanges("t", version, kWait, kTimeout, next);
      } else {
        shared.ReadTable("t", kTimeout, next);
      }
    }

    SharedStoreFixture* const owner;
    const std::string id;
    CountingStore direct;
    SharedRowStore shared;
    bool unresponsive = false;
    size_t bytes_sent = 0;  // Of large values.
    bool read = false;
    uint64_t version = 0;
    absl::Time as_of = absl::InfinitePast();
    std::map<std::string, std::string> rows;
  };

  SharedStoreFixture() : SharedStoreFixture(4) {}
  explicit SharedStoreFixture(size_t instances, size_t data_centres = 1) {
    for (size_t index = 0; index < instances; ++index) {
      const std::string name =
          index < 26 ? std::string(1, static_cast<char>('a' + index))
                     : absl::StrCat("n", index);
      m_members[name] = {name, absl::StrCat("dc", index % data_centres), 1};
    }
    m_shared_members = std::make_shared<SharedRowStore::Members>(m_members);
    for (const auto& [name, member] : m_members) {
      m_instances[name] = std::make_unique<Instance>(this, name);
    }
    for (const auto& [name, instance] : m_instances) {
      instance->Watch();
    }
    m_loop.RunFor(absl::Seconds(3));
  }

  void Write(const std::string& key, const std::string& value) {
    RowTransaction transaction{"t", {}, {{key, value, 0, false}}, {}};
    (void)m_table.Apply(transaction);
  }
  int Polls() const {
    int polls = 0;
    for (const auto& [name, instance] : m_instances) {
      polls += instance->direct.polls;
    }
    return polls;
  }
  Instance& Reader() {
    for (const auto& [name, instance] : m_instances) {
      instance->direct.polls = 0;
    }
    m_loop.RunFor(absl::Seconds(2));
    for (const auto& [name, instance] : m_instances) {
      if (instance->direct.polls > 0) {
        return *instance;
      }
    }
    FAIL("no instance reads the store");
    return *m_instances["a"];
  }

  // Applied to each response of an instance to its followers.
  std::function<void(FollowResponse*)> alter_response;
  enum class Damage { kNone, kEmptyParts, kOtherBytes };
  Damage damage = Damage::kNone;
  int damaged_parts = 0;
  bool lose_parts = false;
  size_t largest_part = 0;
  VirtualLoop m_loop;
  FakeTable m_table;
  SharedRowStore::Members m_members;
  std::shared_ptr<const SharedRowStore::Members> m_shared_members;
  std::map<std::string, std::unique_ptr<Instance>> m_instances;
};

// After the store's return from a copy, versions are given out again. Rows of
// two eras must not be mixed, and a row that the copy lacks must go everywhere.
TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_StoreReturns_AllKnowTheNewEra") {
  const FakeTable copy = m_table;
  RowTransaction lost;
  lost.writes = {{"lost", "x", 0, false}};
  (void)m_table.Apply(lost);
  m_loop.RunFor(absl::Seconds(2));
  m_table.ReturnTo(copy);
  RowTransaction again;
  again.writes = {{"again", "y", 0, false}};
  (void)m_table.Apply(again);
  m_loop.RunFor(absl::Seconds(5));
  for (const auto& entry : m_instances) {
    const Instance& instance = *entry.second;
    CAPTURE(instance.id);
    CHECK(EraOf(instance.version) == 1);
    CHECK(instance.rows.at("again") == "y");
  }
}

// An instance of an earlier version of the program does not name the era.
TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_SourceNamesNoEra_IsNotUsed") {
  m_table.ReturnTo(FakeTable(m_table));
  m_loop.RunFor(absl::Seconds(5));
  alter_response = [](FollowResponse* response) { response->era = 0; };
  RowTransaction write;
  write.writes = {{"new", "z", 0, false}};
  (void)m_table.Apply(write);
  m_loop.RunFor(absl::Seconds(5));
  for (const auto& entry : m_instances) {
    const Instance& instance = *entry.second;
    CAPTURE(instance.id);
    CHECK(instance.rows.at("new") == "z");  // From the store.
  }
}

// A source that has read the era before only knows none of the new rows, and
// its answer would pass for a current one.
TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_SourceIsInEarlierEra_IsNotUsed") {
  m_table.ReturnTo(FakeTable(m_table));
  m_loop.RunFor(absl::Seconds(5));
  alter_response = [](FollowResponse* response) {
    response->era = 0;
    response->changes.rows.clear();
  };
  Write("new", "z");
  m_loop.RunFor(absl::Seconds(5));
  for (const auto& entry : m_instances) {
    const Instance& instance = *entry.second;
    CAPTURE(instance.id);
    CHECK(instance.rows.at("new") == "z");
  }
}

// A follower of a later era would wait in vain for rows that this instance does
// not know.
TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_FollowerIsInLaterEra_IsRefusedAtOnce") {
  std::optional<Result<FollowResponse>> answer;
  m_instances["a"]->shared.OnFollow(
      {"t", QualifyVersion(1, 1), kWait, true},
      [&answer](Result<FollowResponse> sent) { answer = std::move(sent); });
  REQUIRE(answer);
  REQUIRE_FALSE(Ok(*answer));
  CHECK(ErrorOf(*answer).kind == ErrorKind::kNotHome);
}

// An answer of the era before must not add a row, which followers would get as
// one of the present era.
TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_AnswerOfEarlierEraIsLate_IsNotPassedOn") {
  // Reads the store itself, and only when this test does.
  FakeRowStore direct(&m_loop, &m_table);
  auto members = std::make_shared<const SharedRowStore::Members>(
      SharedRowStore::Members{{"alone", {"alone", "dc0", 1}}});
  SharedRowStore shared("alone", &m_loop, &direct, nullptr,
                        [&members]() { return members; });
  shared.ReadTable("t", kTimeout, [](const Result<RowChanges>&) {});
  m_loop.RunFor(absl::Seconds(2));
  const FakeTable copy = m_table;
  direct.SetPollDelay(absl::Milliseconds(300));
  shared.PollChanges("t", m_table.version, kWait, kTimeout,
                     [](const Result<RowChanges>&) {});
  m_loop.RunFor(absl::Milliseconds(100));
  Write("lost", "x");
  m_loop.RunFor(absl::Milliseconds(50));
  m_table.ReturnTo(copy);
  bool read = false;
  shared.ReadTable("t", kTimeout, [&read](const Result<RowChanges>& rows) {
    read = Ok(rows) && EraOf(ValueOf(rows).version) == 1;
  });
  m_loop.RunFor(absl::Milliseconds(100));
  REQUIRE(read);
  m_loop.RunFor(absl::Seconds(1));
  std::optional<Result<FollowResponse>> answer;
  shared.OnFollow(
      {"t", QualifyVersion(1, 0), absl::ZeroDuration(), false},
      [&answer](Result<FollowResponse> sent) { answer = std::move(sent); });
  REQUIRE(answer);
  REQUIRE(Ok(*answer));
  for (const StoredRow& row : ValueOf(*answer).changes.rows) {
    CHECK(row.key != "lost");
  }
}

TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_NoFaults_OneInstanceReads") {
  const int before = Polls();
  m_loop.RunFor(absl::Seconds(6));
  CHECK(Polls() - before <= 11);
  for (const auto& [name, instance] : m_instances) {
    CHECK(m_loop.Now() - instance->as_of < absl::Milliseconds(700));
  }
}

TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_RowChanges_AllInstancesSeeItSoon") {
  Write("k", "v1");
  m_loop.RunFor(absl::Milliseconds(30));
  for (const auto& [name, instance] : m_instances) {
    CHECK(instance->rows["k"] == "v1");
  }
}

// Guards against a reading that seems newer than any other, or a version after
// which no change is ever found. The instances turn to another source.
TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_MalformedResponse_IsNotUsed") {
  const std::function<void(FollowResponse*)> alterations[] = {
      [](FollowResponse* response) { response->age = -absl::Hours(1); },
      [](FollowResponse* response) { response->waited = absl::Hours(1); },
      [](FollowResponse* response) { response->waited = -absl::Hours(1); },
      [](FollowResponse* response) {
        response->changes.version = ~uint64_t{0};
      }};
  int value = 0;
  for (const auto& alteration : alterations) {
    CAPTURE(value);
    alter_response = alteration;
    m_loop.RunFor(absl::Seconds(3));
    Write("k", absl::StrCat("m", ++value));
    m_loop.RunFor(absl::Seconds(4));
    for (const auto& [name, instance] : m_instances) {
      CHECK(instance->rows["k"] == absl::StrCat("m", value));
      CHECK(instance->as_of <= m_loop.Now());
      CHECK(instance->version <= m_table.version);
    }
  }
}

TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_ReaderUnresponsive_OthersReadTheStore") {
  Instance& reader = Reader();
  reader.unresponsive = true;
  m_loop.RunFor(absl::Milliseconds(1100));
  Write("k", "v2");
  m_loop.RunFor(absl::Milliseconds(700));
  for (const auto& [name, instance] : m_instances) {
    CHECK(instance->rows["k"] == "v2");
  }
}

TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_ReaderCutFromStore_OthersReadTheStore") {
  Instance& reader = Reader();
  reader.direct.SetDown(true);
  m_loop.RunFor(absl::Milliseconds(1700));
  Write("k", "v3");
  m_loop.RunFor(absl::Milliseconds(700));
  for (const auto& [name, instance] : m_instances) {
    if (instance.get() != &reader) {
      CHECK(instance->rows["k"] == "v3");
      CHECK(m_loop.Now() - instance->as_of < absl::Milliseconds(1500));
    }
  }
}

class LargeSharedStoreFixture : public SharedStoreFixture {
 protected:
  LargeSharedStoreFixture() : SharedStoreFixture(24) {}
};

// Guards against all instances polling the store while it is down, as happened
// in a deployment of 82 instances. The platform charges for every call.
TEST_CASE_FIXTURE(LargeSharedStoreFixture,
                  "SharedRowStore_StoreDownForAll_FewInstancesPollIt") {
  for (const auto& [name, instance] : m_instances) {
    instance->direct.SetDown(true);
  }
  m_loop.RunFor(absl::Seconds(2));
  size_t readers = 0;
  for (const auto& [name, instance] : m_instances) {
    const int before = instance->direct.polls;
    m_loop.RunFor(absl::Seconds(3));
    readers += instance->direct.polls > before ? 1 : 0;
  }
  CHECK(readers <= 8);
  for (const auto& [name, instance] : m_instances) {
    instance->direct.SetDown(false);
  }
  m_loop.RunFor(absl::Seconds(3));
  Write("k", "v4");
  m_loop.RunFor(absl::Seconds(1));
  for (const auto& [name, instance] : m_instances) {
    CHECK(instance->rows["k"] == "v4");
  }
}

// Readers that no longer answer must not prevent the others from reading the
// store.
TEST_CASE_FIXTURE(LargeSharedStoreFixture,
                  "SharedRowStore_HalfUnresponsive_OthersReadTheStore") {
  for (const auto& [name, instance] : m_instances) {
    instance->unresponsive = name < "m";
  }
  m_loop.RunFor(absl::Seconds(3));
  Write("k", "v5");
  m_loop.RunFor(absl::Seconds(2));
  for (const auto& [name, instance] : m_instances) {
    if (!instance->unresponsive) {
      CHECK(instance->rows["k"] == "v5");
    }
  }
}

class FleetSharedStoreFixture : public SharedStoreFixture {
 protected:
  FleetSharedStoreFixture() : SharedStoreFixture(300, 6) {}
};

// Guards against a reader that passes each change to all of the others. With
// 295 instances, a document of 250 kB filled the reader's link for half a
// minute, and the configuration came too late.
TEST_CASE_FIXTURE(FleetSharedStoreFixture,
                  "SharedRowStore_LargeRowInAFleet_NoInstanceSendsItToAll") {
  std::string document;
  for (int line = 0; line < 1680; ++line) {
    absl::StrAppend(&document, "route ", line * 7919 % 100003,
                    " is served by group ", line % 20, " within 800 ms; ");
  }
  const int polls_before = Polls();
  Write("config", document);
  m_loop.RunFor(absl::Seconds(2));
  size_t busiest = 0;
  for (const auto& [name, instance] : m_instances) {
    CHECK(instance->rows["config"] == document);
    busiest = std::max(busiest, instance->bytes_sent);
  }
  CHECK(Polls() - polls_before <= 8);
  CHECK(busiest <= (kRelayFanOut + 5) * document.size() / 2);
  CHECK(largest_part <= SharedRowStore::kFetchBytes);
}

// Guards against a transfer that starts again from its first byte after each
// lost part, which kept a slow link full without ever completing.
TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_PartLost_TransferContinues") {
  std::string document;
  uint64_t random = 1;
  while (document.size() < 40000) {
    random = random * 6364136223846793005U + 1442695040888963407U;
    absl::StrAppend(&document, random);
  }
  Write("config", document);
  m_loop.RunFor(absl::Milliseconds(9));
  lose_parts = true;
  m_loop.RunFor(absl::Milliseconds(50));
  lose_parts = false;
  m_loop.RunFor(absl::Milliseconds(1100));
  size_t sent = 0;
  for (const auto& [name, instance] : m_instances) {
    CHECK(instance->rows["config"] == document);
    sent += instance->bytes_sent;
  }
  CHECK(sent <= 3 * document.size());
}

// Guards against a member whose malformed parts keep another one asking for
// ever, or end its process.
TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_PartsMalformed_StoreIsReadInstead") {
  std::string document;
  for (int line = 0; line < 5000; ++line) {
    absl::StrAppend(&document, line * 7919 % 100003, ";");
  }
  for (const Damage kind : {Damage::kEmptyParts, Damage::kOtherBytes}) {
    damage = kind;
    damaged_parts = 0;
    absl::StrAppend(&document, "end");
    Write("config", document);
    m_loop.RunFor(absl::Seconds(4));
    CHECK(damaged_parts < 200);
    damage = Damage::kNone;
    m_loop.RunFor(absl::Seconds(6));
    for (const auto& [name, instance] : m_instances) {
      CHECK(instance->rows["config"] == document);
    }
  }
}

// Guards against a fleet that polls the store once for each instance and each
// row while it starts.
TEST_CASE_FIXTURE(FleetSharedStoreFixture,
                  "SharedRowStore_ManyChanges_FewPollsOfTheStore") {
  const int polls_before = Polls();
  for (int row = 0; row < 300; ++row) {
    Write(absl::StrCat("member", row), "joined");
    m_loop.RunFor(absl::Milliseconds(10));
  }
  CHECK(Polls() - polls_before <= 45);
  m_loop.RunFor(absl::Seconds(1));
  for (const auto& [name, instance] : m_instances) {
    CHECK(instance->rows["member299"] == "joined");
  }
}

// A dead member between the reader and others must not keep them from reading
// for longer than the lease on primaries.
TEST_CASE_FIXTURE(FleetSharedStoreFixture,
                  "SharedRowStore_RelaysUnresponsive_ReadingsStayRecent") {
  for (const auto& [name, instance] : m_instances) {
    instance->unresponsive = instance->id.size() == 1 && instance->id < "k";
  }
  absl::Duration oldest;
  for (int step = 0; step < 60; ++step) {
    m_loop.RunFor(absl::Milliseconds(100));
    for (const auto& [name, instance] : m_instances) {
      oldest = std::max(oldest, m_loop.Now() - instance->as_of);
    }
  }
  CHECK(oldest < absl::Milliseconds(2000));
}

// Guards against a follower that extends its lease although no instance can
// read the store: the time of the latest read must not advance.
TEST_CASE_FIXTURE(SharedStoreFixture,
                  "SharedRowStore_StoreDownForAll_ReadTimesStayOld") {
  for (const auto& [name, instance] : m_instances) {
    instance->direct.SetDown(true);
  }
  const absl::Time down = m_loop.Now();
  m_loop.RunFor(absl::Seconds(8));
  for (const auto& [name, instance] : m_instances) {
    CHECK(instance->as_of <= down + kWait);
  }
}

}  // namespace
}  // namespace heatherwick
