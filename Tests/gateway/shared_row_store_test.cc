// Guards against followers that miss changes, mistake an old read of the store
// for a new one, or wait for each other while no instance reads the store.

#include "Source/gateway/shared_row_store.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "Tests/gateway/fake_row_store.h"
#include "Tests/gateway/virtual_loop.h"
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
            return fixture->m_members;
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
      owner->m_loop.Add(absl::Milliseconds(2), [&peer, query, done]() {
        peer.shared.OnFollow(query, done);
      });
    }
    // Polls continuously, as a store watch does.
    void Watch() {
      auto next = [this](const Result<RowChanges>& changes) {
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
    bool read = false;
    uint64_t version = 0;
    absl::Time as_of = absl::InfinitePast();
    std::map<std::string, std::string> rows;
  };

  SharedStoreFixture() : SharedStoreFixture(4) {}
  explicit SharedStoreFixture(size_t instances) {
    for (size_t index = 0; index < instances; ++index) {
      const std::string name(1, static_cast<char>('a' + index));
      m_members[name] = name;
    }
    for (const auto& [name, address] : m_members) {
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

  VirtualLoop m_loop;
  FakeTable m_table;
  SharedRowStore::Members m_members;
  std::map<std::string, std::unique_ptr<Instance>> m_instances;
};

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
