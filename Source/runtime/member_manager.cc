// The threads and gRPC calls that drive Membership, and the lock that guards
// it.

#include "Source/runtime/member_manager.h"
#include "Source/runtime/grpc_deadline.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <variant>

#include "Source/runtime/member_codec.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "grpcpp/client_context.h"

namespace heatherwick {

namespace {

// Number of peers that a leaving instance notifies directly. Gossip reaches the
// others.
constexpr size_t kLeaveFanout = 32;
constexpr absl::Duration kLeaveTimeout = absl::Seconds(1);
constexpr absl::Duration kListCheckPeriod = absl::Milliseconds(100);

MemberRecord SelfRecord(const MemberInfo& own) {
  MemberRecord self;
  self.id = own.id;
  self.address = own.address;
  self.data_centre = own.data_centre;
  self.region = own.region;
  self.incarnation = own.incarnation;
  if (self.incarnation.empty()) {
    absl::BitGen random;
    self.incarnation = MakeIncarnation(absl::Now(), random);
  }
  return self;
}

MemberInfo ToInfo(const MemberRecord& record) {
  return {record.id,          record.address,
          record.data_centre, record.region,
          record.incarnation, record.state == MemberState::kSuspect};
}

MemberRecord ToRecord(const ListedInstance& listed) {
  MemberRecord record;
  record.id = listed.id;
  record.address = listed.address;
  record.data_centre = listed.data_centre;
  record.region = listed.region;
  record.state =
      listed.leaving ? MemberState::kLeaving : MemberState::kCandidate;
  return record;
}

}  // namespace

struct MemberManager::Call {
  SendProbe send;
  grpc::ClientContext context;
  proto::ProbeRequest request;
  proto::ProbeReply reply;
  std::unique_ptr<proto::Peer::Stub> stub;
};

MemberManager::MemberManager(MemberManagerOptions options)
    : m_options(std::move(options)),
      m_membership(SelfRecord(m_options.own),
                   m_options.membership,
                   m_random,
                   SteadyNow()),
      m_list(m_options.list, m_random, SteadyNow()) {
  std::vector<std::string> seeds = m_options.seeds;
  seeds.erase(std::remove(seeds.begin(), seeds.end(), m_options.own.address),
              seeds.end());
  absl::MutexLock lock(&m_mutex);
  m_membership.SetSeeds(std::move(seeds));
  PublishView();
}

MemberManager::~MemberManager() {
  Stop();
}

void MemberManager::Start() {
  m_tick_thread = std::thread([this] { RunTickLoop(); });
  m_list_thread = std::thread([this] { RunListLoop(); });
}

void MemberManager::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
    for (Call* call : m_calls) {
      call->context.TryCancel();
    }
  }
  if (m_tick_thread.joinable()) {
    m_tick_thread.join();
    m_list_thread.join();
  }
  absl::MutexLock lock(&m_mutex);
  const auto no_calls = [this]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
    return m_calls.empty();
  };
  m_mutex.Await(absl::Condition(&no_calls));
}

// Threads ---------------------------------------------------------------

void MemberManager::RunTickLoop() {
  for (;;) {
    {
      absl::MutexLock lock(&m_mutex);
      if (m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                   m_options.tick)) {
        return;
      }
    }
    Handle([](Membership* membership, absl::Time now, Actions* actions) {
      membership->OnTick(now, actions);
    });
  }
}

void MemberManager::RunListLoop() {
  for (;;) {
    {
      absl::MutexLock lock(&m_mutex);
      if (m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                   kListCheckPeriod)) {
        return;
      }
      if (!m_list.IsDue(SteadyNow())) {
        continue;
      }
    }
    ReadList();
  }
}

void MemberManager::ReadList() {
  const auto result = m_options.store->ListInstances(m_options.list_timeout);
  if (!Ok(result)) {
    absl::MutexLock lock(&m_mutex);
    m_list.OnReadFailed(SteadyNow());
    return;
  }
  std::vector<MemberRecord> listed;
  for (const ListedInstance& instance : ValueOf(result)) {
    listed.push_back(ToRecord(instance));
  }
  {
    absl::MutexLock lock(&m_mutex);
    m_list.OnRead(listed.size(), SteadyNow());
  }
  Handle([&](Membership* membership, absl::Time now, Actions* actions) {
    membership->OnInstanceList(listed, now, actions);
  });
}

// Events and actions ------------------------------------------------------

template <typename Event>
void MemberManager::Handle(Event event) {
  Actions actions;
  {
    absl::MutexLock lock(&m_mutex);
    event(&m_membership, SteadyNow(), &actions);
    if (m_membership.Version() != m_published_version) {
      PublishView();
    }
  }
  PerformActions(actions);
}

void MemberManager::PerformActions(const Actions& actions) {
  for (const MembershipAction& action : actions) {
    if (const auto* send = std::get_if<SendProbe>(&action)) {
      Send(*send);
    } else if (const auto* change = std::get_if<MemberChanged>(&action)) {
      RecordChange(*change);
      if (change->member.state == MemberState::kDead) {
        m_options.channels->Remove(change->member.address);
      }
    } else if (m_options.on_incarnation) {
      m_options.on_incarnation(std::get<IncarnationRaised>(action).incarnation);
    }
  }
}

void MemberManager::PublishView() {
  auto view = std::make_shared<std::vector<MemberInfo>>();
  for (const MemberRecord& record : m_membership.ServingMembers()) {
    view->push_back(ToInfo(record));
  }
  m_published_version = m_membership.Version();
  {
    absl::MutexLock lock(&m_view_mutex);
    m_view = std::move(view);
  }
  m_store_poller = FindStorePoller();
  m_list.SetPoller(m_store_poller, SteadyNow());
}

bool MemberManager::FindStorePoller() const {
  std::vector<PlacementCandidate> candidates;
  for (const MemberRecord& record : m_membership.ServingMembers()) {
    if (record.region == m_options.own.region) {
      candidates.push_back({record.id, record.data_centre});
    }
  }
  const std::vector<size_t> pollers =
      ChooseStorePollers(m_options.own.region, candidates);
  return std::any_of(pollers.begin(), pollers.end(), [&](size_t index) {
    return candidates[index].id == m_options.own.id;
  });
}

void MemberManager::RecordChange(const MemberChanged& change) const {
  if (!m_options.record) {
    return;
  }
  const MemberRecord& member = change.member;
  m_options.record(DecisionRecord{
      "member",
      change.reason,
      {{"id", member.id},
       {"address", member.address},
       {"state", std::string(NameOf(kMemberStateNames, member.state))},
       {"before", std::string(NameOf(kMemberStateNames, change.before))},
       {"incarnation", member.incarnation},
       {"generation", absl::StrCat(member.generation)}}});
}

// Probes ----------------------------------------------------------------

void MemberManager::Send(const SendProbe& send) {
  auto* call = new Call;
  call->send = send;
  call->stub = proto::Peer::NewStub(m_options.channels->Get(send.address));
  call->context.set_deadline(
      GrpcDeadlineIn(m_options.membership.probe_deadline));
  FillRequest(send, &call->request);
  {
    absl::MutexLock lock(&m_mutex);
    if (m_stopping) {
      delete call;
      return;
    }
    m_calls.insert(call);
  }
  call->stub->async()->Probe(&call->context, &call->request, &call->reply,
                             [this, call](const grpc::Status& status) {
                               EndProbe(call, status.ok());
                             });
}

void MemberManager::FillRequest(const SendProbe& send,
                                proto::ProbeRequest* request) {
  {
    absl::MutexLock lock(&m_mutex);
    ToProto(m_membership.Self(), request->mutable_sender());
    request->set_list_age_ms(ListAgeMs());
  }
  request->set_relay_to(send.relay_to);
  request->set_want_all(send.want_all);
  request->set_sheet_version(OwnSheetVersion());
  ToProto(send.updates, request->mutable_updates());
}

void MemberManager::EndProbe(Call* call, bool answered) {
  const proto::ProbeReply& reply = call->reply;
  if (answered) {
    ReportPeerSheet(reply.responder(), reply.sheet_version());
  }
  // Keep only channels to live members of the own region. Random probes of
  // other regions would eventually open a channel to every instance, at about
  // 60 kB for both ends. The request path opens the channels that it needs.
  bool keep_channel = false;
  Handle([&](Membership* membership, absl::Time now,
             Actions* actions) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    if (answered) {
      RecordListAge(reply.list_age_ms());
      membership->OnProbeReply(call->send.probe, reply.alive(),
                               FromProto(reply.responder()),
                               FromProto(reply.updates()), now, actions);
    } else {
      membership->OnProbeFailed(call->send.probe, now, actions);
    }
    const MemberRecord* member = membership->Find(call->send.to);
    keep_channel = member != nullptr &&
                   member->region == m_options.own.region &&
                   (member->state == MemberState::kAlive ||
                    member->state == MemberState::kSuspect);
  });
  if (!keep_channel) {
    m_options.channels->Remove(call->send.address);
  }
  absl::MutexLock lock(&m_mutex);
  m_calls.erase(call);
  delete call;
}

void MemberManager::Probe(const proto::ProbeRequest& request,
                          proto::ProbeReply* reply) {
  const MemberRecord sender = FromProto(request.sender());
  ReportPeerSheet(request.sender(), request.sheet_version());
  Handle([&](Membership* membership, absl::Time now,
             Actions* actions) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex) {
    RecordListAge(request.list_age_ms());
    membership->OnProbe(sender, FromProto(request.updates()), now, actions);
    ToProto(membership->Self(), reply->mutable_responder());
    ToProto(membership->ReplyUpdates(sender, request.want_all()),
            reply->mutable_updates());
    reply->set_list_age_ms(ListAgeMs());
  });
  reply->set_sheet_version(OwnSheetVersion());
  reply->set_alive(true);
  if (!request.relay_to().empty()) {
    RelayProbe(request, reply);
  }
}

void MemberManager::RelayProbe(const proto::ProbeRequest& request,
                               proto::ProbeReply* reply) {
  proto::ProbeRequest relayed;
  FillRequest(SendProbe(), &relayed);
  // The sender's updates may contain a suspicion that the probed member can
  // refute.
  *relayed.mutable_updates() = request.updates();
  grpc::ClientContext context;
  context.set_deadline(GrpcDeadlineIn(m_options.membership.probe_timeout));
  proto::ProbeReply answer;
  const auto stub =
      proto::Peer::NewStub(m_options.channels->Get(request.relay_to()));
  reply->set_alive(stub->Probe(&context, relayed, &answer).ok());
  if (!reply->alive()) {
    return;
  }
  *reply->add_updates() = answer.responder();
  ReportPeerSheet(answer.responder(), answer.sheet_version());
  Handle([&](Membership* membership, absl::Time now, Actions* actions) {
    membership->OnProbe(FromProto(answer.responder()),
                        FromProto(answer.updates()), now, actions);
  });
}

// Sheet version and age of the list ----------------------------------------

uint64_t MemberManager::OwnSheetVersion() const {
  return m_options.own_sheet_version ? m_options.own_sheet_version() : 0;
}

void MemberManager::ReportPeerSheet(const proto::MemberUpdate& peer,
                                    uint64_t version) const {
  if (m_options.on_peer_sheet && version > 0) {
    m_options.on_peer_sheet(peer.id(), peer.address(), version);
  }
}

void MemberManager::RecordListAge(uint64_t list_age_ms) {
  constexpr uint64_t kMaxListAgeMs = uint64_t{24} * 3600 * 1000;
  if (list_age_ms == 0 || list_age_ms > kMaxListAgeMs) {
    return;
  }
  m_list.NoteListRead(
      SteadyNow() - absl::Milliseconds(static_cast<int64_t>(list_age_ms - 1)));
}

uint64_t MemberManager::ListAgeMs() const {
  if (m_list.LastListRead() == absl::InfinitePast()) {
    return 0;
  }
  return static_cast<uint64_t>(
      1 + absl::ToInt64Milliseconds(SteadyNow() - m_list.LastListRead()));
}

// MemberSource ------------------------------------------------------------

std::shared_ptr<const std::vector<MemberInfo>> MemberManager::Members() const {
  absl::MutexLock lock(&m_view_mutex);
  return m_view;
}

void MemberManager::ReportUnreachable(const InstanceId& id) {
  Handle([&](Membership* membership, absl::Time now, Actions* actions) {
    membership->OnUnreachable(id, now, actions);
  });
}

void MemberManager::Leave() {
  absl::flat_hash_set<ProbeId> announced;
  Handle([&](Membership* membership, absl::Time now, Actions* actions) {
    membership->Leave(kLeaveFanout, now, actions);
    for (const MembershipAction& action : *actions) {
      if (const auto* send = std::get_if<SendProbe>(&action)) {
        announced.insert(send->probe);
      }
    }
  });
  const auto all_ended = [&]() ABSL_SHARED_LOCKS_REQUIRED(m_mutex) {
    return std::none_of(m_calls.begin(), m_calls.end(), [&](const Call* call) {
      return announced.contains(call->send.probe);
    });
  };
  absl::MutexLock lock(&m_mutex);
  m_mutex.AwaitWithTimeout(absl::Condition(&all_ended), kLeaveTimeout);
}

void MemberManager::ListMembers(proto::ListMembersReply* reply) {
  reply->set_sheet_version(OwnSheetVersion());
  absl::MutexLock lock(&m_mutex);
  reply->set_self(m_membership.Self().id);
  ToProto(m_membership.All(), reply->mutable_members());
}

std::string MemberManager::Incarnation() const {
  absl::MutexLock lock(&m_mutex);
  return m_membership.Self().incarnation;
}

bool MemberManager::HasJoined() const {
  absl::MutexLock lock(&m_mutex);
  return m_list.LastListRead() != absl::InfinitePast() &&
         m_membership.HasJoined();
}

bool MemberManager::IsStorePoller() const {
  absl::MutexLock lock(&m_mutex);
  return m_store_poller;
}

}  // namespace heatherwick
