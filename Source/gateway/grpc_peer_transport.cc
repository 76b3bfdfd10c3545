// Implements the Leadership service and its client.

#include "Source/gateway/grpc_peer_transport.h"

#include <utility>

#include "Source/proto/leadership.grpc.pb.h"
#include "Source/runtime/grpc_deadline.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "grpcpp/create_channel.h"
#include "grpcpp/security/credentials.h"
#include "grpcpp/security/server_credentials.h"
#include "grpcpp/server_builder.h"
#include "grpcpp/support/channel_arguments.h"

namespace heatherwick {
namespace {

// gRPC's default backoff grows to two minutes, but a peer that comes back must
// be reachable again within a lease (kLeaderLease).
constexpr int kMinReconnectBackoffMs = 50;
constexpr int kMaxReconnectBackoffMs = 300;
// Requesters of the first version do not tell how long they wait.
constexpr absl::Duration kDefaultFollowWait = absl::Milliseconds(600);
// gRPC's message for a call that found no connection and could not open one.
constexpr char kNoConnectionMessage[] = "failed to connect to all addresses";
// The lender ends a loan by itself if it does not hear of its return.
constexpr absl::Duration kReturnTimeout = absl::Seconds(1);
// Longer than the timeout of any call.
constexpr absl::Duration kRetiredChannelLifetime = absl::Seconds(10);
// A larger message fails its call. It is gRPC's default: a call carries a
// statement of up to 1 MiB with the commands before it, or its reply.
constexpr int kMaxMessageBytes = 4 << 20;

proto::LentCommand ToMessage(const TargetCommand& command) {
  proto::LentCommand message;
  message.set_id(command.id);
  message.set_kind(static_cast<uint32_t>(command.kind));
  message.set_text(command.text);
  message.set_name(command.name);
  message.set_argument(command.argument);
  if (command.required_position) {
    message.set_required_term(command.required_position->term);
    message.set_required_lsn(command.required_position->lsn);
  }
  return message;
}

// Returns nothing if the message names a kind that this version does not know.
std::optional<TargetCommand> ToCommand(const proto::LentCommand& message) {
  if (message.kind() > static_cast<uint32_t>(StatementKind::kStatus)) {
    return std::nullopt;
  }
  TargetCommand command;
  command.id = message.id();
  command.kind = static_cast<StatementKind>(message.kind());
  command.text = message.text();
  command.name = message.name();
  command.argument = message.argument();
  if (message.has_required_term()) {
    command.required_position =
        Position{message.required_term(), message.required_lsn()};
  }
  return command;
}

void FillReply(const Reply& reply, proto::LentReply* message) {
  message->set_code(static_cast<uint32_t>(reply.code));
  message->mutable_rows()->Add(reply.rows.begin(), reply.rows.end());
  message->set_signature(reply.signature);
  message->set_error_code(reply.error_code);
  message->set_error_text(reply.error_text);
  message->set_state(static_cast<uint32_t>(reply.state));
  if (reply.position) {
    message->set_term(reply.position->term);
    message->set_lsn(reply.position->lsn);
  }
}

Reply ToReply(const proto::LentReply& message) {
  Reply reply;
  // An unknown code may mean that the statement has run.
  reply.code = message.code() <= static_cast<uint32_t>(ReplyCode::kUnauthorized)
                   ? static_cast<ReplyCode>(message.code())
                   : ReplyCode::kOther;
  reply.rows = {message.rows().begin(), message.rows().end()};
  reply.signature = message.signature();
  reply.error_code = message.error_code();
  reply.error_text = message.error_text();
  reply.state =
      message.state() <= static_cast<uint32_t>(TransactionState::kFailed)
          ? static_cast<TransactionState>(message.state())
          : TransactionState::kFailed;
  if (message.has_term()) {
    reply.position = Position{message.term(), message.lsn()};
  }
  return reply;
}

void FillRow(const StoredRow& row, proto::LeaderRow* leader) {
  leader->set_key(row.key);
  leader->set_value(row.value);
  leader->set_version(row.version);
}

// Only a call that found no connection is known not to have been sent. The peer
// may have received one whose error says that a connection was refused: the
// kernel reports that for a connection that has broken, too.
ErrorKind KindOf(const grpc::Status& status) {
  switch (status.error_code()) {
    case grpc::StatusCode::FAILED_PRECONDITION:
      return ErrorKind::kNotHome;
    case grpc::StatusCode::UNIMPLEMENTED:
      // A peer of an earlier version does not know every call.
      return ErrorKind::kNotSent;
    case grpc::StatusCode::UNAVAILABLE:
      return absl::StartsWith(status.error_message(), kNoConnectionMessage)
                 ? ErrorKind::kNotSent
                 : ErrorKind::kUnavailable;
    default:
      return ErrorKind::kUnavailable;
  }
}

template <typename Rows>
std::vector<StoredRow> ToRows(const Rows& leaders) {
  std::vector<StoredRow> rows;
  for (const proto::LeaderRow& row : leaders) {
    rows.push_back({row.key(), row.value(), row.version(), false});
  }
  return rows;
}

}  // namespace

class GrpcPeerTransport::Service : public proto::Leadership::CallbackService {
 public:
  Service(EventLoop* loop, const Responders* responders)
      : m_loop(loop), m_responders(responders) {}

  grpc::ServerUnaryReactor* Vouch(grpc::CallbackServerContext* context,
                                  const proto::VouchRequest* request,
                                  proto::VouchReply* reply) override {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    m_loop->Post([this, request, reply, reactor]() {
      const VouchResponse answer = m_responders->vouch(
          {request->instance(),
           request->incarnation(),
           request->leaders_version(),
           {request->confirmed().begin(), request->confirmed().end()},
           ToRows(request->announced())});
      reply->set_responder(answer.responder);
      reply->set_responder_incarnation(answer.responder_incarnation);
      reply->set_member_known(answer.member_known);
      reply->set_has_reading(answer.has_reading);
      reply->set_reading_age_us(absl::ToInt64Microseconds(answer.reading_age));
      reply->set_leaders_version(answer.leaders_version);
      reply->set_store_unreachable(answer.store_unreachable);
      for (const StoredRow& row : answer.leaders) {
        FillRow(row, reply->add_leaders());
      }
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* Follow(grpc::CallbackServerContext* context,
                                   const proto::FollowRequest* request,
                                   proto::FollowReply* reply) override {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    m_loop->Post([this, request, reply, reactor]() {
      m_responders->follow(
          {request->table(), request->after(),
           request->has_wait_us() ? absl::Microseconds(request->wait_us())
                                  : kDefaultFollowWait,
           request->has_wait_us()},
          [reply, reactor](const Result<FollowResponse>& answer) {
            if (!Ok(answer)) {
              reactor->Finish({grpc::StatusCode::FAILED_PRECONDITION,
                               ErrorOf(answer).message});
              return;
            }
            FillReply(ValueOf(answer), reply);
            reactor->Finish(grpc::Status::OK);
          });
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* Fetch(grpc::CallbackServerContext* context,
                                  const proto::FetchRequest* request,
                                  proto::FetchReply* reply) override {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    m_loop->Post([this, request, reply, reactor]() {
      Result<std::string> data =
          m_responders->fetch({request->table(), request->key(),
                               request->version(), request->offset()});
      if (!Ok(data)) {
        reactor->Finish(
            {grpc::StatusCode::FAILED_PRECONDITION, ErrorOf(data).message});
        return;
      }
      reply->set_data(std::move(ValueOf(data)));
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* Run(grpc::CallbackServerContext* context,
                                const proto::RunRequest* request,
                                proto::RunReply* reply) override {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    m_loop->Post([this, request, reply, reactor]() {
      RunQuery query{request->group(),
                     request->target(),
                     request->workspace(),
                     request->loan(),
                     {},
                     request->request(),
                     {}};
      if (request->has_terms()) {
        query.terms = {
            request->terms().priority(),
            absl::Microseconds(request->terms().objective_us()),
            absl::Microseconds(request->terms().wait_us()),
        };
      }
      for (const proto::LentCommand& message : request->commands()) {
        std::optional<TargetCommand> command = ToCommand(message);
        if (!command) {
          reply->set_outcome(proto::RunReply::REFUSED);
          reply->set_cause("this version does not know a command's kind");
          reactor->Finish(grpc::Status::OK);
          return;
        }
        query.commands.push_back(std::move(*command));
      }
      m_responders->run(
          std::move(query), [reply, reactor](const RunResponse& response) {
            for (const Reply& answered : response.replies) {
              heatherwick::FillReply(answered, reply->add_replies());
            }
            reply->set_outcome(
                static_cast<proto::RunReply::Outcome>(response.outcome));
            reply->set_loan(response.loan);
            reply->set_cause(response.cause);
            reply->set_retry_after_us(absl::ToInt64Microseconds(
                response.retry_after.value_or(absl::ZeroDuration())));
            if (response.load) {
              proto::LentLoad* const load = reply->mutable_load();
              load->set_running(response.load->running);
              load->set_waiting(response.load->waiting);
              load->set_latency_us(
                  absl::ToInt64Microseconds(response.load->latency));
            }
            reactor->Finish(grpc::Status::OK);
          });
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* Return(grpc::CallbackServerContext* context,
                                   const proto::ReturnRequest* request,
                                   proto::ReturnReply*) override {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    m_loop->Post([this, request, reactor]() {
      m_responders->end_loan(request->loan());
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* Cancel(grpc::CallbackServerContext* context,
                                   const proto::CancelRequest* request,
                                   proto::CancelReply*) override {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    m_loop->Post([this, request, reactor]() {
      m_responders->cancel(request->request());
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* Position(grpc::CallbackServerContext* context,
                                     const proto::PositionRequest* request,
                                     proto::PositionReply* reply) override {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    m_loop->Post([this, request, reply, reactor]() {
      const LenderPosition answer = m_responders->position(request->group());
      reply->set_epoch(answer.epoch);
      reply->set_term(answer.position.term);
      reply->set_lsn(answer.position.lsn);
      reply->set_age_us(absl::ToInt64Microseconds(answer.age));
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

  grpc::ServerUnaryReactor* Quota(grpc::CallbackServerContext* context,
                                  const proto::QuotaRequest* request,
                                  proto::QuotaReply* reply) override {
    grpc::ServerUnaryReactor* const reactor = context->DefaultReactor();
    m_loop->Post([this, request, reply, reactor]() {
      const QuotaResponse answer =
          m_responders->quota({request->workspace(), request->shard(),
                               request->shards(), request->count()});
      reply->set_outcome(
          static_cast<proto::QuotaReply::Outcome>(answer.outcome));
      reply->set_granted(answer.granted);
      reply->set_retry_after_us(absl::ToInt64Microseconds(answer.retry_after));
      reply->set_left(answer.left);
      reactor->Finish(grpc::Status::OK);
    });
    return reactor;
  }

 private:
  static void FillReply(const FollowResponse& answer,
                        proto::FollowReply* reply) {
    for (const StoredRow& row : answer.changes.rows) {
      proto::FollowedRow* const followed = reply->add_rows();
      followed->set_key(row.key);
      followed->set_value(row.value);
      followed->set_version(row.version);
      followed->set_deleted(row.deleted);
    }
    for (const PackedRow& row : answer.packed) {
      proto::FollowedRow* const followed = reply->add_rows();
      followed->set_key(row.key);
      followed->set_version(row.version);
      followed->set_packed_bytes(row.packed_bytes);
      followed->set_value_bytes(row.value_bytes);
    }
    reply->set_version(answer.changes.version);
    reply->set_snapshot(answer.changes.snapshot);
    reply->set_waited_us(absl::ToInt64Microseconds(answer.waited));
    reply->set_age_us(absl::ToInt64Microseconds(answer.age));
    reply->set_reader(answer.reader);
    reply->set_era(answer.era);
    reply->set_failing(answer.failing);
  }

  EventLoop* const m_loop;
  const Responders* const m_responders;
};

GrpcPeerTransport::GrpcPeerTransport(EventLoop* loop, Responders responders)
    : m_loop(loop), m_responders(std::move(responders)) {}

GrpcPeerTransport::~GrpcPeerTransport() {
  *m_alive = false;
}

Status GrpcPeerTransport::Listen(const std::string& address) {
  m_service = std::make_unique<Service>(m_loop, &m_responders);
  grpc::ServerBuilder builder;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(address, grpc::InsecureServerCredentials());
  builder.SetMaxReceiveMessageSize(kMaxMessageBytes);
  builder.SetMaxSendMessageSize(kMaxMessageBytes);
  builder.RegisterService(m_service.get());
  m_server = builder.BuildAndStart();
  if (!m_server) {
    return Error{ErrorKind::kUnavailable,
                 absl::StrCat("cannot listen on ", address),
                 "free the address or change it in the settings"};
  }
  return std::monostate{};
}

std::shared_ptr<grpc::Channel> GrpcPeerTransport::ChannelTo(
    const std::string& address) {
  std::shared_ptr<grpc::Channel>& channel = m_channels[address].channel;
  if (!channel) {
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS,
                     kMinReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, kMinReconnectBackoffMs);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, kMaxReconnectBackoffMs);
    // A new channel must not reuse the broken connection of a dropped channel
    // to the same address.
    arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
    arguments.SetMaxReceiveMessageSize(kMaxMessageBytes);
    arguments.SetMaxSendMessageSize(kMaxMessageBytes);
    // Proxies in the environment must not redirect calls between instances.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    channel = grpc::CreateCustomChannel(
        address, grpc::InsecureChannelCredentials(), arguments);
  }
  return channel;
}

void GrpcPeerTransport::OnMissedDeadline(
    const std::string& address,
    const std::shared_ptr<grpc::Channel>& channel,
    absl::Time sent) {
  const absl::Time now = m_loop->Now();
  while (!m_retired.empty() &&
         now - m_retired.front().first > kRetiredChannelLifetime) {
    m_retired.pop_front();
  }
  const auto found = m_channels.find(address);
  if (found != m_channels.end() && found->second.channel == channel &&
      found->second.last_answer < sent) {
    m_retired.emplace_back(now, std::move(found->second.channel));
    m_channels.erase(found);
  }
}

template <typename Request, typename Reply, typename Method>
void GrpcPeerTransport::Start(const std::string& address,
                              Method method,
                              Request request,
                              absl::Duration timeout,
                              std::function<void(Result<Reply>)> done) {
  struct Call {
    std::shared_ptr<grpc::Channel> channel;
    std::unique_ptr<proto::Leadership::Stub> stub;
    absl::Time sent;
    grpc::ClientContext context;
    Request request;
    Reply reply;
  };
  auto call = std::make_shared<Call>();
  call->channel = ChannelTo(address);
  call->stub = proto::Leadership::NewStub(call->channel);
  call->sent = m_loop->Now();
  call->context.set_deadline(GrpcDeadlineIn(timeout));
  call->request = std::move(request);
  Call* const raw = call.get();
  std::function<void(grpc::Status)> finished =
      [this, address, call = std::move(call), done = std::move(done),
       alive = m_alive](const grpc::Status& status) {
        m_loop->Post([this, address, call, done, alive, status]() {
          if (!*alive) {
            return;
          }
          if (status.ok()) {
            const auto channel = m_channels.find(address);
            if (channel != m_channels.end()) {
              channel->second.last_answer = m_loop->Now();
            }
            done(std::move(call->reply));
            return;
          }
          if (status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED) {
            OnMissedDeadline(address, call->channel, call->sent);
          }
          done(Error{KindOf(status), status.error_message(),
                     "check that the instance runs and can be reached"});
        });
      };
  (raw->stub->async()->*method)(&raw->context, &raw->request, &raw->reply,
                                std::move(finished));
}

void GrpcPeerTransport::Vouch(const std::string& address,
                              const VouchQuery& query,
                              absl::Duration timeout,
                              std::function<void(Result<VouchResponse>)> done) {
  using Async = proto::Leadership::Stub::async_interface;
  using Method =
      void (Async::*)(grpc::ClientContext*, const proto::VouchRequest*,
                      proto::VouchReply*, std::function<void(grpc::Status)>);
  proto::VouchRequest request;
  request.set_instance(query.instance);
  request.set_incarnation(query.incarnation);
  request.set_leaders_version(query.leaders_version);
  request.mutable_confirmed()->insert(query.confirmed.begin(),
                                      query.confirmed.end());
  for (const StoredRow& row : query.announced) {
    FillRow(row, request.add_announced());
  }
  Start<proto::VouchRequest, proto::VouchReply>(
      address, static_cast<Method>(&Async::Vouch), std::move(request), timeout,
      [done = std::move(done)](const Result<proto::VouchReply>& result) {
        if (!Ok(result)) {
          done(ErrorOf(result));
          return;
        }
        const proto::VouchReply& reply = ValueOf(result);
        VouchResponse answer;
        answer.responder = reply.responder();
        answer.responder_incarnation = reply.responder_incarnation();
        answer.member_known = reply.member_known();
        answer.has_reading = reply.has_reading();
        answer.reading_age = absl::Microseconds(reply.reading_age_us());
        answer.leaders_version = reply.leaders_version();
        answer.store_unreachable = reply.store_unreachable();
        answer.leaders = ToRows(reply.leaders());
        done(std::move(answer));
      });
}

void GrpcPeerTransport::Follow(
    const std::string& address,
    const FollowQuery& query,
    absl::Duration timeout,
    std::function<void(Result<FollowResponse>)> done) {
  using Async = proto::Leadership::Stub::async_interface;
  using Method =
      void (Async::*)(grpc::ClientContext*, const proto::FollowRequest*,
                      proto::FollowReply*, std::function<void(grpc::Status)>);
  proto::FollowRequest request;
  request.set_table(query.table);
  request.set_after(query.after);
  request.set_wait_us(absl::ToInt64Microseconds(query.wait));
  Start<proto::FollowRequest, proto::FollowReply>(
      address, static_cast<Method>(&Async::Follow), std::move(request), timeout,
      [done = std::move(done)](const Result<proto::FollowReply>& result) {
        if (!Ok(result)) {
          done(ErrorOf(result));
          return;
        }
        const proto::FollowReply& reply = ValueOf(result);
        FollowResponse answer;
        for (const proto::FollowedRow& row : reply.rows()) {
          if (row.packed_bytes() > 0) {
            answer.packed.push_back({row.key(), row.version(),
                                     row.packed_bytes(), row.value_bytes()});
            continue;
          }
          answer.changes.rows.push_back(
              {row.key(), row.value(), row.version(), row.deleted()});
        }
        answer.changes.version = reply.version();
        answer.changes.snapshot = reply.snapshot();
        answer.waited = absl::Microseconds(reply.waited_us());
        answer.age = absl::Microseconds(reply.age_us());
        answer.reader = reply.reader();
        answer.era = reply.era();
        answer.failing = reply.failing();
        done(std::move(answer));
      });
}

void GrpcPeerTransport::Fetch(const std::string& address,
                              const FetchQuery& query,
                              absl::Duration timeout,
                              std::function<void(Result<std::string>)> done) {
  using Async = proto::Leadership::Stub::async_interface;
  using Method =
      void (Async::*)(grpc::ClientContext*, const proto::FetchRequest*,
                      proto::FetchReply*, std::function<void(grpc::Status)>);
  proto::FetchRequest request;
  request.set_table(query.table);
  request.set_key(query.key);
  request.set_version(query.version);
  request.set_offset(query.offset);
  Start<proto::FetchRequest, proto::FetchReply>(
      address, static_cast<Method>(&Async::Fetch), std::move(request), timeout,
      [done = std::move(done)](const Result<proto::FetchReply>& result) {
        if (!Ok(result)) {
          done(ErrorOf(result));
          return;
        }
        done(std::string(ValueOf(result).data()));
      });
}

void GrpcPeerTransport::Run(const std::string& address,
                            const RunQuery& query,
                            absl::Duration timeout,
                            std::function<void(Result<RunResponse>)> done) {
  using Async = proto::Leadership::Stub::async_interface;
  using Method =
      void (Async::*)(grpc::ClientContext*, const proto::RunRequest*,
                      proto::RunReply*, std::function<void(grpc::Status)>);
  proto::RunRequest request;
  request.set_group(query.group);
  request.set_target(query.target);
  request.set_loan(query.loan);
  request.set_workspace(query.workspace);
  request.set_request(query.request);
  if (query.terms) {
    proto::WaitTerms* const terms = request.mutable_terms();
    terms->set_priority(query.terms->priority);
    terms->set_objective_us(absl::ToInt64Microseconds(query.terms->objective));
    terms->set_wait_us(absl::ToInt64Microseconds(query.terms->wait));
  }
  for (const TargetCommand& command : query.commands) {
    *request.add_commands() = ToMessage(command);
  }
  Start<proto::RunRequest, proto::RunReply>(
      address, static_cast<Method>(&Async::Run), std::move(request), timeout,
      [done = std::move(done)](const Result<proto::RunReply>& result) {
        if (!Ok(result)) {
          done(ErrorOf(result));
          return;
        }
        const proto::RunReply& reply = ValueOf(result);
        RunResponse response;
        response.outcome = static_cast<RunOutcome>(reply.outcome());
        if (!proto::RunReply::Outcome_IsValid(reply.outcome())) {
          response.outcome = RunOutcome::kConnectionLost;
        }
        for (const proto::LentReply& message : reply.replies()) {
          response.replies.push_back(ToReply(message));
        }
        response.loan = reply.loan();
        response.cause = reply.cause();
        if (reply.retry_after_us() > 0) {
          response.retry_after = absl::Microseconds(reply.retry_after_us());
        }
        if (reply.has_load()) {
          response.load =
              TargetLoad{reply.load().running(), reply.load().waiting(),
                         absl::Microseconds(reply.load().latency_us())};
        }
        done(std::move(response));
      });
}

void GrpcPeerTransport::Return(const std::string& address, uint64_t loan) {
  using Async = proto::Leadership::Stub::async_interface;
  using Method =
      void (Async::*)(grpc::ClientContext*, const proto::ReturnRequest*,
                      proto::ReturnReply*, std::function<void(grpc::Status)>);
  proto::ReturnRequest request;
  request.set_loan(loan);
  Start<proto::ReturnRequest, proto::ReturnReply>(
      address, static_cast<Method>(&Async::Return), std::move(request),
      kReturnTimeout, [](const Result<proto::ReturnReply>&) {});
}

void GrpcPeerTransport::Cancel(const std::string& address, uint64_t request) {
  using Async = proto::Leadership::Stub::async_interface;
  using Method =
      void (Async::*)(grpc::ClientContext*, const proto::CancelRequest*,
                      proto::CancelReply*, std::function<void(grpc::Status)>);
  proto::CancelRequest message;
  message.set_request(request);
  Start<proto::CancelRequest, proto::CancelReply>(
      address, static_cast<Method>(&Async::Cancel), std::move(message),
      kReturnTimeout, [](const Result<proto::CancelReply>&) {});
}

void GrpcPeerTransport::QueryPosition(
    const std::string& address,
    const GroupName& group,
    absl::Duration timeout,
    std::function<void(Result<LenderPosition>)> done) {
  using Async = proto::Leadership::Stub::async_interface;
  using Method =
      void (Async::*)(grpc::ClientContext*, const proto::PositionRequest*,
                      proto::PositionReply*, std::function<void(grpc::Status)>);
  proto::PositionRequest request;
  request.set_group(group);
  Start<proto::PositionRequest, proto::PositionReply>(
      address, static_cast<Method>(&Async::Position), std::move(request),
      timeout,
      [done = std::move(done)](const Result<proto::PositionReply>& result) {
        if (!Ok(result)) {
          done(ErrorOf(result));
          return;
        }
        const proto::PositionReply& reply = ValueOf(result);
        done(LenderPosition{reply.epoch(),
                            {reply.term(), reply.lsn()},
                            absl::Microseconds(reply.age_us())});
      });
}

void GrpcPeerTransport::AskQuota(
    const std::string& address,
    const QuotaQuery& query,
    absl::Duration timeout,
    std::function<void(Result<QuotaResponse>)> done) {
  using Async = proto::Leadership::Stub::async_interface;
  using Method =
      void (Async::*)(grpc::ClientContext*, const proto::QuotaRequest*,
                      proto::QuotaReply*, std::function<void(grpc::Status)>);
  proto::QuotaRequest request;
  request.set_workspace(query.workspace);
  request.set_shard(query.shard);
  request.set_shards(query.shards);
  request.set_count(query.count);
  Start<proto::QuotaRequest, proto::QuotaReply>(
      address, static_cast<Method>(&Async::Quota), std::move(request), timeout,
      [done = std::move(done)](const Result<proto::QuotaReply>& result) {
        if (!Ok(result)) {
          done(ErrorOf(result));
          return;
        }
        const proto::QuotaReply& reply = ValueOf(result);
        if (!proto::QuotaReply::Outcome_IsValid(reply.outcome())) {
          done(Error{ErrorKind::kInternal,
                     "the instance gave an unknown outcome",
                     "check that all instances run compatible versions"});
          return;
        }
        done(QuotaResponse{
            static_cast<QuotaOutcome>(reply.outcome()), reply.granted(),
            absl::Microseconds(reply.retry_after_us()), reply.left()});
      });
}

}  // namespace heatherwick
