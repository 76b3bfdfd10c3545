// Simulates instances, the row store, one or more groups of databases and the
// platform's promotion API in virtual time. It checks at each order of a
// promotion, when the promotion takes effect and all the time in between that
// no instance may acknowledge writes of a primary that has been replaced, and
// that fencing tokens never decrease.

#ifndef TESTS_GATEWAY_LEADERSHIP_CLUSTER_H_
#define TESTS_GATEWAY_LEADERSHIP_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "Source/gateway/leadership_manager.h"
#include "Tests/gateway/fake_row_store.h"
#include "Tests/gateway/virtual_loop.h"
#include "absl/strings/str_cat.h"
#include "doctest/doctest.h"

namespace heatherwick {

struct FakeDatabase {
  GroupName group;
  bool alive = true;
  bool draining = false;
  bool listed = true;
  std::string address;  // Its id, if empty.
  // The claim of its entry, if that is an older copy.
  std::optional<bool> registered_claim;
  int64_t started_unix_ms = 1;
  // The start in its entry, if that is still the one of an earlier run.
  std::optional<int64_t> registered_start;
  int busy_statuses = 0;  // Status queries that are refused before the next.
  TargetStatus status;
};

// What happens to one order of a promotion. The effect does not depend on the
// answer, nor on whether the instance that sent the order still runs.
struct OrderFate {
  absl::Duration effect_after;  // Infinite: the platform never gets the order.
  bool answered = true;
  // The platform answers that the target does not run, and performs nothing.
  bool refused = false;
  bool not_sent = false;  // The sender could not connect.
};

// What happens to calls of one instance to another.
enum class LinkFault {
  kRefused,      // The connection is refused, as if no process ran.
  kSilent,       // The call does not arrive, and the caller is not told.
  kAnswersLost,  // The call arrives, but its answer does not.
};

class LeadershipCluster : public PromotionApi {
 public:
  static constexpr absl::Duration kPromotionTime = absl::Milliseconds(1000);

  LeadershipCluster(size_t instances,
                    size_t groups,
                    absl::Duration log_wait_limit = absl::InfiniteDuration())
      : m_log_wait_limit(log_wait_limit) {
    for (size_t group = 0; group < groups; ++group) {
      for (size_t index = 0; index < 3; ++index) {
        FakeDatabase database;
        database.group = absl::StrCat("g", group);
        database.status.primary = index == 0;
        database.status.term = 1;
        database.status.received = {1, 10 - index};
        m_databases[absl::StrCat("g", group, "-db", index)] = database;
      }
      m_leading[absl::StrCat("g", group)] = absl::StrCat("g", group, "-db0");
    }
    for (size_t index = 0; index < instances; ++index) {
      AddInstance(absl::StrCat("i", index));
    }
  }

  class Instance : public GroupAccess, public PeerTransport {
   public:
    Instance(LeadershipCluster* cluster,
             const std::string& name,
             uint64_t incarnation)
        : m_cluster(cluster),
          m_name(name),
          m_loop(&cluster->m_loop),
          store(&cluster->m_loop, &cluster->m_table),
          m_process_store(&m_loop, &store),
          m_manager(std::make_unique<LeadershipManager>(
              LeadershipSettings{name, incarnation, name, "dc", 1,
                                 cluster->m_log_wait_limit},
              &m_loop,
              &m_process_store,
              cluster,
              this,
              this)) {
      store.SetPollDelay(cluster->poll_delay);
      store.SetDown(cluster->starts_without_store);
      m_manager->Start();
    }

    // Ends the process. This object stays, because calls in flight still refer
    // to it.
    void Stop() { m_manager.reset(); }
    LeadershipManager& Manager() { return *m_manager; }

    // The process stands still, and its loop runs nothing.
    void StandStill() { m_loop.StandStill(); }
    // Handles all that has waited, in random order.
    void GoOn(std::mt19937* random) {
      std::vector<std::function<void()>> waiting = m_loop.GoOn();
      while (!waiting.empty()) {
        const size_t next = (*random)() % waiting.size();
        std::swap(waiting[next], waiting.back());
        const std::function<void()> task = std::move(waiting.back());
        waiting.pop_back();
        task();
        m_cluster->CheckAcknowledgements();
      }
    }
    ProcessLoop& Loop() { return m_loop; }

    std::vector<GroupName> Groups() const override {
      std::set<GroupName> names;
      for (const auto& [id, database] : m_cluster->m_databases) {
        names.insert(database.group);
      }
      return {names.begin(), names.end()};
    }
    std::vector<ListedTarget> Targets(const GroupName& group) const override {
      std::vector<ListedTarget> targets;
      for (const auto& [id, database] : m_cluster->m_databases) {
        if (database.group == group && database.listed) {
          ListedTarget target;
          target.id = id;
          target.group = group;
          target.address = database.address.empty() ? id : database.address;
          target.started_unix_ms =
              database.registered_start.value_or(database.started_unix_ms);
          target.draining = database.draining;
          target.claims_primary =
              database.registered_claim.value_or(database.status.primary);
          targets.push_back(target);
        }
      }
      return targets;
    }
    absl::Time LastContact(const GroupName&,
                           const TargetId& target) const override {
      if (Reaches(target)) {
        m_contacts[target] = m_cluster->m_loop.Now();
      }
      return m_contacts[target];
    }
    void QueryStatus(
        const GroupName&,
        const TargetId& target,
        absl::Duration timeout,
        std::function<void(std::optional<TargetStatus>)> done) override {
      const bool reached = Reaches(target);
      m_cluster->m_loop.Add(
          reached ? absl::Milliseconds(3) : timeout,
          [this, target, reached, done = std::move(done)]() {
            FakeDatabase& database = m_cluster->m_databases.at(target);
            const bool busy = database.busy_statuses > 0;
            database.busy_statuses -= busy ? 1 : 0;
            const std::optional<TargetStatus> status =
                reached && Reaches(target) && !busy
                    ? std::optional(database.status)
                    : std::nullopt;
            // The answer is on its way, or the instance does not run.
            m_cluster->m_loop.Add(status_delay, [this, status, done]() {
              m_loop.Deliver([status, done]() { done(status); });
            });
          });
    }
    uint32_t SyncReplicas(const GroupName&) const override {
      return m_cluster->sync_replicas;
    }
    void Quiesce(const GroupName&,
                 bool planned,
                 std::function<void()> done) override {
      if (hold_quiesce) {
        return;
      }
      m_cluster->m_loop.Add(
          planned ? absl::Milliseconds(200) : absl::ZeroDuration(),
          [this, done = std::move(done)]() { m_loop.Deliver(done); });
    }
    void OnLeaderChanged(const GroupName&) override {}

    void Vouch(const std::string& address,
               const VouchQuery& query,
               absl::Duration timeout,
               std::function<void(Result<VouchResponse>)> done) override {
      Instance* const peer = m_cluster->Find(address);
      const std::optional<LinkFault> fault =
          m_cluster->FaultOf(m_name, address);
      const bool arrives =
          peer != nullptr && (!fault || fault == LinkFault::kAnswersLost) &&
          !isolated && !peer->isolated && partition == peer->partition;
      if (fault == LinkFault::kRefused || refused ||
          (peer == nullptr && fault != LinkFault::kSilent) ||
          (peer != nullptr && peer->refused)) {
        done(Error{ErrorKind::kNotFound, "refused", ""});
        return;
      }
      auto ended = std::make_shared<bool>(false);
      const auto end_with = [this, ended,
                             done](const Result<VouchResponse>& result) {
        if (!std::exchange(*ended, true)) {
          m_loop.Deliver([done, result]() { done(result); });
        }
      };
      m_cluster->m_loop.Add(timeout, [end_with]() {
        end_with(Error{ErrorKind::kUnavailable, "no answer", ""});
      });
      if (arrives) {
        peer->m_loop.Deliver(
            [cluster = m_cluster, peer, query, fault, end_with]() {
              if (peer->m_manager == nullptr) {
                return;
              }
              const VouchResponse answer = peer->Manager().Vouch(query);
              if (!fault) {
                cluster->m_loop.Add(absl::Milliseconds(3),
                                    [end_with, answer]() { end_with(answer); });
              }
            });
      }
    }

    void Follow(const std::string&,
                const FollowQuery&,
                absl::Duration,
                std::function<void(Result<FollowResponse>)>) override {}
    void Fetch(const std::string&,
               const FetchQuery&,
               absl::Duration,
               std::function<void(Result<std::string>)>) override {}

    // Reports the primaries that this instance cannot reach, as the gateway
    // does.
    void ReportUnresponsivePrimaries() {
      for (const GroupName& group : Groups()) {
        const std::optional<TargetId> primary = m_manager->UsablePrimary(group);
        if (primary && !Reaches(*primary)) {
          m_manager->ReportUnresponsivePrimary(group);
        }
      }
    }

    bool Reaches(const TargetId& target) const {
      return m_cluster->m_databases.at(target).alive &&
             !unreachable.contains(target);
    }

   private:
    LeadershipCluster* const m_cluster;
    const std::string m_name;
    ProcessLoop m_loop;
    mutable std::map<TargetId, absl::Time> m_contacts;

   public:
    FakeRowStore store;
    std::set<TargetId> unreachable;
    bool isolated = false;  // Cut off from its peers, which is silent.
    // The same, but connections are refused, as if no process ran.
    bool refused = false;
    int partition = 0;  // Only peers in the same partition are reached.
    absl::Duration status_delay;  // Of the answers of targets.
    bool hold_quiesce = false;    // Its statements at the primary never end.

   private:
    ProcessRowStore m_process_store;
    std::unique_ptr<LeadershipManager> m_manager;
  };

  void AddInstance(const std::string& name) {
    Kill(name);
    m_instances[name] =
        std::make_unique<Instance>(this, name, ++m_incarnations);
  }
  // Ends the process without deleting its member row.
  void Kill(const std::string& name) {
    const auto found = m_instances.find(name);
    if (found != m_instances.end()) {
      found->second->Stop();
      m_ended_instances.push_back(std::move(found->second));
      m_instances.erase(found);
    }
  }

  void RestartAll() {
    std::vector<std::string> names;
    for (const auto& [name, instance] : m_instances) {
      names.push_back(name);
    }
    for (const std::string& name : names) {
      AddInstance(name);
    }
  }

  // The store does not answer for `away` and then returns from `copy`.
  void ReturnStore(const FakeTable& copy, absl::Duration away) {
    for (const auto& [name, instance] : m_instances) {
      instance->store.SetDown(true);
    }
    RunFor(away);
    m_table.ReturnTo(copy);
    for (const auto& [name, instance] : m_instances) {
      instance->store.SetDown(false);
    }
  }

  std::optional<LinkFault> FaultOf(const std::string& from,
                                   const std::string& to) const {
    const auto found = link_faults.find({from, to});
    return found == link_faults.end() ? std::nullopt
                                      : std::optional(found->second);
  }

  // The primary of the group's newest term.
  const TargetId& Leading(const GroupName& group) const {
    return m_leading.at(group);
  }

  Instance* Find(const std::string& name) {
    const auto found = m_instances.find(name);
    return found == m_instances.end() ? nullptr : found->second.get();
  }
  Instance& At(size_t index) {
    return *m_instances.at(absl::StrCat("i", index));
  }

  void RunFor(absl::Duration time) {
    const absl::Time end = m_loop.Now() + time;
    while (m_loop.Now() < end) {
      for (const auto& [name, instance] : m_instances) {
        if (!instance->Loop().StandsStill()) {
          instance->ReportUnresponsivePrimaries();
        }
      }
      m_loop.RunFor(absl::Milliseconds(50));
      CheckAcknowledgements();
    }
  }

  void CheckAcknowledgements() {
    for (const auto& [group, leading] : m_leading) {
      CheckAcknowledgements(group);
    }
  }

  // Checks that no instance may acknowledge writes of a database that does not
  // lead the group.
  void CheckAcknowledgements(const GroupName& group) {
    const TargetId& leading = m_leading.at(group);
    for (const auto& [id, database] : m_databases) {
      if (database.group != group || id == leading) {
        continue;
      }
      const TargetId& replaced = id;
      for (const auto& entry : m_instances) {
        const std::string& name = entry.first;
        const bool acknowledges =
            entry.second->Manager().MayAcknowledge(group, replaced);
        CHECK_MESSAGE(!acknowledges, name, " may acknowledge for ", replaced,
                      " while ", leading, " leads ", group);
        wrong_acknowledgements += acknowledges ? 1 : 0;
      }
    }
  }

  void Promote(const std::string& group,
               const std::string& target,
               const std::string& holder,
               uint64_t fencing_token,
               absl::Duration timeout,
               std::function<void(Status)> done) override {
    CHECK_MESSAGE(fencing_token >= m_last_token, "token of ", holder,
                  " is lower than an earlier one");
    CHECK((fencing_token != m_last_token || holder == m_last_holder));
    m_last_token = fencing_token;
    m_last_holder = holder;
    TargetId old_primary;
    for (const auto& [id, database] : m_databases) {
      if (database.group == group && database.status.primary && id != target) {
        old_primary = id;
      }
    }
    for (const auto& entry : m_instances) {
      const std::string& name = entry.first;
      CHECK_MESSAGE(!entry.second->Manager().MayAcknowledge(group, old_primary),
                    name, " may acknowledge for ", old_primary, " while ",
                    target, " is promoted");
    }
    promoted.push_back(target);
    ordered_by.push_back(holder);
    const OrderFate fate =
        order_fate ? order_fate(target)
                   : OrderFate{kPromotionTime, !lose_promotion_answer};
    lose_promotion_answer = false;
    // An order for the present primary changes nothing, also if another target
    // takes the lead before the order would have taken effect.
    const bool leads = decided_when_ordered && m_leading.at(group) == target;
    if (fate.effect_after != absl::InfiniteDuration() && !fate.refused &&
        !fate.not_sent && !leads) {
      m_loop.Add(fate.effect_after,
                 [this, group, target]() { TakeEffect(group, target); });
    }
    Status answer = std::monostate{};
    if (!fate.answered) {
      answer = Error{ErrorKind::kUnavailable, "no answer in time", ""};
    } else if (fate.not_sent) {
      answer = Error{ErrorKind::kNotSent, "connection refused", ""};
    } else if (fate.refused) {
      answer = Error{ErrorKind::kConflict, "the target does not run", ""};
    }
    m_loop.Add(fate.answered ? absl::Milliseconds(5) : timeout,
               [answer, done = std::move(done), sender = Find(holder)]() {
                 sender->Loop().Deliver([answer, done]() { done(answer); });
               });
  }

  // Returns true if every instance uses `target` as the group's primary.
  bool AllUse(const GroupName& group, const TargetId& target) {
    for (const auto& [name, instance] : m_instances) {
      if (instance->Manager().UsablePrimary(group) != target) {
        return false;
      }
    }
    return true;
  }

  VirtualLoop m_loop;
  FakeTable m_table;
  std::map<TargetId, FakeDatabase> m_databases;
  std::vector<TargetId> promoted;      // The target of each order,
  std::vector<InstanceId> ordered_by;  // and who sent it.
  bool lose_promotion_answer = false;  // Applies to the next promotion only.
  // Chooses the fate of each order, by its target. If unset, orders take effect
  // after kPromotionTime.
  std::function<OrderFate(const TargetId&)> order_fate;
  // Called just before a promotion takes effect.
  std::function<void(const TargetId&)> on_promoted;
  // When it is decided whether the target of an order is the present primary:
  // when the order arrives, or when it takes effect.
  bool decided_when_ordered = false;
  size_t wrong_acknowledgements = 0;
  // By the caller and the instance that is called. Other links work.
  std::map<std::pair<std::string, std::string>, LinkFault> link_faults;
  absl::Duration poll_delay;  // Used by instances that are added later.
  // Instances that are added later start while the store does not answer them.
  bool starts_without_store = false;
  uint32_t sync_replicas = 0;

 private:
  void TakeEffect(const GroupName& group, const TargetId& target) {
    if (m_leading.at(group) == target) {
      return;  // The present primary stays as it is.
    }
    if (on_promoted) {
      on_promoted(target);
    }
    uint64_t term = 0;
    for (const auto& [id, database] : m_databases) {
      if (database.group == group) {
        term = std::max(term, database.status.term);
      }
    }
    for (auto& [id, database] : m_databases) {
      if (database.group == group && database.alive &&
          !database.status.primary) {
        database.status.term = term + 1;  // Follows the new primary.
      }
    }
    TargetStatus& status = m_databases[target].status;
    status.primary = true;
    status.term = term + 1;
    status.received = {term + 1, status.received.lsn + 1};
    m_leading[group] = target;
    CheckAcknowledgements(group);
  }

  const absl::Duration m_log_wait_limit;    // Of all instances.
  std::map<GroupName, TargetId> m_leading;  // The primary of the newest term.
  std::map<std::string, std::unique_ptr<Instance>> m_instances;
  std::vector<std::unique_ptr<Instance>> m_ended_instances;
  uint64_t m_incarnations = 0;
  uint64_t m_last_token = 0;
  std::string m_last_holder;
};

}  // namespace heatherwick

#endif  // TESTS_GATEWAY_LEADERSHIP_CLUSTER_H_
