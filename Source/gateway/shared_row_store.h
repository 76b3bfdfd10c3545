// A row store in which one instance, the reader, polls each table for all other
// instances, so that the load on the store does not grow with their number.
//
// All instances rank the members for a table in the same way. The first in the
// ranking is the table's reader and polls the store; the others, its followers,
// query the reader. If the reader does not answer, a follower polls the store
// directly and avoids that reader for a while. If the reader answers that it
// cannot read the store, only the first few members in the ranking poll the
// store themselves.

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
  using Members = std::map<InstanceId, std::string>;  // Id and peer address.

  // `members` returns all instances, including this one once it has joined.
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

  // Answers a follower at the next read of the table, or immediately if newer
  // rows are cached.
  void OnFollow(const FollowQuery& query,
                std::function<void(Result<FollowResponse>)> answer);

 private:
  struct Follower {
    uint64_t after = 0;
    absl::Time arrived;
    std::function<void(Result<FollowResponse>)> answer;
  };
  struct Table {
    std::map<std::string, StoredRow> rows;  // Includes deleted rows.
    // All changes after this version are cached. Followers that know only an
    // older version get all rows.
    uint64_t complete_since = 0;
    uint64_t version = 0;
    absl::Time as_of = absl::InfinitePast();
    bool polling_store = false;  // This instance polls the store for the table.
    std::list<Follower> followers;
  };

  // Returns the address of the member that reads `table`, or an empty string if
  // this instance reads it.
  std::string ReaderOf(const std::string& table);
  // True if this instance is among the first kDirectReaders members in the
  // table's ranking.
  bool MayReadDirectly(const std::string& table) const;
  void PollDirectly(const std::string& table,
                    uint64_t version,
                    absl::Duration wait,
                    absl::Duration timeout,
                    std::function<void(Result<RowChanges>)> done);
  void UpdateCache(const std::string& table, const RowChanges& changes);
  void AnswerFollowers(Table* table);
  void FailFollowers(Table* table, const Error& error);

  const InstanceId m_self;
  EventLoop* const m_loop;
  RowStore* const m_direct;
  PeerTransport* const m_peers;
  const std::function<Members()> m_members;
  std::map<std::string, Table> m_tables;
  // Addresses of readers that are avoided, and until when.
  std::map<std::string, absl::Time> m_avoided;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_SHARED_ROW_STORE_H_
