// A store of which one instance reads each table for all others. The cost of
// following the store then does not grow with the number of instances.
//
// Every instance ranks the members for a table in the same way; the first one
// polls the store, the others ask it. When it does not answer, an instance
// polls the store directly and avoids that member for a while. When it answers
// that it cannot read the store, only the first few members try themselves.

#ifndef SOURCE_GATEWAY_SHARED_ROW_STORE_H_
#define SOURCE_GATEWAY_SHARED_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "Source/base/types.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/peer_transport.h"
#include "Source/gateway/row_store.h"

namespace heatherwick {

class SharedRowStore : public RowStore {
 public:
  using Members = std::map<InstanceId, std::string>;  // Id and address.

  // `members` lists the instances, with this one once it has joined.
  SharedRowStore(InstanceId self,
                 EventLoop* loop,
                 RowStore* direct,
                 PeerTransport* peers,
                 std::function<Members()> members);
  ~SharedRowStore() override;

  void ReadTable(const std::string& table,
                 absl::Duration timeout,
                 std::function<void(Result<RowChanges>)> done) override;
  void PollChanges(const std::string& table,
                   uint64_t version,
                   absl::Duration wait,
                   absl::Duration timeout,
                   std::function<void(Result<RowChanges>)> done) override;
  void Commit(const RowTransaction& transaction,
              absl::Duration timeout,
              std::function<void(Result<uint64_t>)> done) override;

  // Answers a peer at the next reading of the table.
  void OnFollow(const FollowQuestion& question,
                std::function<void(Result<FollowAnswer>)> answer);

 private:
  struct Follower {
    uint64_t after = 0;
    absl::Time arrived;
    std::function<void(Result<FollowAnswer>)> answer;
  };
  struct Table {
    std::map<std::string, StoredRow> rows;  // With deleted ones.
    // Changes after this version are known; older questions get all rows.
    uint64_t complete_since = 0;
    uint64_t version = 0;
    absl::Time as_of = absl::InfinitePast();
    bool reading = false;  // This instance polls the store for the table.
    std::list<Follower> followers;
  };

  // The member that reads `table`; empty for this instance.
  std::string ReaderOf(const std::string& table);
  // True for the first members in the table's ranking.
  bool MayReadDirectly(const std::string& table) const;
  void PollDirectly(const std::string& table,
                    uint64_t version,
                    absl::Duration wait,
                    absl::Duration timeout,
                    std::function<void(Result<RowChanges>)> done);
  void Keep(const std::string& table, const RowChanges& changes);
  void AnswerFollowers(Table* table);
  void FailFollowers(Table* table, const Error& error);

  const InstanceId m_self;
  EventLoop* const m_loop;
  RowStore* const m_direct;
  PeerTransport* const m_peers;
  const std::function<Members()> m_members;
  std::map<std::string, Table> m_tables;
  std::map<std::string, absl::Time> m_avoided;  // Address, and until when.
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_SHARED_ROW_STORE_H_
