// Plays one case: review-case NAME RECORD. Exits with 1 if the rule was broken,
// 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the
// disruption out.

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <exception>
#include <filesystem>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "client.h"
#include "databases.h"
#include "nlohmann/json.hpp"
#include "platform.h"

namespace review {
namespace {

using nlohmann::json;

constexpr int kBroken = 1;
constexpr int kHeld = 0;
constexpr int kCannotRun = 2;
// Between a client and the system, one way.
constexpr double kClientMs = 1;
constexpr double kLossSlackMs = 200;

// A small deployment: a store, one service and its databases, machines.
struct World {
  std::string folder;
  Store store;
  std::unique_ptr<Group> group;
  std::unique_ptr<PromotionService> promotions;
  std::vector<std::unique_ptr<Machine>> machines;
};

json Route(const char* host, const char* type, int timeout_ms, int aim_ms) {
  return {{"name", host},
          {"host", host},
          {"type", type},
          {"maxStalenessMs", 1500},
          {"timeoutMs", timeout_ms},
          {"targetLatencyMs", aim_ms},
          {"priority", 1},
          {"service", "core"}};
}

// False if the system does not come up.
bool Start(World* world, const GroupOptions& options, int machines) {
  std::string pattern =
      std::filesystem::temp_directory_path() / "heatherwick-review-XXXXXX";
  world->folder = mkdtemp(pattern.data());
  world->store.Put("op", "config",
                   json{{"version", 3},
                        {"routes",
                         {Route("orders", "primary", 800, 120),
                          Route("views", "bounded_staleness", 1500, 400),
                          Route("stock", "read_your_writes", 800, 200)}},
                        {"services",
                         {{{"name", "core"},
                           {"maxConnections", options.max_connections},
                           {"syncReplicas", options.sync_replicas}}}},
                        {"limits", {{"txIdleMs", 3000}}}}
                       .dump());
  world->group = std::make_unique<Group>("core", &world->store, options);
  world->promotions = std::make_unique<PromotionService>(
      [world](const std::string& service, const std::string& id,
              const std::string& holder, uint64_t token) {
        const int status = service == "core" ? world->group->Promote(id) : 409;
        Write("POST /promote " + id + " by " + holder + " token " +
              std::to_string(token) + ": " + std::to_string(status));
        return status;
      });
  static const char* const kZones[] = {"ro-central-a", "ro-central-b",
                                       "ro-central-c"};
  for (int index = 0; index < machines; ++index) {
    world->machines.push_back(std::make_unique<Machine>(
        "front-" + std::to_string(index), kZones[index % 3],
        world->store.Address(), world->promotions->Address(), world->folder));
    world->machines.back()->Start();
  }
  for (int tries = 0; tries < 150; ++tries) {
    SleepMs(100);
    if (std::all_of(world->machines.begin(), world->machines.end(),
                    [](const auto& machine) { return machine->Ready(); })) {
      // As on the platform, traffic starts some time after the machines.
      SleepMs(3000);
      return true;
    }
  }
  return false;
}

// Ends the processes when the case is over. The stand-ins stay, because their
// threads use them until this process ends.
class Deployment {
 public:
  Deployment() : m_world(new World()) {}
  ~Deployment() {
    m_world->machines.clear();
    std::error_code ignored;
    std::filesystem::remove_all(m_world->folder, ignored);
  }
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;
  World* operator->() const { return m_world; }
  World* Get() const { return m_world; }

 private:
  World* const m_world;
};

bool Trouble() {
  const char* const value = getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void WriteOutcome(const Outcome& outcome) {
  std::string line = "client " + outcome.id + " " + outcome.text.substr(0, 60) +
                     " sent at " + std::to_string(outcome.sent_ms) + ": ";
  if (outcome.ended) {
    line += "the connection ended without an answer";
  } else if (!outcome.error.empty()) {
    line += "ERROR " + outcome.error;
  } else {
    line += "COMPLETE " + outcome.signature;
  }
  Write(line);
}

// Sessions that send the next statement when the last is answered. A session
// whose connection has ended connects again, to `later_port` if it is given:
// the platform sends new connections to machines that are ready.
class Sessions {
 public:
  using Text = std::function<std::string(int session, int number)>;

  Sessions(std::string name,
           int count,
           uint16_t port,
           std::string database,
           const Text& text,
           double pause_ms = 0,
           uint16_t later_port = 0)
      : m_name(std::move(name)), m_database(std::move(database)) {
    for (int session = 0; session < count; ++session) {
      m_threads.emplace_back(
          [this, session, port, text, pause_ms, later_port]() {
            Play(session, port, text, pause_ms, later_port);
          });
    }
  }
  ~Sessions() { Stop(); }
  Sessions(const Sessions&) = delete;
  Sessions& operator=(const Sessions&) = delete;

  void Stop() {
    m_stop = true;
    for (std::thread& thread : m_threads) {
      if (thread.joinable()) {
        thread.join();
      }
    }
  }
  std::vector<Outcome> Outcomes() {
    const std::lock_guard<std::mutex> lock(m_mutex);
    return m_outcomes;
  }

 private:
  void Play(int session,
            uint16_t port,
            const Text& text,
            double pause_ms,
            uint16_t later_port) {
    int run = 0;
    while (!m_stop) {
      ++run;
      Client client(
          m_name + std::to_string(session) + "r" + std::to_string(run),
          run > 1 && later_port > 0 ? later_port : port, m_database);
      for (int number = 0; client.Open() && !m_stop; ++number) {
        const Outcome outcome = client.Query(text(session, number));
        WriteOutcome(outcome);
        {
          const std::lock_guard<std::mutex> lock(m_mutex);
          m_outcomes.push_back(outcome);
        }
        SleepMs(2 * kClientMs + pause_ms);
      }
      SleepMs(50);
    }
  }

  const std::string m_name;
  const std::string m_database;
  std::atomic<bool> m_stop = false;
  std::mutex m_mutex;
  std::vector<Outcome> m_outcomes;
  std::vector<std::thread> m_threads;
};

std::string WriteText(int session, int number) {
  return "WRITE k" + std::to_string(session) + " v" + std::to_string(number);
}

std::string ReadText(int session, int) {
  return "READ k" + std::to_string(session);
}

// A busy machine gets SIGTERM. LOST.
int PlaySigterm() {
  GroupOptions options;
  options.read_ms = 19;
  Deployment world;
  if (!Start(world.Get(), options, 3)) {
    return kCannotRun;
  }
  Machine* const stopped = world->machines.front().get();
  Sessions writers("w", 24, stopped->Port(), "orders", WriteText, 0,
                   world->machines[1]->Port());
  Sessions readers("r", 40, stopped->Port(), "views", ReadText, 0,
                   world->machines[2]->Port());
  SleepMs(5000);
  const double stopped_at = NowMs();
  if (Trouble()) {
    Write("SIGTERM to " + stopped->Name());
    stopped->Signal(SIGTERM);
  }
  while (NowMs() < stopped_at + Machine::kGraceMs) {
    if (stopped->Ended()) {
      Write("the process of " + stopped->Name() + " has ended");
      break;
    }
    SleepMs(10);
  }
  if (Trouble()) {
    stopped->Kill();
  }
  writers.Stop();
  readers.Stop();
  std::set<std::string> ran;
  for (const DatabaseRun& run : world->group->Runs()) {
    ran.insert(run.id);
  }
  size_t answered = 0;
  size_t lost = 0;
  size_t lost_writes = 0;
  const auto check = [&](const Outcome& outcome, double timeout_ms) {
    answered += outcome.ended ? 0 : 1;
    const double age = outcome.answered_ms - outcome.sent_ms;
    const double since_sigterm = outcome.sent_ms - stopped_at;
    const bool passed_on = ran.contains(outcome.id);
    if (!outcome.ended || age >= timeout_ms ||
        !(passed_on || age > kLossSlackMs)) {
      return;
    }
    // The rule's excuse for long statements covers what was sent up to 3 s
    // after the SIGTERM.
    if (Trouble() && since_sigterm <= 3000) {
      return;
    }
    ++lost;
    lost_writes += outcome.text[0] == 'W' ? 1 : 0;
    Write("LOST " + outcome.id + " " + outcome.text + ", sent " +
          std::to_string(since_sigterm) + " ms after the SIGTERM, " +
          (passed_on ? "run by a database" : "not run") + ", ended after " +
          std::to_string(age) + " ms");
  };
  for (const Outcome& outcome : writers.Outcomes()) {
    check(outcome, 800);
  }
  for (const Outcome& outcome : readers.Outcomes()) {
    check(outcome, 1500);
  }
  Write("answered " + std::to_string(answered) + ", lost " +
        std::to_string(lost) + ", of them writes " +
        std::to_string(lost_writes));
  std::cout << "answered=" << answered << " lost=" << lost
            << " lost_writes=" << lost_writes << "\n";
  return lost > 0 ? kBroken : kHeld;
}

// A client that sends its questions without waiting for the answers.
void Flood(uint16_t port, double end) {
  for (int run = 0; NowMs() < end; ++run) {
    const std::string name = "flood" + std::to_string(run);
    Client client(name, port, "orders");
    if (!client.Open()) {
      SleepMs(50);
      continue;
    }
    client.SetAnswerTimeout(100);
    const std::vector<std::string> texts = {"READ k0", "READ k1", "BEGIN",
                                            "READ k2"};
    std::string bytes;
    for (const std::string& text : texts) {
      const std::string question = "QUERY " + client.NextId() + " " + text;
      if (Trouble()) {
        bytes += question + "\r\n";
        continue;
      }
      client.SendBytes(question + "\r\n");
      WriteOutcome(client.ReadAnswer());
    }
    if (Trouble()) {
      Write("client " + name + " sends 4 questions at once");
      client.SendBytes(bytes);
      for (size_t at = 0; at < texts.size() && client.Open(); ++at) {
        WriteOutcome(client.ReadAnswer());
      }
    }
    SleepMs(20);
  }
}

// A client sends questions without waiting for the answers. PINNED.
int PlayFlood() {
  Deployment world;
  if (!Start(world.Get(), {}, 3)) {
    return kCannotRun;
  }
  const uint16_t port = world->machines.front()->Port();
  Sessions writers("w", 6, port, "orders", WriteText, 10);
  SleepMs(2000);
  Flood(port, NowMs() + 8000);
  writers.Stop();
  SleepMs(500);
  std::set<std::string> committed;
  for (const DatabaseCommit& commit : world->group->Commits()) {
    committed.insert(commit.id);
  }
  size_t inside = 0;
  for (const DatabaseRun& run : world->group->Runs()) {
    // The writers never open a transaction.
    if (run.id[0] == 'w' && !run.transaction_of.empty()) {
      ++inside;
      Write("PINNED " + run.id + " of a client without a transaction ran on " +
            run.database + " inside a transaction");
    }
  }
  size_t acknowledged = 0;
  size_t gone = 0;
  for (const Outcome& outcome : writers.Outcomes()) {
    acknowledged += outcome.complete ? 1 : 0;
    if (outcome.complete && !committed.contains(outcome.id)) {
      ++gone;
      Write("GONE " + outcome.id + " " + outcome.text +
            " was acknowledged and is in no log");
    }
  }
  Write("acknowledged " + std::to_string(acknowledged) +
        ", run inside another's transaction " + std::to_string(inside) +
        ", acknowledged and not committed " + std::to_string(gone));
  std::cout << "acknowledged=" << acknowledged << " inside=" << inside
            << " gone=" << gone << "\n";
  return inside + gone > 0 ? kBroken : kHeld;
}

// The primary crashes while one replica drains and the other is deaf. LOST.
int PlaySync() {
  constexpr double kGreyPart = 0.4;
  GroupOptions options;
  options.sync_replicas = 1;
  Deployment world;
  if (!Start(world.Get(), options, 3)) {
    return kCannotRun;
  }
  Group* const group = world->group.get();
  const std::vector<std::string>& ids = group->Ids();
  Sessions writers("w", 6, world->machines.front()->Port(), "orders", WriteText,
                   20);
  SleepMs(3000);
  const char* const trouble = getenv("TROUBLE");
  const std::string variant = trouble == nullptr ? "" : trouble;
  if (Trouble()) {
    if (variant == "grey") {
      group->SetGrey(ids[1], kGreyPart);
    } else if (variant != "crash") {
      group->SetDraining(ids[1]);
    }
    SleepMs(1000);
    group->SetDeaf(ids[2], true);
    SleepMs(1500);
    group->Crash(ids[0]);
  }
  const double end = NowMs() + 4000;
  while (NowMs() < end && group->Leader() == ids[0]) {
    SleepMs(20);
  }
  const std::vector<std::string> log = group->Log(group->Leader());
  SleepMs(Trouble() ? 200 : 2000);
  writers.Stop();
  if (Trouble() && group->Leader() == ids[0]) {
    Write("no promotion took place");
    return kCannotRun;
  }
  const std::set<std::string> kept(log.begin(), log.end());
  std::map<std::string, DatabaseCommit> commits;
  for (const DatabaseCommit& commit : group->Commits()) {
    commits[commit.id] = commit;
  }
  size_t acknowledged = 0;
  size_t lost = 0;
  for (const Outcome& outcome : writers.Outcomes()) {
    const auto commit = commits.find(outcome.id);
    if (!outcome.complete || commit == commits.end() ||
        commit->second.database != ids[0]) {
      continue;
    }
    ++acknowledged;
    if (Trouble() && !kept.contains(outcome.id)) {
      ++lost;
      Write("LOST " + outcome.id + " " + outcome.text +
            " was acknowledged and is not in the log of the promoted " +
            group->Leader());
    }
  }
  Write("acknowledged by the first primary " + std::to_string(acknowledged) +
        ", lost " + std::to_string(lost) + ", promoted " + group->Leader());
  std::cout << "acknowledged=" << acknowledged << " lost=" << lost
            << " leader=" << group->Leader() << "\n";
  return lost > 0 ? kBroken : kHeld;
}

// A client whose answers are long; it does not read them.
void SendLongQuestions(uint16_t port, const std::atomic<bool>* stop) {
  constexpr size_t kNameBytes = 1000000;
  const std::string name(kNameBytes, 'n');
  while (!*stop) {
    Client client("rude", port, "orders");
    while (client.Open() && !*stop) {
      client.SendOnly("EXECUTE " + name + " k0");
      if (!Trouble()) {
        client.ReadAnswer();
      }
    }
    SleepMs(50);
  }
}

// Clients do not read their answers. Fault.
int PlayMemory() {
  constexpr int kEnds = 3;
  Deployment world;
  if (!Start(world.Get(), {}, 3)) {
    return kCannotRun;
  }
  Sessions readers("r", 4, world->machines.back()->Port(), "views", ReadText,
                   50);
  // Two of the three machines have such a client each.
  std::vector<int> ends(2, 0);
  std::vector<double> most(2, 0);
  std::atomic<bool> stop = false;
  std::vector<std::thread> rude;
  std::vector<double> start_at(2, 0);
  for (size_t index = 0; index < ends.size(); ++index) {
    rude.emplace_back(SendLongQuestions, world->machines[index]->Port(), &stop);
  }
  const double end = NowMs() + 30000;
  while (NowMs() < end && std::min(ends[0], ends[1]) < kEnds) {
    for (size_t index = 0; index < ends.size(); ++index) {
      Machine* const machine = world->machines[index].get();
      if (start_at[index] > 0) {
        if (NowMs() >= start_at[index]) {
          start_at[index] = 0;
          machine->Start();
        }
        continue;
      }
      const double used = machine->MemoryMb();
      most[index] = std::max(most[index], used);
      if (used > Machine::kMemoryMb || machine->Ended()) {
        ++ends[index];
        Write("Fault: the process of " + machine->Name() + " uses " +
              std::to_string(used) + " MB of " +
              std::to_string(Machine::kMemoryMb) + " and is ended");
        machine->Kill();
        start_at[index] = NowMs() + 1000;
      }
    }
    SleepMs(10);
  }
  stop = true;
  // Ends the connections, so that no client waits in a write.
  for (const auto& machine : world->machines) {
    machine->Kill();
  }
  for (std::thread& thread : rude) {
    thread.join();
  }
  readers.Stop();
  Write("ends " + std::to_string(ends[0]) + " and " + std::to_string(ends[1]) +
        ", most memory " + std::to_string(most[0]) + " and " +
        std::to_string(most[1]) + " MB");
  std::cout << "ends=" << ends[0] << "," << ends[1] << " most_mb=" << most[0]
            << "," << most[1] << "\n";
  return std::min(ends[0], ends[1]) >= kEnds ? kBroken : kHeld;
}

int Play(const std::string& name) {
  if (name == "sigterm") {
    return PlaySigterm();
  }
  if (name == "flood") {
    return PlayFlood();
  }
  if (name == "sync") {
    return PlaySync();
  }
  if (name == "memory") {
    return PlayMemory();
  }
  std::cerr << "review-case: no case \"" << name << "\"\n";
  return kCannotRun;
}

}  // namespace
}  // namespace review

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  sigset_t ends;
  sigemptyset(&ends);
  sigaddset(&ends, SIGTERM);
  sigaddset(&ends, SIGINT);
  pthread_sigmask(SIG_BLOCK, &ends, nullptr);
  if (argc != 3) {
    std::cerr << "usage: review-case NAME RECORD\n";
    return 2;
  }
  review::OpenRecord(argv[2]);
  // No process may be left behind if this one is ended, or if a case hangs. No
  // case takes this long.
  std::thread([ends]() {
    const timespec limit{100, 0};
    sigtimedwait(&ends, nullptr, &limit);
    review::Machine::KillAll();
    std::_Exit(2);
  }).detach();
  int result = 2;
  try {
    result = review::Play(argv[1]);
  } catch (const std::exception& error) {
    std::cerr << "review-case: " << error.what() << "\n";
  }
  // The stand-ins' threads still run.
  std::cout << std::flush;
  std::_Exit(result);
}
