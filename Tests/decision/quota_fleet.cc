// Delivers readings, calls and answers with random delays.

#include "Tests/decision/quota_fleet.h"

#include <algorithm>

#include "absl/strings/str_cat.h"

namespace heatherwick {
namespace {

// As long as an instance may use a view of the members.
constexpr absl::Duration kViewLifetime = absl::Seconds(2);
constexpr absl::Duration kCallTimeout = absl::Milliseconds(150);

}  // namespace

QuotaFleet::QuotaFleet(Options options)
    : m_options(options), m_random(m_options.seed) {
  std::vector<FleetMember> members;
  for (int i = 0; i < m_options.instances; ++i) {
    Node node;
    node.id = absl::StrCat("i", i);
    node.member = {node.id, absl::StrCat("z", i % m_options.data_centres), 10};
    members.push_back(node.member);
    m_nodes.push_back(std::move(node));
  }
  m_history.push_back(members);
  for (int i = 0; i < m_options.instances; ++i) {
    StartProcess(i);
  }
}

int QuotaFleet::IndexOf(const InstanceId& id) const {
  for (int i = 0; i < Instances(); ++i) {
    if (m_nodes[i].id == id) {
      return i;
    }
  }
  return 0;
}

absl::Duration QuotaFleet::RandomDelay() {
  return absl::Microseconds(300 + Below(Below(20) == 0 ? 60000 : 1500));
}

void QuotaFleet::StartProcess(int instance) {
  Node& node = m_nodes[instance];
  node.alive = true;
  node.frozen = false;
  node.held.clear();
  ++node.incarnation;
  node.read_version = 0;
  node.as_of = absl::InfinitePast();
  node.coordinator = std::make_unique<QuotaCoordinator>(
      node.id, m_options.lease, m_options.tolerance);
  node.coordinator->OnQuotas({{kQuotaWorkspace, m_options.quota}});
  node.requester =
      std::make_unique<QuotaRequester>(node.id, node.member.data_centre);
  ReadMembers(instance, node.incarnation);
}

void QuotaFleet::Restart(int instance) {
  if (!m_nodes[instance].alive) {
    StartProcess(instance);
  }
}

void QuotaFleet::RemoveMember(int instance) {
  std::vector<FleetMember> members = m_history.back();
  std::erase_if(members, [this, instance](const FleetMember& member) {
    return member.id == m_nodes[instance].id;
  });
  m_history.push_back(std::move(members));
}

void QuotaFleet::AddMember(int instance) {
  std::vector<FleetMember> members = m_history.back();
  const bool present = std::any_of(members.begin(), members.end(),
                                   [this, instance](const auto& member) {
                                     return member.id == m_nodes[instance].id;
                                   });
  if (!present) {
    members.push_back(m_nodes[instance].member);
    m_history.push_back(std::move(members));
  }
}

void QuotaFleet::SetFrozen(int instance, bool frozen) {
  Node& node = m_nodes[instance];
  node.frozen = frozen;
  if (!frozen) {
    for (auto& task : std::exchange(node.held, {})) {
      RunAt(instance, absl::ZeroDuration(), std::move(task));
    }
  }
}

void QuotaFleet::RunAt(int instance,
                       absl::Duration delay,
                       std::function<void()> task) {
  m_loop.Add(delay, [this, instance, task = std::move(task),
                     incarnation = m_nodes[instance].incarnation]() mutable {
    Node& node = m_nodes[instance];
    if (!node.alive || node.incarnation != incarnation) {
      return;
    }
    if (node.frozen) {
      node.held.push_back(std::move(task));
      return;
    }
    task();
  });
}

void QuotaFleet::ReadMembers(int instance, uint64_t incarnation) {
  Node& node = m_nodes[instance];
  if (node.incarnation != incarnation) {
    return;
  }
  if (!node.cut_from_store) {
    // The answer may take long, in which the list changes.
    RunAt(instance, RandomDelay(),
          [this, instance, as_of = m_loop.Now(), version = m_history.size()]() {
            Node& reader = m_nodes[instance];
            reader.as_of = std::max(reader.as_of, as_of);
            if (version <= reader.read_version) {
              return;
            }
            const std::vector<FleetMember>& members = m_history[version - 1];
            const bool present = std::any_of(members.begin(), members.end(),
                                             [&reader](const auto& member) {
                                               return member.id == reader.id;
                                             });
            reader.coordinator->OnMembers(
                members, reader.read_version == 0 && present, m_loop.Now());
            reader.requester->OnMembers(members);
            reader.read_version = version;
          });
  }
  RunAt(
      instance, absl::Milliseconds(100 + Below(900)),
      [this, instance, incarnation]() { ReadMembers(instance, incarnation); });
}

void QuotaFleet::Arrive(int instance) {
  Node& node = m_nodes[instance];
  if (!node.alive || node.frozen) {
    return;
  }
  QuotaActions actions;
  node.requester->Admit(kQuotaWorkspace, m_next_ticket++, 0, m_loop.Now(),
                        &actions);
  Carry(instance, actions);
}

void QuotaFleet::Carry(int instance, const QuotaActions& actions) {
  m_admitted.insert(m_admitted.end(), actions.admitted.size(), m_loop.Now());
  m_refused += actions.refused.size();
  for (const QuotaActions::Call& call : actions.calls) {
    Call(instance, call);
  }
  if (actions.wake_at != absl::InfiniteFuture()) {
    RunAt(instance, actions.wake_at - m_loop.Now(), [this, instance]() {
      QuotaActions due;
      m_nodes[instance].requester->OnTime(m_loop.Now(), &due);
      Carry(instance, due);
    });
  }
}

void QuotaFleet::Call(int instance, const QuotaActions::Call& call) {
  const int other = IndexOf(call.coordinator);
  auto answered = std::make_shared<bool>(false);
  const auto finish = [this, instance, query = call.query,
                       answered](const std::optional<QuotaResponse>& response) {
    if (std::exchange(*answered, true)) {
      return;
    }
    QuotaActions actions;
    m_nodes[instance].requester->OnAnswer(query, response, m_loop.Now(),
                                          &actions);
    Carry(instance, actions);
  };
  RunAt(instance, kCallTimeout, [finish]() { finish(std::nullopt); });
  const auto cut = [this, instance, other]() {
    return instance != other &&
           (m_nodes[instance].cut_from_peers || m_nodes[other].cut_from_peers);
  };
  const absl::Duration there =
      instance == other ? absl::ZeroDuration() : RandomDelay();
  const absl::Duration back =
      instance == other ? absl::ZeroDuration() : RandomDelay();
  if (cut() || !m_nodes[other].alive) {
    return;
  }
  RunAt(other, there,
        [this, instance, other, back, cut, finish, query = call.query]() {
          Node& node = m_nodes[other];
          const bool lease_valid = m_loop.Now() < node.as_of + kViewLifetime;
          const QuotaResponse response =
              node.coordinator->OnQuery(query, lease_valid, m_loop.Now());
          if (!cut()) {
            RunAt(instance, back, [finish, response]() { finish(response); });
          }
        });
}

double QuotaFleet::WorstExcess() const {
  const QuotaTolerance& tolerance = m_options.tolerance;
  const double bound =
      (m_options.quota.rate_per_s * absl::ToDoubleSeconds(tolerance.window) +
       m_options.quota.burst) *
          (1 + tolerance.overshoot) +
      tolerance.slack;
  size_t most = 0;
  size_t first = 0;
  for (size_t last = 0; last < m_admitted.size(); ++last) {
    while (m_admitted[last] - m_admitted[first] > tolerance.window) {
      ++first;
    }
    most = std::max(most, last - first + 1);
  }
  return static_cast<double>(most) - bound;
}

}  // namespace heatherwick
