// The loop of the manager's thread, and the handlers of calls from peers and
// operators.

#include "Source/runtime/sheet_manager.h"
#include "Source/base/steady_clock.h"
#include "Source/runtime/grpc_deadline.h"

#include <algorithm>
#include <utility>

#include "Source/base/enum_table.h"
#include "Source/decision/sheet_parser.h"
#include "Source/proto/peer.grpc.pb.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "grpcpp/client_context.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kTickPeriod = absl::Milliseconds(100);
// While this many events are queued, versions that peers report are ignored.
// Queueing them would not make the thread act sooner.
constexpr size_t kMaxPendingVersions = 16;
// Number of peers that one search asks when no peer is known to have the sheet.
constexpr size_t kMaxPeersAsked = 3;
constexpr uint32_t kDefaultHistoryLength = 20;
constexpr uint32_t kMaxHistoryLength = 200;

constexpr EnumName<SubmissionOutcome> kOutcomeNames[] = {
    {SubmissionOutcome::kAccepted, "accepted"},
    {SubmissionOutcome::kLost, "lost"},
    {SubmissionOutcome::kUnavailable, "store_unavailable"},
    {SubmissionOutcome::kUnknown, "unknown"},
};

std::string VersionText(const SheetHead& head) {
  return absl::StrCat(head.version);
}

// Returns the error for a submission that was not accepted.
Error SubmissionError(const SubmissionEnded& ended, uint64_t base_version) {
  switch (ended.outcome) {
    case SubmissionOutcome::kUnavailable:
      return {ErrorKind::kUnavailable,
              "the platform's store did not answer, and nothing was changed",
              "submit the sheet again when the store is available; the sheet "
              "in force is unchanged"};
    case SubmissionOutcome::kUnknown:
      return {ErrorKind::kDeadlineExceeded,
              "the platform's store did not answer, and the sheet may have "
              "been accepted",
              "submit again with the same base version and submission id to "
              "learn the outcome"};
    case SubmissionOutcome::kAccepted:
    case SubmissionOutcome::kLost:
      break;
  }
  if (ended.head.version == 0) {
    return {ErrorKind::kConflict,
            absl::StrCat("the change is based on version ", base_version,
                         ", and the store holds no sheet"),
            "submit with base version 0 to accept the first sheet"};
  }
  return {ErrorKind::kConflict,
          absl::StrCat("the change is based on version ", base_version,
                       ", and version ", ended.head.version, " by ",
                       ended.head.submitted_by, " was accepted instead"),
          "compare with the accepted sheet, merge the changes and submit "
          "them based on it"};
}

}  // namespace

SheetManager::SheetManager(SheetManagerOptions options)
    : m_options(std::move(options)),
      m_store(m_options.store, m_options.store_timeout),
      m_held_sheet(std::make_shared<const HeldSheet>()),
      m_acceptance(m_options.acceptance, m_random),
      m_thread([this] { Run(); }) {}

SheetManager::~SheetManager() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  m_thread.join();
}

std::shared_ptr<const SheetManager::HeldSheet> SheetManager::SheetInForce()
    const {
  absl::ReaderMutexLock lock(&m_mutex);
  return m_held_sheet;
}

bool SheetManager::IsStopping() const {
  absl::ReaderMutexLock lock(&m_mutex);
  return m_stopping;
}

SheetSnapshot SheetManager::Current() const {
  const std::shared_ptr<const HeldSheet> held = SheetInForce();
  return {held->head.version, held->sheet};
}

void SheetManager::ReportVersion(uint64_t version,
                                 const std::string& peer_address) {
  absl::MutexLock lock(&m_mutex);
  if (version < m_held_sheet->head.version ||
      m_events.size() >= kMaxPendingVersions) {
    return;
  }
  const bool newer = version > m_held_sheet->head.version;
  const SeenVersion seen{version, peer_address};
  // One queued event that confirms the version in force is enough, whichever
  // peer it came from.
  const bool already_queued =
      std::any_of(m_events.begin(), m_events.end(), [&](const Event& event) {
        const auto* other = std::get_if<SeenVersion>(&event);
        return other != nullptr && other->version == version &&
               (!newer || other->address == peer_address);
      });
  if (!already_queued) {
    m_events.emplace_back(seen);
  }
  m_wake = m_wake || newer;
}

bool SheetManager::WaitFor(uint64_t version, absl::Time deadline) {
  absl::ReaderMutexLock lock(&m_mutex);
  const auto in_force = [this, version] {
    m_mutex.AssertReaderHeld();
    return m_held_sheet->head.version >= version;
  };
  return m_mutex.AwaitWithTimeout(absl::Condition(&in_force),
                                  deadline - SteadyNow());
}

void SheetManager::Run() {
  while (true) {
    std::vector<Event> events;
    {
      absl::MutexLock lock(&m_mutex);
      const auto has_work = [this] {
        m_mutex.AssertReaderHeld();
        return m_wake || m_stopping;
      };
      m_mutex.AwaitWithTimeout(absl::Condition(&has_work), kTickPeriod);
      if (m_stopping) {
        return;
      }
      m_wake = false;
      events.swap(m_events);
    }
    Actions actions;
    for (const Event& event : events) {
      Handle(event, &actions);
    }
    m_acceptance.OnTick(m_options.is_poller(), SteadyNow(), &actions);
    // Performing an action may add further actions.
    while (!actions.empty() && !IsStopping()) {
      const Actions batch = std::exchange(actions, {});
      for (const SheetAction& action : batch) {
        PerformAction(action, &actions);
      }
    }
  }
}

void SheetManager::Handle(const Event& event, Actions* actions) {
  if (const auto* seen = std::get_if<SeenVersion>(&event)) {
    m_acceptance.OnVersionSeen(seen->version, seen->address, SteadyNow(),
                               actions);
    return;
  }
  const auto& submitted = std::get<Submitted>(event);
  m_acceptance.OnSubmitted(submitted.head, submitted.content, actions);
}

void SheetManager::PerformAction(const SheetAction& action, Actions* actions) {
  if (std::holds_alternative<ReadSheetHead>(action)) {
    PerformReadHead(actions);
  } else if (const auto* peer = std::get_if<FetchFromPeer>(&action)) {
    PerformFetchFromPeer(*peer, actions);
  } else if (const auto* store = std::get_if<FetchFromStore>(&action)) {
    PerformFetchFromStore(*store, actions);
  } else if (const auto* adopt = std::get_if<AdoptSheet>(&action)) {
    PerformAdoptSheet(*adopt);
  } else {
    const auto& reject = std::get<RejectSheet>(action);
    m_options.record({"reject_sheet",
                      reject.reason,
                      {{"version", absl::StrCat(reject.version)}}});
  }
}

void SheetManager::PerformReadHead(Actions* actions) {
  const Result<StoredHead> stored = m_store.ReadHead();
  const absl::Time now = SteadyNow();
  if (Ok(stored) != m_store_answers) {
    m_store_answers = Ok(stored);
    m_options.record(
        {"poll_sheet_head",
         m_store_answers ? "store_answers_again" : "store_unavailable",
         {{"error", Ok(stored) ? "" : ErrorOf(stored).Describe()}}});
  }
  if (!Ok(stored)) {
    m_acceptance.OnHeadReadFailed(now);
    return;
  }
  const SheetHead& head = ValueOf(stored).head;
  m_acceptance.OnHeadRead(
      head.version == 0 ? std::nullopt : std::optional<SheetHead>(head), now,
      actions);
}

void SheetManager::PerformFetchFromPeer(const FetchFromPeer& fetch,
                                        Actions* actions) {
  std::vector<std::string> addresses = {fetch.address};
  if (fetch.address.empty()) {
    addresses = m_options.peer_addresses();
    addresses.resize(std::min(addresses.size(), kMaxPeersAsked));
  }
  proto::FetchSheetRequest request;
  request.set_at_least_version(fetch.at_least_version);
  bool answered = false;
  for (const std::string& address : addresses) {
    if (IsStopping()) {
      break;
    }
    grpc::ClientContext context;
    context.set_deadline(GrpcDeadlineIn(m_options.peer_timeout));
    proto::FetchSheetReply reply;
    const auto stub = proto::Peer::NewStub(m_options.channels->Get(address));
    if (!stub->FetchSheet(&context, request, &reply).ok()) {
      continue;
    }
    answered = true;
    proto::SheetHead head;
    if (reply.version() >= fetch.at_least_version &&
        head.ParseFromString(reply.head())) {
      m_acceptance.OnContent(FromProto(head), reply.content(), SteadyNow(),
                             actions);
      return;
    }
  }
  if (answered) {
    m_acceptance.OnNoNewerSheet(SteadyNow());
  } else {
    m_acceptance.OnFetchFailed(SteadyNow());
  }
}

void SheetManager::PerformFetchFromStore(const FetchFromStore& fetch,
                                         Actions* actions) {
  const Result<std::string> content = m_store.ReadContent(fetch.head);
  if (Ok(content)) {
    m_acceptance.OnContent(fetch.head, ValueOf(content), SteadyNow(), actions);
  } else {
    m_acceptance.OnFetchFailed(SteadyNow());
  }
}

void SheetManager::PerformAdoptSheet(const AdoptSheet& adopt) {
  auto held = std::make_shared<const HeldSheet>(
      HeldSheet{adopt.head, adopt.content, adopt.sheet});
  {
    absl::MutexLock lock(&m_mutex);
    m_held_sheet = std::move(held);
  }
  m_options.record({"adopt_sheet",
                    "higher_version",
                    {{"version", VersionText(adopt.head)},
                     {"hash", adopt.head.content_hash},
                     {"submitted_by", adopt.head.submitted_by}}});
}

void SheetManager::FetchSheet(const proto::FetchSheetRequest& request,
                              proto::FetchSheetReply* reply) {
  const std::shared_ptr<const HeldSheet> held = SheetInForce();
  reply->set_version(held->head.version);
  if (held->head.version > 0 &&
      held->head.version >= request.at_least_version()) {
    reply->set_head(ToProto(held->head).SerializeAsString());
    reply->set_content(held->content);
  }
}

void SheetManager::CheckSheet(const proto::CheckSheetRequest& request,
                              proto::CheckSheetReply* reply) {
  const ParsedSheet parsed = ParseSheet(request.content());
  if (const auto* mistakes = std::get_if<std::vector<SheetMistake>>(&parsed)) {
    for (const SheetMistake& mistake : *mistakes) {
      proto::SheetMistake* message = reply->add_mistakes();
      message->set_row(mistake.row);
      message->set_column(mistake.column);
      message->set_message(mistake.message);
    }
  }
}

void SheetManager::SubmitSheet(const proto::SubmitSheetRequest& request,
                               proto::SubmitSheetReply* reply) {
  proto::CheckSheetRequest check;
  check.set_content(request.content());
  proto::CheckSheetReply checked;
  CheckSheet(check, &checked);
  if (checked.mistakes_size() > 0) {
    reply->mutable_mistakes()->Swap(checked.mutable_mistakes());
    reply->set_error_kind(
        std::string(ErrorKindName(ErrorKind::kInvalidArgument)));
    reply->set_error_message("the sheet has mistakes; correct each of them");
    return;
  }
  SheetHead head;
  head.content_hash = SheetContentHash(request.content());
  head.submission =
      request.submission().empty() ? NewSubmissionId() : request.submission();
  head.submitted_by = request.submitted_by();
  head.submitted_unix_ms = absl::ToUnixMillis(absl::Now());
  head.base_version = request.base_version();
  const SubmissionEnded ended = m_store.Submit(
      head, request.content(), SteadyNow() + m_options.submission_timeout);
  RecordSubmission(head, ended.outcome);
  FillSubmission(ended, head.base_version, reply);
  // If a submission id is reused with a different text, the accepted head is
  // the one of the first text, and the new text must not be adopted.
  if (reply->accepted() && ended.head.content_hash == head.content_hash) {
    {
      absl::MutexLock lock(&m_mutex);
      m_events.emplace_back(Submitted{ended.head, request.content()});
      m_wake = true;
    }
    WaitFor(ended.head.version, SteadyNow() + m_options.store_timeout);
  }
}

void SheetManager::FillSubmission(const SubmissionEnded& ended,
                                  uint64_t base_version,
                                  proto::SubmitSheetReply* reply) const {
  *reply->mutable_head() = ToProto(ended.head);
  reply->set_accepted(ended.outcome == SubmissionOutcome::kAccepted);
  if (!reply->accepted()) {
    const Error error = SubmissionError(ended, base_version);
    reply->set_error_kind(std::string(ErrorKindName(error.kind)));
    reply->set_error_message(error.Describe());
  }
}

void SheetManager::RecordSubmission(const SheetHead& head,
                                    SubmissionOutcome outcome) const {
  m_options.record({"submit_sheet",
                    NameOf(kOutcomeNames, outcome),
                    {{"base_version", absl::StrCat(head.base_version)},
                     {"submission", head.submission},
                     {"submitted_by", head.submitted_by}}});
}

std::string SheetManager::NewSubmissionId() const {
  absl::BitGen random;
  return absl::StrCat(m_options.own_id, "-", absl::ToUnixMillis(absl::Now()),
                      "-", absl::Hex(absl::Uniform<uint64_t>(random)));
}

Result<SheetHead> SheetManager::FindHead(uint64_t version) const {
  const std::shared_ptr<const HeldSheet> held = SheetInForce();
  if (version == held->head.version) {
    return held->head;
  }
  Result<SheetHead> row = m_store.ReadHistory(version);
  if (!Ok(row) || ValueOf(row).version > 0) {
    return row;
  }
  // The newest version has no history row yet, only the head row.
  const Result<StoredHead> newest = m_store.ReadHead();
  if (!Ok(newest)) {
    return ErrorOf(newest);
  }
  return ValueOf(newest).head.version == version ? ValueOf(newest).head
                                                 : SheetHead{};
}

void SheetManager::GetSheet(const proto::GetSheetRequest& request,
                            proto::GetSheetReply* reply) {
  const std::shared_ptr<const HeldSheet> held = SheetInForce();
  if (request.version() == 0 || request.version() == held->head.version) {
    reply->set_found(held->head.version > 0);
    *reply->mutable_head() = ToProto(held->head);
    reply->set_content(held->content);
    if (!reply->found()) {
      reply->set_error_message(
          "this instance has no sheet yet; submit the first one, or wait "
          "until the store or a peer answers");
    }
    return;
  }
  const Result<SheetHead> head = FindHead(request.version());
  if (!Ok(head)) {
    reply->set_error_message(ErrorOf(head).Describe());
    return;
  }
  if (ValueOf(head).version == 0) {
    reply->set_error_message(
        absl::StrCat("version ", request.version(),
                     " does not exist; the history lists the versions"));
    return;
  }
  const Result<std::string> content = m_store.ReadContent(ValueOf(head));
  if (!Ok(content)) {
    reply->set_error_message(ErrorOf(content).Describe());
    return;
  }
  reply->set_found(true);
  *reply->mutable_head() = ToProto(ValueOf(head));
  reply->set_content(ValueOf(content));
}

void SheetManager::SheetHistory(const proto::SheetHistoryRequest& request,
                                proto::SheetHistoryReply* reply) {
  const uint32_t max_heads = request.most() == 0
                                 ? kDefaultHistoryLength
                                 : std::min(request.most(), kMaxHistoryLength);
  const Result<StoredHead> newest = m_store.ReadHead();
  if (!Ok(newest)) {
    const std::shared_ptr<const HeldSheet> held = SheetInForce();
    if (held->head.version > 0) {
      *reply->add_heads() = ToProto(held->head);
    }
    reply->set_error_message(ErrorOf(newest).Describe());
    return;
  }
  SheetHead head = ValueOf(newest).head;
  while (head.version > 0) {
    *reply->add_heads() = ToProto(head);
    if (static_cast<uint32_t>(reply->heads_size()) >= max_heads ||
        head.base_version == 0) {
      return;
    }
    const Result<SheetHead> earlier = m_store.ReadHistory(head.base_version);
    if (!Ok(earlier)) {
      reply->set_error_message(ErrorOf(earlier).Describe());
      return;
    }
    head = ValueOf(earlier);
  }
}

}  // namespace heatherwick
