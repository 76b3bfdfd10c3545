// A stand-in of the platform's store and of POST /promote, after PROTOCOL.md.

#ifndef REVIEW_STANDIN_2_STORE_H_
#define REVIEW_STANDIN_2_STORE_H_

#include <condition_variable>
#include <functional>
#include <map>
#include <mutex>
#include <string>

#include "support.h"

namespace review {

struct Order {
  std::string service;
  std::string id;
  std::string holder;
  std::string token;
};

class Store {
 public:
  Store();
  uint16_t Port() const { return m_listener.Port(); }
  // As the operator or a database.
  void Put(const std::string& table,
           const std::string& key,
           const std::string& value);
  void Drop(const std::string& table, const std::string& key);
  // Returns the status of the answer.
  std::function<int(const Order&)> on_promote;

 private:
  struct Row {
    std::string value;
    uint64_t version = 0;
    bool deleted = false;
  };
  static void Serve(void* self, Socket* socket);
  int Handle(const std::string& method,
             const std::string& target,
             const std::map<std::string, std::string>& headers,
             const std::string& body,
             std::string* answer);
  int HandleTransaction(const std::string& body, std::string* answer);
  std::string Rows(const std::string& table, uint64_t after, bool feed);

  std::mutex m_mutex;
  std::condition_variable m_changed;
  uint64_t m_version = 1;
  std::map<std::string, std::map<std::string, Row>> m_tables;
  Listener m_listener;
};

}  // namespace review

#endif  // REVIEW_STANDIN_2_STORE_H_
