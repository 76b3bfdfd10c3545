// Asks the sources of a table in turn, caches the tables' rows, and answers
// followers.

#include "Source/gateway/shared_row_store.h"

#include <algorithm>
#include <utility>

#include "Source/base/json_reader.h"
#include "Source/base/packing.h"
#include "Source/gateway/store_version.h"
#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// An instance that starts does not know what has been withdrawn since an older
// reading.
constexpr absl::Duration kMaxAgeOfWholeTable = absl::Milliseconds(1500);
// For members that are asked to answer at once. Short, so that two unresponsive
// members in a row are passed over within the lease on primaries.
constexpr absl::Duration kImmediateAnswerTimeout = absl::Milliseconds(400);
// Longer values are passed on packed and in parts.
constexpr size_t kMaxInlineValueBytes = 8 << 10;
constexpr absl::Duration kFetchTimeout = absl::Milliseconds(1000);
// Parts that fail in a row before another source is asked.
constexpr int kMaxFetchFailures = 2;
// A table with many changes wakes its readers again and again. When 300
// instances started together, each was woken by the rows of most others.
constexpr double kPollsPerSecond = 10;
constexpr double kPollBurst = 6;

std::string NameOf(const RelaySource& source) {
  return source.IsStore() ? "store" : source.member;
}

}  // namespace

SharedRowStore::SharedRowStore(
    InstanceId self,
    EventLoop* loop,
    RowStore* direct,
    PeerTransport* peers,
    std::function<std::shared_ptr<const Members>()> members)
    : m_self(std::move(self)),
      m_loop(loop),
      m_direct(direct),
      m_peers(peers),
      m_members(std::move(members)) {}

SharedRowStore::~SharedRowStore() {
  *m_alive = false;
}

SharedRowStore::Table& SharedRowStore::PlannedTable(const std::string& table) {
  Table& state = m_tables[table];
  std::shared_ptr<const Members> members = m_members();
  if (state.planned_for == nullptr || state.planned_for != members) {
    std::vector<FleetMember> candidates;
    for (const auto& [id, member] : *members) {
      candidates.push_back({id, member.data_centre, member.capacity});
    }
    state.choice.SetPlan(PlanRelay(table, candidates, m_self));
    state.planned_for = std::move(members);
  }
  return state;
}

void SharedRowStore::ReadTable(const std::string& table,
                               absl::Duration timeout,
                               std::function<void(Result<RowChanges>)> done) {
  TryNextSource(std::make_shared<Call>(
      Call{table, true, 0, absl::ZeroDuration(), timeout, std::move(done)}));
}

void SharedRowStore::PollChanges(const std::string& table,
                                 uint64_t version,
                                 absl::Duration wait,
                                 absl::Duration timeout,
                                 std::function<void(Result<RowChanges>)> done) {
  TryNextSource(std::make_shared<Call>(
      Call{table, false, version, wait, timeout, std::move(done)}));
}

void SharedRowStore::Commit(const RowTransaction& transaction,
                            absl::Duration timeout,
                            std::function<void(Result<uint64_t>)> done) {
  m_direct->Commit(transaction, timeout, std::move(done));
}

void SharedRowStore::TryNextSource(const std::shared_ptr<Call>& call) {
  Table& state = PlannedTable(call->table);
  const RelayChoice::Next next = state.choice.Choose(m_loop->Now());
  ++call->attempts;
  if (next.switched) {
    LOG(INFO) << "event=relay_source table=" << call->table
              << " source=" << NameOf(next.source);
  }
  const absl::Duration delay =
      std::max(next.delay, next.source.IsStore() ? TakePollCredit(&state)
                                                 : absl::ZeroDuration());
  if (delay == absl::ZeroDuration()) {
    Ask(call, next);
    return;
  }
  state.delay_timer =
      m_loop->RunAfter(delay, [this, call, next]() { Ask(call, next); });
}

void SharedRowStore::Ask(const std::shared_ptr<Call>& call,
                         const RelayChoice::Next& next) {
  const absl::Duration wait =
      next.immediate ? absl::ZeroDuration() : call->wait;
  if (next.source.IsStore()) {
    AskStore(call, wait);
  } else {
    AskMember(call, next.source, wait);
  }
}

void SharedRowStore::AskStore(const std::shared_ptr<Call>& call,
                              absl::Duration wait) {
  auto done = [this, call, alive = m_alive](Result<RowChanges> answer) {
    if (*alive) {
      OnStoreAnswer(call, std::move(answer));
    }
  };
  if (call->whole_table) {
    m_direct->ReadTable(call->table, call->timeout, std::move(done));
  } else {
    m_direct->PollChanges(call->table, call->version, wait, call->timeout,
                          std::move(done));
  }
}

void SharedRowStore::OnStoreAnswer(const std::shared_ptr<Call>& call,
                                   Result<RowChanges> answer) {
  Table& state = m_tables[call->table];
  const RelaySource store;
  if (!Ok(answer) && ErrorOf(answer).kind != ErrorKind::kNotFound) {
    state.choice.OnCannotRead(store, m_loop->Now());
    OnSourceFailed(call, ErrorOf(answer));
    return;
  }
  state.choice.OnReading(store);
  state.failing = false;
  if (Ok(answer)) {
    UpdateCache(&state, ValueOf(answer), m_self, {});
    AnswerFollowers(&state);
  }
  call->done(std::move(answer));
}

void SharedRowStore::AskMember(const std::shared_ptr<Call>& call,
                               const RelaySource& source,
                               absl::Duration wait) {
  const auto member = m_tables[call->table].planned_for->find(source.member);
  const absl::Time sent = m_loop->Now();
  const absl::Duration timeout =
      wait > absl::ZeroDuration()
          ? call->timeout
          : std::min(call->timeout, kImmediateAnswerTimeout);
  m_peers->Follow(member->second.peer_address,
                  {call->table, call->version, wait, true}, timeout,
                  [this, call, source, sent,
                   alive = m_alive](Result<FollowResponse> answer) {
                    if (*alive) {
                      OnMemberAnswer(call, source, sent, std::move(answer));
                    }
                  });
}

void SharedRowStore::OnMemberAnswer(const std::shared_ptr<Call>& call,
                                    const RelaySource& source,
                                    absl::Time sent,
                                    Result<FollowResponse> answer) {
  Table& state = m_tables[call->table];
  const absl::Time now = m_loop->Now();
  if (!Ok(answer)) {
    if (ErrorOf(answer).kind == ErrorKind::kNotHome) {
      state.choice.OnCannotRead(source, now);
    } else {
      state.choice.OnUnresponsive(source, now);
    }
    OnSourceFailed(call, ErrorOf(answer));
    return;
  }
  FollowResponse& followed = ValueOf(answer);
  RowChanges& changes = followed.changes;
  // The query arrived no earlier than it was sent, so this time is not later
  // than the read.
  changes.as_of = sent + followed.waited - followed.age;
  const absl::Duration max_age =
      call->whole_table ? std::min(state.max_age, kMaxAgeOfWholeTable)
                        : state.max_age;
  const bool too_old = now - changes.as_of > max_age;
  // A reading from the future would outlast every later one.
  const bool malformed = followed.age < absl::ZeroDuration() ||
                         followed.waited < absl::ZeroDuration() ||
                         changes.as_of > now || changes.version > kMaxCounter;
  // An older table must not replace what this instance knows.
  const bool regresses = changes.snapshot && changes.version < state.version;
  // A member of an earlier version of the program names no era, and one that
  // has not read the present era knows other rows.
  const bool other_era = followed.era != EraOf(changes.version);
  if (too_old || malformed || regresses || other_era || followed.failing ||
      followed.reader == m_self || (call->whole_table && !changes.snapshot)) {
    state.choice.OnCannotRead(source, now);
    OnSourceFailed(call, {ErrorKind::kUnavailable,
                          absl::StrCat("instance ", source.member,
                                       " has no recent reading"),
                          "check the platform's store and the network"});
    return;
  }
  state.choice.OnReading(source);
  auto transfer = std::make_shared<Transfer>();
  transfer->source = source;
  transfer->response = std::move(followed);
  FetchNextPart(call, transfer);
}

void SharedRowStore::FetchNextPart(const std::shared_ptr<Call>& call,
                                   const std::shared_ptr<Transfer>& transfer) {
  if (transfer->response.packed.empty()) {
    Complete(call, transfer);
    return;
  }
  const auto member =
      m_tables[call->table].planned_for->find(transfer->source.member);
  const PackedRow& row = transfer->response.packed.front();
  m_peers->Fetch(
      member->second.peer_address,
      {call->table, row.key, row.version, transfer->data.size()}, kFetchTimeout,
      [this, call, transfer, alive = m_alive](Result<std::string> part) {
        if (*alive) {
          OnPart(call, transfer, std::move(part));
        }
      });
}

void SharedRowStore::OnPart(const std::shared_ptr<Call>& call,
                            const std::shared_ptr<Transfer>& transfer,
                            Result<std::string> part) {
  if (Ok(part) &&
      (ValueOf(part).empty() || transfer->data.size() > kMaxUnpackedBytes)) {
    part = Error{ErrorKind::kNotHome, "the source sends no usable part",
                 "check that all instances run compatible versions"};
    m_tables[call->table].choice.OnCannotRead(transfer->source, m_loop->Now());
  }
  if (!Ok(part)) {
    const bool replaced = ErrorOf(part).kind == ErrorKind::kNotHome;
    if (replaced || ++transfer->failures > kMaxFetchFailures) {
      if (!replaced) {
        m_tables[call->table].choice.OnUnresponsive(transfer->source,
                                                    m_loop->Now());
      }
      OnSourceFailed(call, ErrorOf(part));
      return;
    }
    FetchNextPart(call, transfer);
    return;
  }
  transfer->failures = 0;
  transfer->data += ValueOf(part);
  if (transfer->data.size() >= transfer->response.packed.front().packed_bytes) {
    const Status unpacked = UnpackValue(transfer.get());
    if (!Ok(unpacked)) {
      m_tables[call->table].choice.OnCannotRead(transfer->source,
                                                m_loop->Now());
      OnSourceFailed(call, ErrorOf(unpacked));
      return;
    }
  }
  FetchNextPart(call, transfer);
}

Status SharedRowStore::UnpackValue(Transfer* transfer) {
  std::vector<PackedRow>& rows = transfer->response.packed;
  const PackedRow row = rows.front();
  Result<std::string> value = Unpack(transfer->data, row.value_bytes);
  if (!Ok(value)) {
    return ErrorOf(value);
  }
  transfer->response.changes.rows.push_back(
      {row.key, std::move(ValueOf(value)), row.version, false});
  transfer->packed[row.key] = std::exchange(transfer->data, "");
  rows.erase(rows.begin());
  return std::monostate{};
}

void SharedRowStore::Complete(const std::shared_ptr<Call>& call,
                              const std::shared_ptr<Transfer>& transfer) {
  Table& state = m_tables[call->table];
  state.failing = false;
  FollowResponse& response = transfer->response;
  UpdateCache(&state, response.changes, response.reader,
              std::move(transfer->packed));
  AnswerFollowers(&state);
  call->done(std::move(response.changes));
}

void SharedRowStore::OnSourceFailed(const std::shared_ptr<Call>& call,
                                    const Error& error) {
  m_tables[call->table].failing = true;
  LOG(INFO) << "event=relay_source_failed table=" << call->table
            << " attempt=" << call->attempts << " cause=\"" << error.message
            << "\"";
  const size_t sources = m_tables[call->table].choice.Plan().sources.size();
  if (call->attempts > sources) {
    call->done(error);
    return;
  }
  TryNextSource(call);
}

absl::Duration SharedRowStore::TakePollCredit(Table* table) const {
  const absl::Time now = m_loop->Now();
  table->poll_credit = std::min(
      kPollBurst,
      table->poll_credit +
          kPollsPerSecond * absl::ToDoubleSeconds(now - table->poll_credit_at));
  table->poll_credit_at = now;
  table->poll_credit -= 1;
  return table->poll_credit >= 0
             ? absl::ZeroDuration()
             : absl::Seconds(-table->poll_credit / kPollsPerSecond);
}

void SharedRowStore::UpdateCache(Table* table,
                                 const RowChanges& changes,
                                 const InstanceId& reader,
                                 std::map<std::string, std::string> packed) {
  // Rows of two eras are never mixed; a later era begins with a whole table.
  if (EraOf(changes.version) < EraOf(table->version) ||
      (!changes.snapshot && EraOf(changes.version) != EraOf(table->version))) {
    return;
  }
  if (changes.snapshot) {
    table->rows.clear();
    table->packed.clear();
    table->complete_since = changes.version;
  }
  for (const StoredRow& row : changes.rows) {
    table->rows[row.key] = row;
    table->packed.erase(row.key);
    if (row.value.size() > kMaxInlineValueBytes) {
      const auto received = packed.find(row.key);
      table->packed[row.key] = received != packed.end()
                                   ? std::move(received->second)
                                   : Pack(row.value);
    }
  }
  table->version = std::max(table->version, changes.version);
  if (changes.as_of >= table->as_of) {
    table->as_of = changes.as_of;
    table->reader = reader;
  }
}

FollowResponse SharedRowStore::AnswerFor(const Table& table,
                                         const FollowQuery& query,
                                         absl::Time arrived) const {
  const absl::Time now = m_loop->Now();
  FollowResponse answer;
  answer.changes.snapshot = query.after < table.complete_since;
  for (const auto& [key, row] : table.rows) {
    const bool include =
        answer.changes.snapshot ? !row.deleted : row.version > query.after;
    if (!include) {
      continue;
    }
    const auto packed = table.packed.find(key);
    if (query.accepts_packed && packed != table.packed.end()) {
      answer.packed.push_back(
          {key, row.version, packed->second.size(), row.value.size()});
    } else {
      answer.changes.rows.push_back(row);
    }
  }
  answer.changes.version = std::max(table.version, query.after);
  answer.waited = now - arrived;
  answer.age = now - table.as_of;
  answer.reader = table.reader;
  answer.era = EraOf(table.version);
  answer.failing = table.failing;
  return answer;
}

void SharedRowStore::AnswerFollowers(Table* table) {
  std::list<Follower> followers = std::move(table->followers);
  table->followers.clear();
  for (const Follower& follower : followers) {
    follower.answer(AnswerFor(*table, follower.query, follower.arrived));
  }
}

void SharedRowStore::OnFollow(
    const FollowQuery& query,
    std::function<void(Result<FollowResponse>)> answer) {
  Table& table = m_tables[query.table];
  const absl::Time now = m_loop->Now();
  if (table.version == 0) {
    answer(Error{ErrorKind::kNotHome,
                 "this instance has not read the table yet",
                 "ask another instance"});
    return;
  }
  if (EraOf(table.version) < EraOf(query.after)) {
    answer(Error{ErrorKind::kNotHome,
                 "this instance has not read the store's present era yet",
                 "ask another instance"});
    return;
  }
  const bool newer = std::any_of(
      table.rows.begin(), table.rows.end(),
      [&query](const auto& row) { return row.second.version > query.after; });
  if (newer || query.wait <= absl::ZeroDuration()) {
    answer(AnswerFor(table, query, now));
    return;
  }
  table.followers.push_back({query, now, std::move(answer), nullptr});
  const auto follower = std::prev(table.followers.end());
  follower->wait_timer =
      m_loop->RunAfter(query.wait, [this, name = query.table, follower]() {
        Table& waited = m_tables[name];
        const auto respond = std::move(follower->answer);
        FollowResponse response =
            AnswerFor(waited, follower->query, follower->arrived);
        // Destroys this timer and its closure last.
        waited.followers.erase(follower);
        respond(std::move(response));
      });
}

Result<std::string> SharedRowStore::OnFetch(const FetchQuery& query) const {
  const auto table = m_tables.find(query.table);
  if (table != m_tables.end()) {
    const auto row = table->second.rows.find(query.key);
    const auto packed = table->second.packed.find(query.key);
    if (packed != table->second.packed.end() &&
        row->second.version == query.version &&
        query.offset < packed->second.size()) {
      return packed->second.substr(query.offset, kFetchBytes);
    }
  }
  return Error{ErrorKind::kNotHome,
               "this instance has another version of the row",
               "ask for the changes again"};
}

}  // namespace heatherwick
