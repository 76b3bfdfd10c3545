#include "platform.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <fstream>
#include <set>
#include <utility>

#include "nlohmann/json.hpp"

namespace review {
namespace {

using nlohmann::json;

constexpr double kReadMs = 4;
constexpr double kTransactionMs = 8;

std::mutex* ProcessesMutex() {
  static auto* const mutex = new std::mutex();
  return mutex;
}

std::set<pid_t>* Processes() {
  static auto* const processes = new std::set<pid_t>();
  return processes;
}

std::string Base64(const std::string& bytes) {
  static const char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (size_t at = 0; at < bytes.size(); at += 3) {
    uint32_t group = 0;
    const size_t size = std::min<size_t>(3, bytes.size() - at);
    for (size_t index = 0; index < 3; ++index) {
      group =
          group << 8 |
          (index < size ? static_cast<unsigned char>(bytes[at + index]) : 0);
    }
    for (size_t index = 0; index < 4; ++index) {
      text += index <= size ? kDigits[group >> (18 - 6 * index) & 63] : '=';
    }
  }
  return text;
}

std::string Parameter(const std::string& target, const std::string& name) {
  for (size_t at = target.find('?'); at != std::string::npos;
       at = target.find('&', at + 1)) {
    if (target.compare(at + 1, name.size() + 1, name + "=") == 0) {
      const size_t begin = at + name.size() + 2;
      return target.substr(begin, target.find('&', begin) - begin);
    }
  }
  return "";
}

uint64_t Number(const std::string& text) {
  return strtoull(text.c_str(), nullptr, 10);
}

struct HttpRequest {
  std::string target;
  std::string body;
  std::map<std::string, std::string> headers;  // Names in lower case.
};

bool ReadRequest(Socket* socket, HttpRequest* request) {
  std::string line;
  if (!socket->ReadLine(&line)) {
    return false;
  }
  const std::vector<std::string> words = Words(line);
  if (words.size() < 2) {
    return false;
  }
  *request = {words[1], "", {}};
  while (socket->ReadLine(&line) && !line.empty()) {
    const size_t colon = line.find(": ");
    std::string name = line.substr(0, colon);
    for (char& letter : name) {
      letter = static_cast<char>(tolower(letter));
    }
    request->headers[name] =
        colon == std::string::npos ? "" : line.substr(colon + 2);
  }
  return socket->ReadBytes(Number(request->headers["content-length"]),
                           &request->body);
}

bool SendResponse(const Socket& socket, int status, const std::string& body) {
  return socket.Send(
      "HTTP/1.1 " + std::to_string(status) +
      " X\r\nContent-Type: application/json\r\nContent-Length: " +
      std::to_string(body.size()) + "\r\n\r\n" + body);
}

}  // namespace

Store::Store()
    : m_listener(std::make_unique<Listener>(
          [this](Socket socket) { Serve(std::move(socket)); })) {}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_tables[table][key] = {Base64(value), ++m_version, false};
  m_changed.notify_all();
}

void Store::Drop(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> lock(m_mutex);
  m_tables[table][key] = {"", ++m_version, true};
  m_changed.notify_all();
}

void Store::Serve(Socket socket) {
  HttpRequest request;
  while (ReadRequest(&socket, &request)) {
    std::string answer;
    const int status = Handle(request.target, request.body, &answer);
    if (!SendResponse(socket, status, answer)) {
      return;
    }
  }
}

std::string Store::Rows(const std::string& table,
                        uint64_t after,
                        bool deleted) {
  json rows = json::array();
  for (const auto& [key, row] : m_tables[table]) {
    if (row.version <= after || (row.deleted && !deleted)) {
      continue;
    }
    json item = {{"table", table},
                 {"part", ""},
                 {"key", key},
                 {"value", row.value},
                 {"ver", row.version}};
    if (row.deleted) {
      item["deleted"] = true;
    }
    rows.push_back(std::move(item));
  }
  return json{{"rows", rows},
              {"hasMore", false},
              {"ver", m_version},
              {"nowMs", static_cast<int64_t>(NowMs())}}
      .dump();
}

bool Store::Changed(const std::string& table, uint64_t after) {
  for (const auto& [key, row] : m_tables[table]) {
    if (row.version > after) {
      return true;
    }
  }
  return false;
}

int Store::Handle(const std::string& target,
                  const std::string& body,
                  std::string* answer) {
  const std::string table = Parameter(target, "table");
  if (target.find("/heatherwick/rows-tx") == 0) {
    SleepMs(kTransactionMs);
    return Commit(body, answer);
  }
  if (target.find("/heatherwick/rows-feed") == 0) {
    const uint64_t after = Number(Parameter(target, "after"));
    std::unique_lock<std::mutex> lock(m_mutex);
    m_changed.wait_for(
        lock, std::chrono::milliseconds(Number(Parameter(target, "waitMs"))),
        [&]() { return Changed(table, after); });
    *answer = Rows(table, after, true);
    return 200;
  }
  if (target.find("/heatherwick/rows-get") == 0) {
    SleepMs(kReadMs);
    const std::lock_guard<std::mutex> lock(m_mutex);
    *answer = Rows(table, 0, false);
    return 200;
  }
  return 404;
}

int Store::Commit(const std::string& body, std::string* answer) {
  const json transaction = json::parse(body);
  const std::lock_guard<std::mutex> lock(m_mutex);
  for (const json& row : transaction["expected"]) {
    const Row& current = m_tables[row["table"]][row["key"]];
    if ((current.deleted ? 0 : current.version) != row["ver"].get<uint64_t>()) {
      *answer = json{{"rows", json::array()}}.dump();
      return 412;
    }
  }
  ++m_version;
  for (const json& row : transaction["setKeys"]) {
    m_tables[row["table"]][row["key"]] = {row["value"], m_version, false};
  }
  for (const json& row : transaction["deleteKeys"]) {
    m_tables[row["table"]][row["key"]] = {"", m_version, true};
  }
  m_changed.notify_all();
  *answer =
      json{{"ver", m_version}, {"nowMs", static_cast<int64_t>(NowMs())}}.dump();
  return 200;
}

PromotionService::PromotionService(Promote promote)
    : m_promote(std::move(promote)),
      m_listener(std::make_unique<Listener>(
          [this](Socket socket) { Serve(std::move(socket)); })) {}

void PromotionService::Serve(Socket socket) {
  HttpRequest request;
  while (ReadRequest(&socket, &request)) {
    const json order = json::parse(request.body);
    const int status =
        m_promote(order["service"], order["id"],
                  request.headers["x-heatherwick-duty-holder"],
                  Number(request.headers["x-heatherwick-fencing-token"]));
    if (!SendResponse(socket, status, "{}")) {
      return;
    }
  }
}

Machine::Machine(const std::string& name,
                 const std::string& zone,
                 const std::string& store,
                 const std::string& promotions,
                 const std::string& folder)
    : m_name(name),
      m_file(folder + "/" + name + ".conf"),
      m_port(FreePorts(18)) {
  const std::string ip = "127.0.0.1";
  std::ofstream file(m_file);
  file << "nodeName=" << name << "\nrole=gateway\nmachineClass=front\n"
       << "serves=front\nip=" << ip << "\nzone=" << zone
       << "\nregion=ro-central\nlistenAddrs.front=" << ip << ":" << m_port
       << "\nlistenAddrs.ready=" << ip << ":" << m_port + 1
       << "\ninternalPortRange=" << m_port + 2 << "," << m_port + 17
       << "\nseeds=\nbootstrap=true\ninTolerance=false\n"
       << "limits.cpuShare=0.25\nlimits.cores=1\nlimits.memoryMb=260\n"
       << "limits.maxFds=4300\nlimits.linkMbps=1000.0\nlimits.diskMb=0\n"
       << "discovery=platform\nentry=vip\nheartbeatIntervalMs=1200\n"
       << "contracts=base,drain,config,cost,recover,sql,platform\n"
       << "bounds.seedLagS=3\nbounds.reuseAfterS=2\n"
       << "bounds.stabilityWindowMs=4000\nbounds.ackTimeoutMs=5000\n"
       << "bounds.catchUpS=4\nbounds.drainMs=7000\nbounds.graceS=6\n"
       << "bounds.lossSlackMs=200\nbounds.configApplyMs=3000\n"
       << "bounds.rollbackSlackMs=250\nbounds.maxStretchMs=12000\n"
       << "bounds.recoveryS=12\nbounds.fencingEnforced=false\n"
       << "bounds.thawSlackMs=300\nplatform.address=" << store
       << "\nplatform.form=table\nplatform.writesPerS=400\n"
       << "platform.readsPerS=2000\nplatform.txMs=8.0\n"
       << "platform.partitionWritesS=150\nplatform.rowBytes=65536\n"
       << "platform.across=false\nplatform.historyS=20\ncloudApi.address="
       << promotions << "\ncloudApi.ratePerS=50.0\ncloudApi.duties=failover\n"
       << "cloudApi.dutyPerS=50.0\n";
}

Machine::~Machine() {
  Kill();
}

void Machine::Start() {
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  const std::string log = m_file + ".log";
  posix_spawn_file_actions_addopen(&actions, 1, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, 1, 2);
  // The command of deploy/system.toml.
  std::string program = "target/platform/heatherwick-platform";
  std::string variable = "HEATHERWICK_NODE_FILE=" + m_file;
  char* arguments[] = {program.data(), nullptr};
  char* environment[] = {variable.data(), nullptr};
  if (posix_spawn(&m_process, program.c_str(), &actions, nullptr, arguments,
                  environment) != 0) {
    m_process = 0;
  }
  posix_spawn_file_actions_destroy(&actions);
  {
    const std::lock_guard<std::mutex> lock(*ProcessesMutex());
    Processes()->insert(m_process);
  }
  Write("machine " + m_name + " starts its process");
}

void Machine::Signal(int number) {
  if (m_process > 0) {
    kill(m_process, number);
  }
}

void Machine::Kill() {
  if (m_process > 0) {
    kill(m_process, SIGKILL);
    waitpid(m_process, nullptr, 0);
    Forget();
  }
}

void Machine::Forget() {
  const std::lock_guard<std::mutex> lock(*ProcessesMutex());
  Processes()->erase(m_process);
  m_process = 0;
}

void Machine::KillAll() {
  const std::lock_guard<std::mutex> lock(*ProcessesMutex());
  for (const pid_t process : *Processes()) {
    if (process > 0) {
      kill(process, SIGKILL);
    }
  }
}

bool Machine::Ended() {
  if (m_process > 0 && waitpid(m_process, nullptr, WNOHANG) == m_process) {
    Forget();
  }
  return m_process == 0;
}

bool Machine::Ready() const {
  Socket socket = Socket::Connect(static_cast<uint16_t>(m_port + 1));
  std::string line;
  return socket.Valid() &&
         socket.Send("GET /heatherwick/ready HTTP/1.1\r\nHost: x\r\n\r\n") &&
         socket.ReadLine(&line) && line.find(" 200") != std::string::npos;
}

double Machine::MemoryMb() const {
  std::ifstream status("/proc/" + std::to_string(m_process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.find("VmRSS:") == 0) {
      return static_cast<double>(Number(Words(line)[1])) / 1024;
    }
  }
  return 0;
}

}  // namespace review
