// The gRPC reactor of a stream to a target.

#include "Source/runtime/grpc_target_connection.h"
#include "Source/runtime/grpc_deadline.h"

#include <utility>

#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

Error BrokenConnectionError(const std::string& detail) {
  return {ErrorKind::kUnavailable,
          absl::StrCat("the connection to the target was lost: ", detail),
          "repeat reads; resolve keyed writes"};
}

}  // namespace

GrpcTargetConnection::GrpcTargetConnection(
    const std::shared_ptr<grpc::Channel>& channel)
    : m_stub(proto::Target::NewStub(channel)) {}

void GrpcTargetConnection::Open(absl::Duration timeout,
                                TargetDriver::Opened opened,
                                std::function<void()> closed) {
  m_self = shared_from_this();
  {
    absl::MutexLock lock(&m_mutex);
    m_opened = std::move(opened);
    m_closed = std::move(closed);
  }
  m_stub->async()->Connect(&m_context, this);
  // Statements are also started outside of gRPC's callbacks. The hold keeps the
  // call alive between statements; Break removes it.
  AddHold();
  StartRead(&m_reply);
  StartCall();
  const std::weak_ptr<GrpcTargetConnection> weak = m_self;
  m_open_alarm.Set(GrpcDeadlineIn(timeout), [weak](bool ok) {
    const auto self = weak.lock();
    if (ok && self != nullptr) {
      self->Break();
    }
  });
  proto::StatementRequest ping;
  ping.set_operation(proto::ROLLBACK);
  Execute(std::move(ping), [weak](const Result<proto::StatementReply>& result) {
    const auto self = weak.lock();
    if (self != nullptr) {
      self->OnOpenReply(result);
    }
  });
}

void GrpcTargetConnection::Execute(proto::StatementRequest request,
                                   Callback done) {
  {
    absl::MutexLock lock(&m_mutex);
    if (!m_broken) {
      m_request = std::move(request);
      m_request.set_sequence(++m_sequence);
      m_done = std::move(done);
      m_writing = true;
      StartWrite(&m_request);
      return;
    }
  }
  done(BrokenConnectionError("it was closed before the statement was sent"));
}

void GrpcTargetConnection::Close() {
  Break();
}

void GrpcTargetConnection::Break() {
  {
    absl::MutexLock lock(&m_mutex);
    if (m_broken) {
      return;
    }
    m_broken = true;
  }
  m_context.TryCancel();
  RemoveHold();
}

void GrpcTargetConnection::OnReadDone(bool ok) {
  if (!ok) {
    Break();
    return;
  }
  proto::StatementReply reply = std::move(m_reply);
  m_reply.Clear();
  Callback done;
  {
    absl::MutexLock lock(&m_mutex);
    if (m_done == nullptr || reply.sequence() != m_sequence) {
      reply.Clear();
    } else if (m_writing) {
      m_early_reply = std::move(reply);
      StartRead(&m_reply);
      return;
    } else {
      done = std::exchange(m_done, nullptr);
    }
  }
  if (done == nullptr) {
    Break();
    return;
  }
  StartRead(&m_reply);
  done(std::move(reply));
}

void GrpcTargetConnection::OnWriteDone(bool ok) {
  if (!ok) {
    Break();
    return;
  }
  Callback done;
  std::optional<proto::StatementReply> reply;
  {
    absl::MutexLock lock(&m_mutex);
    m_writing = false;
    reply = std::exchange(m_early_reply, std::nullopt);
    if (reply) {
      done = std::exchange(m_done, nullptr);
    }
  }
  if (done != nullptr) {
    done(*std::move(reply));
  }
}

void GrpcTargetConnection::OnOpenReply(
    const Result<proto::StatementReply>& result) {
  m_open_alarm.Cancel();
  const bool refused =
      Ok(result) && ValueOf(result).refusal() == proto::NO_CONNECTION;
  TargetDriver::Opened opened;
  {
    absl::MutexLock lock(&m_mutex);
    opened = std::exchange(m_opened, nullptr);
    if (!Ok(result) || refused) {
      m_closed = nullptr;
    }
  }
  if (opened == nullptr) {
    return;
  }
  if (refused) {
    Break();
    opened(Error{ErrorKind::kOverloaded,
                 "the target has reached its connection limit",
                 "wait until another instance closes connections"});
  } else if (!Ok(result)) {
    opened(ErrorOf(result));
  } else {
    opened(std::shared_ptr<TargetConnection>(shared_from_this()));
  }
}

void GrpcTargetConnection::OnDone(const grpc::Status& status) {
  Callback done;
  std::function<void()> closed;
  {
    absl::MutexLock lock(&m_mutex);
    m_broken = true;
    done = std::exchange(m_done, nullptr);
  }
  if (done != nullptr) {
    done(BrokenConnectionError(status.error_message()));
  }
  {
    absl::MutexLock lock(&m_mutex);
    closed = std::exchange(m_closed, nullptr);
  }
  if (closed != nullptr) {
    closed();
  }
  m_self.reset();  // May destroy this object.
}

}  // namespace heatherwick
