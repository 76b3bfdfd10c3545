// Guards against operations that never get a decision, or get two, against
// refusals while the quota has room, and against grants by an instance that no
// longer coordinates.

#include "Source/gateway/quota/quota_gate.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Tests/gateway/virtual_loop.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {
namespace {

constexpr absl::Duration kLease = absl::Milliseconds(2100);
constexpr absl::Duration kHop = absl::Milliseconds(1);
// The time that the gate gives a coordinator.
constexpr absl::Duration kCallTimeout = absl::Milliseconds(150);

class FakeFleetView : public QuotaFleetView {
 public:
  bool MembersRead() const override { return true; }
  uint64_t MembersRevision() const override { return revision; }
  std::vector<FleetMember> Members() const override { return members; }
  std::string PeerAddress(const InstanceId& id) const override { return id; }
  bool HasRowOfEarlierRun() const override { return false; }
  bool LeaseValid() const override { return lease_valid; }

  std::vector<FleetMember> members;
  uint64_t revision = 1;
  bool lease_valid = true;
};

// Instances whose gates call each other.
class QuotaGateFixture : public QuotaTransport {
 protected:
  struct Instance {
    FakeFleetView fleet;
    Metrics metrics;
    std::unique_ptr<QuotaGate> gate;
  };
  struct Operation {
    std::unique_ptr<QuotaGate::Ticket> ticket;
    std::vector<QuotaGate::Decision> decisions;
  };

  ~QuotaGateFixture() override { m_operations.clear(); }

  void Start(int count) {
    std::vector<FleetMember> members;
    members.reserve(static_cast<size_t>(count));
    for (int number = 0; number < count; ++number) {
      members.push_back({absl::StrCat("i", number), "a", 1});
    }
    for (const FleetMember& member : members) {
      Instance& instance = m_instances[member.id];
      instance.fleet.members = members;
      instance.gate = std::make_unique<QuotaGate>(
          member.id, member.data_centre, kLease,
          QuotaTolerance{absl::Seconds(5), 0.1, 20}, &m_loop, this,
          &instance.fleet, &instance.metrics);
      instance.gate->Start();
    }
  }
  void SetQuota(std::optional<WorkspaceQuota> quota) {
    for (auto& [id, instance] : m_instances) {
      std::map<WorkspaceName, WorkspaceQuota> quotas;
      if (quota) {
        quotas["w"] = *quota;
      }
      instance.gate->OnQuotas(quotas);
    }
  }
  QuotaGate& Gate(const InstanceId& id) { return *m_instances.at(id).gate; }

  Operation& Admit(const InstanceId& id) {
    m_operations.push_back(std::make_unique<Operation>());
    Operation* const operation = m_operations.back().get();
    operation->ticket =
        Gate(id).Admit("w", 0, [operation](QuotaGate::Decision decision) {
          operation->decisions.push_back(decision);
        });
    return *operation;
  }
  int Admitted() const {
    int admitted = 0;
    for (const auto& operation : m_operations) {
      for (const QuotaGate::Decision& decision : operation->decisions) {
        admitted += decision.admitted ? 1 : 0;
      }
    }
    return admitted;
  }

  void AskQuota(const std::string& address,
                const QuotaQuery& query,
                absl::Duration timeout,
                std::function<void(Result<QuotaResponse>)> done) override {
    ++m_calls;
    if (m_silent.contains(address)) {
      m_loop.Add(timeout, [done]() {
        done(Error{ErrorKind::kUnavailable, "no answer in time", ""});
      });
      return;
    }
    m_loop.Add(kHop, [this, address, query, done]() {
      const QuotaResponse response = Gate(address).OnQuery(query);
      m_loop.Add(kHop, [done, response]() { done(response); });
    });
  }

  VirtualLoop m_loop;
  std::map<InstanceId, Instance> m_instances;
  std::set<std::string> m_silent;  // Addresses that do not answer.
  std::vector<std::unique_ptr<Operation>> m_operations;
  int m_calls = 0;
};

// After a return of the store the members register again within some hundred
// milliseconds. The views in between had few members, so that no coordinator
// had its share until a lease after the last of them, and operations within the
// quota were refused.
TEST_CASE_FIXTURE(QuotaGateFixture,
                  "QuotaGate_MembersRegisterAgain_AdmitsWithinTheQuota") {
  Start(4);
  SetQuota(WorkspaceQuota{250, 50});
  m_loop.RunFor(absl::Seconds(10));
  const std::vector<FleetMember> all = m_instances.at("i0").fleet.members;
  int asked = 0;
  const auto ask_for = [&](absl::Duration time) {
    for (int step = 0; step < time / absl::Milliseconds(20); ++step) {
      m_loop.RunFor(absl::Milliseconds(20));
      for (const auto& [id, instance] : m_instances) {
        Admit(id);
        ++asked;
      }
    }
  };
  ask_for(absl::Seconds(1));
  CHECK(Admitted() >= asked * 9 / 10);
  for (size_t registered = 1; registered <= all.size(); ++registered) {
    for (auto& [id, instance] : m_instances) {
      instance.fleet.members.assign(
          all.begin(), all.begin() + static_cast<ptrdiff_t>(registered));
      ++instance.fleet.revision;
    }
    m_loop.RunFor(absl::Milliseconds(60));
  }
  const int before = Admitted();
  asked = 0;
  ask_for(absl::Seconds(2));
  MESSAGE("admitted ", Admitted() - before, " of ", asked);
  CHECK(Admitted() - before >= asked * 9 / 10);
}

TEST_CASE_FIXTURE(QuotaGateFixture,
                  "QuotaGate_OnlyInstance_AdmitsWithoutACall") {
  Start(1);
  SetQuota(WorkspaceQuota{10, 5});
  m_loop.RunFor(absl::Seconds(5));
  const Operation& operation = Admit("i0");
  CHECK(operation.decisions.empty());  // Not before Admit() has returned.
  m_loop.RunFor(kHop);
  REQUIRE(operation.decisions.size() == 1);
  CHECK(operation.decisions[0].admitted);
  CHECK(m_calls == 0);
}

TEST_CASE_FIXTURE(QuotaGateFixture,
                  "QuotaGate_QuotaUsedUp_IsRefusedAtOnceWithATimeToComeBack") {
  Start(1);
  SetQuota(WorkspaceQuota{1, 1});
  m_loop.RunFor(absl::Seconds(60));
  for (int i = 0; i < 100; ++i) {
    Admit("i0");
  }
  m_loop.RunFor(absl::Milliseconds(10));
  int refused = 0;
  for (const auto& operation : m_operations) {
    REQUIRE(operation->decisions.size() == 1);
    const QuotaGate::Decision& decision = operation->decisions[0];
    if (!decision.admitted) {
      ++refused;
      CHECK(decision.used_up);
      CHECK(decision.retry_after > absl::ZeroDuration());
    }
  }
  CHECK(refused >= 100 - (1 * 5 + 1) * 1.1 - 20);
}

// The session of a ticket that is destroyed no longer exists.
TEST_CASE_FIXTURE(QuotaGateFixture,
                  "QuotaGate_TicketDestroyedWhileItWaits_IsNotDecided") {
  Start(4);
  SetQuota(WorkspaceQuota{100, 100});
  m_loop.RunFor(absl::Seconds(5));
  m_silent = {"i0", "i1", "i2", "i3"};
  Operation& left = Admit("i0");
  Operation& stays = Admit("i0");
  m_loop.RunFor(absl::Milliseconds(1));
  left.ticket.reset();
  m_silent.clear();
  m_loop.RunFor(absl::Seconds(1));
  CHECK(left.decisions.empty());
  REQUIRE(stays.decisions.size() == 1);
  CHECK(stays.decisions[0].admitted);
}

// A ticket may also be destroyed after the decision was made and before it is
// reported.
TEST_CASE_FIXTURE(QuotaGateFixture,
                  "QuotaGate_TicketDestroyedBeforeTheReport_IsNotReported") {
  Start(1);
  m_loop.RunFor(absl::Seconds(5));
  SetQuota(WorkspaceQuota{100, 100});
  Operation& operation = Admit("i0");
  // The gate answers itself and reports in two tasks of the loop.
  m_loop.Post([&operation]() { operation.ticket.reset(); });
  m_loop.RunFor(absl::Seconds(1));
  CHECK(operation.decisions.empty());
}

TEST_CASE_FIXTURE(QuotaGateFixture,
                  "QuotaGate_CoordinatorSilent_AnotherShardIsAsked") {
  Start(4);
  SetQuota(WorkspaceQuota{100, 100});
  m_loop.RunFor(absl::Seconds(5));
  m_silent = {"i1"};
  for (int i = 0; i < 40; ++i) {
    Operation& operation = Admit("i0");
    m_loop.RunFor(kCallTimeout + absl::Milliseconds(10));
    REQUIRE(operation.decisions.size() == 1);
    CHECK(operation.decisions[0].admitted);
  }
}

// Without an answer nothing is known about the quota, so that nothing may be
// said about its use.
TEST_CASE_FIXTURE(QuotaGateFixture,
                  "QuotaGate_AllCoordinatorsSilent_IsRefusedAsUnknown") {
  Start(5);
  SetQuota(WorkspaceQuota{100, 100});
  m_loop.RunFor(absl::Seconds(5));
  m_silent = {"i0", "i1", "i2", "i3", "i4"};
  for (auto& [id, instance] : m_instances) {
    instance.fleet.lease_valid = false;
  }
  Operation& operation = Admit("i0");
  m_loop.RunFor(4 * kCallTimeout + absl::Milliseconds(10));
  REQUIRE(operation.decisions.size() == 1);
  CHECK_FALSE(operation.decisions[0].admitted);
  CHECK_FALSE(operation.decisions[0].used_up);
}

// An operation of a workspace that has no quota any more was refused, since its
// coordinator knew no workspace of this name.
TEST_CASE_FIXTURE(QuotaGateFixture,
                  "QuotaGate_QuotaRemovedWhileOperationWaits_IsAdmitted") {
  Start(4);
  SetQuota(WorkspaceQuota{100, 100});
  m_loop.RunFor(absl::Seconds(5));
  m_silent = {"i0", "i1", "i2", "i3"};
  Operation& operation = Admit("i0");
  m_loop.RunFor(absl::Milliseconds(1));
  m_silent.clear();
  SetQuota(std::nullopt);
  m_loop.RunFor(absl::Seconds(1));
  REQUIRE(operation.decisions.size() == 1);
  CHECK(operation.decisions[0].admitted);
}

TEST_CASE_FIXTURE(QuotaGateFixture,
                  "QuotaGate_LoweredQuota_HoldsAfterOneWindow") {
  Start(6);
  SetQuota(WorkspaceQuota{100, 100});
  const auto run = [this](absl::Duration time) {
    const int before = Admitted();
    const absl::Time end = m_loop.Now() + time;
    for (int i = 0; m_loop.Now() < end; ++i) {
      Admit(absl::StrCat("i", i % 6));
      m_loop.RunFor(absl::Milliseconds(5));
    }
    return Admitted() - before;
  };
  run(absl::Seconds(10));
  SetQuota(WorkspaceQuota{10, 10});
  run(absl::Seconds(5));
  CHECK(run(absl::Seconds(5)) <= (10 * 5 + 10) * 1.1 + 20);
}

// An instance that was frozen, or whose loop is late, has read the new members
// before its gate looks at them. Its lease is valid then, and another instance
// may coordinate its shards.
TEST_CASE_FIXTURE(QuotaGateFixture,
                  "QuotaGate_MembersJustChanged_OldCoordinatorGrantsNothing") {
  Start(4);
  SetQuota(WorkspaceQuota{100, 100});
  m_loop.RunFor(absl::Seconds(5));
  Instance& instance = m_instances.at("i0");
  std::optional<QuotaQuery> granted;
  for (uint32_t shard = 0; shard < 4; ++shard) {
    const QuotaQuery query{"w", shard, 4, 1};
    if (instance.gate->OnQuery(query).granted == 1) {
      granted = query;
    }
  }
  REQUIRE(granted);
  instance.fleet.members.erase(instance.fleet.members.begin());
  for (int i = 4; i < 8; ++i) {
    instance.fleet.members.push_back({absl::StrCat("i", i), "a", 1});
  }
  ++instance.fleet.revision;
  CHECK(instance.gate->OnQuery(*granted).granted == 0);
}

// Instances fall silent and answer again, callers leave, and members change
// while operations wait. Each operation whose caller stays gets one decision.
TEST_CASE_FIXTURE(QuotaGateFixture,
                  "QuotaGate_RandomFaults_EachOperationIsDecidedOnce") {
  for (uint32_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    m_operations.clear();
    m_instances.clear();
    m_silent.clear();
    std::minstd_rand random(seed);
    Start(6);
    SetQuota(WorkspaceQuota{static_cast<double>(1 + random() % 60), 5});
    m_loop.RunFor(absl::Seconds(3));
    std::vector<Operation*> staying;
    for (int i = 0; i < 1000; ++i) {
      Operation& operation = Admit(absl::StrCat("i", random() % 6));
      if (random() % 4 == 0) {
        m_loop.Add(absl::Milliseconds(random() % 50),
                   [&operation]() { operation.ticket.reset(); });
      } else {
        staying.push_back(&operation);
      }
      if (random() % 50 == 0) {
        const std::string id = absl::StrCat("i", random() % 6);
        if (m_silent.erase(id) == 0) {
          m_silent.insert(id);
        }
      }
      if (random() % 200 == 0) {
        std::vector<FleetMember> members = m_instances.at("i0").fleet.members;
        std::swap(members.front(), members.back());
        if (members.size() > 3) {
          members.pop_back();
        }
        for (auto& [id, instance] : m_instances) {
          instance.fleet.members = members;
          ++instance.fleet.revision;
        }
      }
      m_loop.RunFor(absl::Milliseconds(random() % 20));
    }
    m_loop.RunFor(absl::Seconds(3));
    for (const Operation* operation : staying) {
      REQUIRE(operation->decisions.size() == 1);
    }
  }
}

}  // namespace
}  // namespace heatherwick
