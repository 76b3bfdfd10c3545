// A row store in which the instances pass the changes of each table on to each
// other, so that neither the store's load nor that of any instance grows with
// their number. See relay_plan.h for who follows whom.
//
// An instance polls its source, which is the store or another instance, and
// caches what it learns. Instances that follow this one are answered from the
// cache when a newer reading arrives. A reading keeps the time at which the
// store was read, however often it is passed on.

#ifndef SOURCE_GATEWAY_SHARED_ROW_STORE_H_
#define SOURCE_GATEWAY_SHARED_ROW_STORE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "Source/base/types.h"
#include "Source/decision/relay_choice.h"
#include "Source/gateway/event_loop.h"
#include "Source/gateway/peer_transport.h"
#include "Source/gateway/row_store.h"

namespace heatherwick {

class SharedRowStore : public RowStore {
 public:
  struct Member {
    std::string peer_address;
    DataCentreName data_centre;
    uint32_t capacity = 0;  // See relay_plan.h.
  };
  using Members = std::map<InstanceId, Member>;

  // `members` returns all instances, including this one once it has joined. It
  // returns the same object until the members change.
  SharedRowStore(InstanceId self,
                 EventLoop* loop,
                 RowStore* direct,
                 PeerTransport* peers,
                 std::function<std::shared_ptr<const Members>()> members);
  ~SharedRowStore() override;

  // Readings of `table` that are older than `max_age` are not accepted from
  // members. kDefaultMaxAge applies if this is not called.
  void SetMaxAge(const std::string& table, absl::Duration max_age) {
    m_tables[table].max_age = max_age;
  }

  // Only one call of ReadTable() or PollChanges() may run for a table at a
  // time.
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

  // Answers a follower when newer rows or a newer reading are cached, or when
  // its wait is over. Fails with kNotHome if the table has not been read.
  void OnFollow(const FollowQuery& query,
                std::function<void(Result<FollowResponse>)> answer);
  // Returns a part of a packed value, at most kFetchBytes.
  Result<std::string> OnFetch(const FetchQuery& query) const;

  // Small enough that the parts which several followers fetch at once delay the
  // statements on a slow link by a fraction of a second.
  static constexpr size_t kFetchBytes = 8 << 10;
  // A reader may need seconds to receive a large row over its link.
  static constexpr absl::Duration kDefaultMaxAge = absl::Seconds(3);

 private:
  struct Follower {
    FollowQuery query;
    absl::Time arrived;
    std::function<void(Result<FollowResponse>)> answer;
    std::unique_ptr<Timer> wait_timer;
  };
  struct Table {
    std::map<std::string, StoredRow> rows;  // Includes deleted rows.
    // The packed values of large rows, by key.
    std::map<std::string, std::string> packed;
    // All changes after this version are cached. Followers that know only an
    // older version get all rows.
    uint64_t complete_since = 0;
    uint64_t version = 0;
    absl::Time as_of = absl::InfinitePast();
    absl::Duration max_age = kDefaultMaxAge;
    InstanceId reader;     // The instance that made the newest reading.
    bool failing = false;  // The latest attempt to learn of changes failed.
    RelayChoice choice;
    std::shared_ptr<const Members> planned_for;
    // Polls of the store that may be made at once, and when this was computed.
    double poll_credit = 0;
    absl::Time poll_credit_at = absl::InfinitePast();
    std::unique_ptr<Timer> delay_timer;
    std::list<Follower> followers;
  };
  // A call that tries one source after another.
  struct Call {
    std::string table;
    bool whole_table = false;
    uint64_t version = 0;
    absl::Duration wait;
    absl::Duration timeout;
    std::function<void(Result<RowChanges>)> done;
    size_t attempts = 0;
  };
  // The large values that a source has left out of a response, and how far they
  // have been fetched.
  struct Transfer {
    RelaySource source;
    FollowResponse response;
    std::string data;  // Of the first of `response.packed`.
    int failures = 0;  // In a row.
    std::map<std::string, std::string> packed;  // Complete values, by key.
  };

  Table& PlannedTable(const std::string& table);
  void TryNextSource(const std::shared_ptr<Call>& call);
  void Ask(const std::shared_ptr<Call>& call, const RelayChoice::Next& next);
  void AskStore(const std::shared_ptr<Call>& call, absl::Duration wait);
  void AskMember(const std::shared_ptr<Call>& call,
                 const RelaySource& source,
                 absl::Duration wait);
  void OnStoreAnswer(const std::shared_ptr<Call>& call,
                     Result<RowChanges> answer);
  void OnMemberAnswer(const std::shared_ptr<Call>& call,
                      const RelaySource& source,
                      absl::Time sent,
                      Result<FollowResponse> answer);
  void FetchNextPart(const std::shared_ptr<Call>& call,
                     const std::shared_ptr<Transfer>& transfer);
  void OnPart(const std::shared_ptr<Call>& call,
              const std::shared_ptr<Transfer>& transfer,
              Result<std::string> part);
  // Adds the value that has been fetched to the response.
  Status UnpackValue(Transfer* transfer);
  void Complete(const std::shared_ptr<Call>& call,
                const std::shared_ptr<Transfer>& transfer);
  // Tries the next source, or fails the call when all have been tried.
  void OnSourceFailed(const std::shared_ptr<Call>& call, const Error& error);
  // Returns the time until the budget allows a poll of the store.
  absl::Duration TakePollCredit(Table* table) const;
  void UpdateCache(Table* table,
                   const RowChanges& changes,
                   const InstanceId& reader,
                   std::map<std::string, std::string> packed);
  FollowResponse AnswerFor(const Table& table,
                           const FollowQuery& query,
                           absl::Time arrived) const;
  void AnswerFollowers(Table* table);

  const InstanceId m_self;
  EventLoop* const m_loop;
  RowStore* const m_direct;
  PeerTransport* const m_peers;
  const std::function<std::shared_ptr<const Members>()> m_members;
  std::map<std::string, Table> m_tables;
  std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
};

}  // namespace heatherwick

#endif  // SOURCE_GATEWAY_SHARED_ROW_STORE_H_
