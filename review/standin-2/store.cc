#include "store.h"

#include <algorithm>
#include <chrono>
#include <sstream>

#include "nlohmann/json.hpp"

namespace review {
namespace {

using nlohmann::json;

// 4 ms an answer, 8 ms a transaction.
constexpr int64_t kAnswerMs = 4;
constexpr int64_t kTransactionMs = 8;
constexpr size_t kMaxEntries = 100;
constexpr char kDigits[] =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string Encode(const std::string& text) {
  std::string out;
  size_t index = 0;
  for (; index + 2 < text.size(); index += 3) {
    const uint32_t bits = static_cast<uint8_t>(text[index]) << 16 |
                          static_cast<uint8_t>(text[index + 1]) << 8 |
                          static_cast<uint8_t>(text[index + 2]);
    for (const int shift : {18, 12, 6, 0}) {
      out += kDigits[bits >> shift & 63];
    }
  }
  if (index < text.size()) {
    const bool two = index + 1 < text.size();
    const uint32_t bits =
        static_cast<uint8_t>(text[index]) << 16 |
        (two ? static_cast<uint8_t>(text[index + 1]) << 8 : 0);
    out += kDigits[bits >> 18 & 63];
    out += kDigits[bits >> 12 & 63];
    out += two ? kDigits[bits >> 6 & 63] : '=';
    out += '=';
  }
  return out;
}

std::string Decode(const std::string& text) {
  std::string out;
  uint32_t bits = 0;
  int count = 0;
  for (const char digit : text) {
    const char* const found = std::find(kDigits, kDigits + 64, digit);
    if (digit == '=' || found == kDigits + 64) {
      break;
    }
    bits = bits << 6 | static_cast<uint32_t>(found - kDigits);
    count += 6;
    if (count >= 8) {
      count -= 8;
      out += static_cast<char>(bits >> count & 255);
    }
  }
  return out;
}

std::string Parameter(const std::string& target, const std::string& name) {
  for (const char mark : {'?', '&'}) {
    const size_t begin = target.find(mark + name + "=");
    if (begin != std::string::npos) {
      const size_t from = begin + name.size() + 2;
      return target.substr(from, target.find('&', from) - from);
    }
  }
  return "";
}

uint64_t Number(const std::string& text) {
  return text.empty() ? 0 : std::stoull(text);
}

}  // namespace

Store::Store() : m_listener(&Store::Serve, this) {}

void Store::Put(const std::string& table,
                const std::string& key,
                const std::string& value) {
  std::lock_guard lock(m_mutex);
  m_tables[table][key] = {value, ++m_version, false};
  m_changed.notify_all();
}

void Store::Drop(const std::string& table, const std::string& key) {
  std::lock_guard lock(m_mutex);
  Row& row = m_tables[table][key];
  if (row.version > 0 && !row.deleted) {
    row = {"", ++m_version, true};
    m_changed.notify_all();
  }
}

void Store::Serve(void* self, Socket* socket) {
  Store* const store = static_cast<Store*>(self);
  while (const auto request = socket->ReadLine()) {
    std::istringstream words(*request);
    std::string method;
    std::string target;
    words >> method >> target;
    std::map<std::string, std::string> headers;
    std::optional<std::string> line;
    while ((line = socket->ReadLine()) && !line->empty()) {
      const size_t colon = line->find(':');
      std::string name = line->substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), ::tolower);
      const size_t value = line->find_first_not_of(' ', colon + 1);
      headers[name] = value == std::string::npos ? "" : line->substr(value);
    }
    const auto body = socket->ReadBytes(Number(headers["content-length"]));
    if (!line || !body) {
      return;
    }
    SleepMs(kAnswerMs);
    std::string answer;
    const int status = store->Handle(method, target, headers, *body, &answer);
    if (!socket->Send("HTTP/1.1 " + std::to_string(status) +
                      " -\r\nContent-Type: application/json\r\n"
                      "Content-Length: " +
                      std::to_string(answer.size()) + "\r\n\r\n" + answer)) {
      return;
    }
  }
}

std::string Store::Rows(const std::string& table, uint64_t after, bool feed) {
  std::vector<std::pair<std::string, Row>> rows;
  for (const auto& [key, row] : m_tables[table]) {
    if (row.version > after && (feed || !row.deleted)) {
      rows.emplace_back(key, row);
    }
  }
  if (feed) {
    std::sort(rows.begin(), rows.end(), [](const auto& one, const auto& other) {
      return one.second.version < other.second.version;
    });
  }
  json list = json::array();
  for (const auto& [key, row] : rows) {
    json item = {
        {"table", table}, {"part", ""}, {"key", key}, {"ver", row.version}};
    if (row.deleted) {
      item["deleted"] = true;
    } else {
      item["value"] = Encode(row.value);
    }
    list.push_back(item);
  }
  return json{{"rows", list},
              {"hasMore", false},
              {"ver", m_version},
              {"nowMs", NowMs()}}
      .dump();
}

int Store::Handle(const std::string& method,
                  const std::string& target,
                  const std::map<std::string, std::string>& headers,
                  const std::string& body,
                  std::string* answer) {
  const std::string table = Parameter(target, "table");
  if (target.rfind("/heatherwick/rows-get", 0) == 0) {
    std::lock_guard lock(m_mutex);
    *answer = Rows(table, 0, false);
    return 200;
  }
  if (target.rfind("/heatherwick/rows-feed", 0) == 0) {
    const uint64_t after = Number(Parameter(target, "after"));
    const auto wait =
        std::chrono::milliseconds(Number(Parameter(target, "waitMs")));
    std::unique_lock lock(m_mutex);
    m_changed.wait_for(lock, wait, [&]() {
      return std::any_of(
          m_tables[table].begin(), m_tables[table].end(),
          [after](const auto& row) { return row.second.version > after; });
    });
    *answer = Rows(table, after, true);
    return 200;
  }
  if (target == "/heatherwick/rows-tx" && method == "POST") {
    SleepMs(kTransactionMs);
    return HandleTransaction(body, answer);
  }
  if (target == "/promote" && method == "POST") {
    const json order = json::parse(body);
    const auto header = [&headers](const char* name) {
      const auto found = headers.find(name);
      return found == headers.end() ? "" : found->second;
    };
    *answer = "{}";
    return on_promote({order["service"], order["id"],
                       header("x-heatherwick-duty-holder"),
                       header("x-heatherwick-fencing-token")});
  }
  return 404;
}

int Store::HandleTransaction(const std::string& body, std::string* answer) {
  const json call = json::parse(body);
  std::lock_guard lock(m_mutex);
  size_t entries = 0;
  for (const char* list : {"expected", "setKeys", "deleteKeys"}) {
    entries += call.value(list, json::array()).size();
  }
  if (entries > kMaxEntries) {
    return 400;
  }
  for (const char* list : {"setKeys", "deleteKeys"}) {
    for (const json& row : call.value(list, json::array())) {
      if (row["table"] == "op" || row["table"] == "servers") {
        return 403;
      }
    }
  }
  bool met = true;
  json current = json::array();
  for (const json& row : call.value("expected", json::array())) {
    const Row& stored = m_tables[row["table"]][row["key"]];
    const uint64_t version = stored.deleted ? 0 : stored.version;
    met = met && version == row["ver"].get<uint64_t>();
    if (version > 0) {
      current.push_back({{"table", row["table"]},
                         {"part", ""},
                         {"key", row["key"]},
                         {"value", Encode(stored.value)},
                         {"ver", version}});
    }
  }
  if (!met) {
    *answer =
        json{{"rows", current}, {"ver", m_version}, {"nowMs", NowMs()}}.dump();
    return 412;
  }
  ++m_version;
  for (const json& row : call.value("setKeys", json::array())) {
    m_tables[row["table"]][row["key"]] = {
        Decode(row["value"].get<std::string>()), m_version, false};
  }
  for (const json& row : call.value("deleteKeys", json::array())) {
    Row& stored = m_tables[row["table"]][row["key"]];
    if (stored.version > 0) {
      stored = {"", m_version, true};
    }
  }
  m_changed.notify_all();
  *answer = json{{"ver", m_version}, {"nowMs", NowMs()}}.dump();
  return 200;
}

}  // namespace review
