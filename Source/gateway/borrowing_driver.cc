// Sends the commands of a link to a lender, and chooses the lender.

#include "Source/gateway/borrowing_driver.h"

#include <algorithm>
#include <deque>
#include <utility>

#include "Source/base/hash.h"
#include "absl/strings/str_cat.h"
#include "glog/logging.h"

namespace heatherwick {
namespace {

// Of a command without a deadline. The session watches a statement's timeout
// itself; the call may take longer by the margin.
constexpr absl::Duration kRunTimeout = absl::Seconds(4);
constexpr absl::Duration kRunTimeoutMargin = absl::Seconds(1);
// A lender that failed is avoided for a time that doubles with each failure.
constexpr absl::Duration kFirstAvoidance = absl::Milliseconds(250);
constexpr absl::Duration kLongestAvoidance = absl::Seconds(8);
// The upper bits of a request's number identify the run of the instance.
constexpr int kIncarnationShift = 32;
// Commands that no lender has run are offered to so many lenders.
constexpr int kMaxOffers = 3;
// If there is no free connection, the target is overloaded more likely than its
// lender.
constexpr int kMaxOffersWithoutConnection = 3;
// If a lender expects that it cannot serve the commands in time, the backlog is
// the target's most likely. One more is asked.
constexpr int kMaxOffersBeyondBacklog = 2;
// A request that a lender held for this long before it refused it was late
// there. A budget limits how often such a request is offered again.
constexpr absl::Duration kLateRefusal = absl::Milliseconds(50);
// A lender that had no connection is asked after the others for this time,
// which is as long as a lender holds a request.
constexpr absl::Duration kFullDuration = absl::Milliseconds(250);
// With more such marks, those that have ended are removed.
constexpr size_t kMaxFullMarks = 256;
constexpr absl::Duration kLenderCheckTimeout = absl::Milliseconds(250);
// A link that is closed while its lender has not answered for this long shows
// that the lender may be gone.
constexpr absl::Duration kSuspectAfter = absl::Milliseconds(180);

}  // namespace

// Commands that are sent together are run as a chain. Lives until its last call
// has been answered, because a loan that arrives late must be returned.
class BorrowingDriver::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(BorrowingDriver* driver,
       ListedTarget target,
       WorkspaceName workspace,
       std::function<void(Error)> on_close)
      : m_driver(driver),
        m_target(std::move(target)),
        m_workspace(std::move(workspace)),
        m_on_close(std::move(on_close)) {}

  void Opened(const std::function<void(Result<Position>)>& on_open) {
    if (!m_closed) {
      on_open(Position());
    }
  }

  void Send(TargetCommand command, ReplyHandler on_reply) {
    m_queue.push_back({std::move(command), std::move(on_reply)});
    if (!m_flush_scheduled) {
      m_flush_scheduled = true;
      m_driver->m_loop->Post([self = shared_from_this()]() {
        self->m_flush_scheduled = false;
        self->Flush();
      });
    }
  }

  void Close() {
    if (std::exchange(m_closed, true)) {
      return;
    }
    m_on_close = nullptr;
    m_queue.clear();
    if (m_in_flight) {
      m_driver->m_transport->Cancel(m_lender.address, m_request);
      if (m_driver->m_loop->Now() - m_sent > kSuspectAfter) {
        ReportOutcome(ReadOutcome::kSlow);
        m_driver->Suspect(m_lender, m_target.group);
      }
    } else {
      ReturnLoan();
    }
  }

 private:
  struct Entry {
    TargetCommand command;
    ReplyHandler on_reply;
  };

  // Only the outcomes of reads outside transactions are reported: others are
  // not placed by load, and may fail because of what they contain.
  void ReportOutcome(ReadOutcome outcome) {
    if (m_driver->m_observer == nullptr || m_loan != 0 || m_running.empty()) {
      return;
    }
    const StatementKind kind = m_running.back().command.kind;
    if (kind == StatementKind::kRead || kind == StatementKind::kExecute) {
      m_driver->m_observer->OnTargetOutcome(m_target, outcome);
    }
  }

  void Report(const RunResponse& response) {
    if (m_driver->m_observer == nullptr) {
      return;
    }
    if (response.load) {
      m_driver->m_observer->OnTargetLoad(m_target, m_lender.id, *response.load);
    }
    // A request that this side withdrew does not show how the target is, and
    // neither does a lender that does not lend.
    if (!m_closed && response.outcome != RunOutcome::kRefused) {
      ReportOutcome(OutcomeOf(response));
    }
  }

  static ReadOutcome OutcomeOf(const RunResponse& response) {
    if (response.outcome == RunOutcome::kConnectionLost) {
      return ReadOutcome::kFailed;
    }
    if (response.outcome == RunOutcome::kNoConnection) {
      return ReadOutcome::kRefused;
    }
    if (response.replies.empty()) {
      return ReadOutcome::kDone;
    }
    switch (response.replies.back().code) {
      case ReplyCode::kFailed:
        return ReadOutcome::kFailed;
      case ReplyCode::kBusy:
        return ReadOutcome::kRefused;
      case ReplyCode::kLagging:
        return ReadOutcome::kLagging;
      default:
        return ReadOutcome::kDone;
    }
  }

  void ReturnLoan() {
    if (m_loan != 0) {
      m_driver->m_transport->Return(m_lender.address, std::exchange(m_loan, 0));
    }
  }

  void Flush() {
    if (m_closed || m_in_flight || m_queue.empty()) {
      return;
    }
    m_running = std::exchange(m_queue, {});
    m_offers = 0;
    m_refused_by.clear();
    m_retry_after = absl::InfiniteDuration();
    Offer();
  }

  // Sends the running commands, to any lender if there is no loan.
  void Offer() {
    if (m_loan == 0) {
      const std::optional<Lender> lender = m_driver->Choose(
          m_target.group, m_target.id, m_workspace, m_refused_by);
      if (!lender) {
        Refuse("the group has no lender");
        return;
      }
      m_lender = *lender;
    }
    ++m_offers;
    m_in_flight = true;
    m_sent = m_driver->m_loop->Now();
    m_request = m_driver->m_next_request++;
    const WaitTerms& terms = m_running.front().command.terms;
    RunQuery query{m_target.group, m_target.id, m_workspace, m_loan, {},
                   m_request,      {}};
    if (terms.wait_until != absl::InfiniteFuture()) {
      query.terms = {terms.priority, terms.objective - m_sent,
                     terms.wait_until - m_sent};
    }
    const absl::Duration timeout =
        terms.deadline == absl::InfiniteFuture()
            ? kRunTimeout
            : std::max(kRunTimeout,
                       terms.deadline - m_sent + kRunTimeoutMargin);
    for (const Entry& entry : m_running) {
      query.commands.push_back(entry.command);
    }
    m_driver->m_transport->Run(
        m_lender.address, query, timeout,
        [self = shared_from_this()](Result<RunResponse> answer) {
          self->OnAnswer(std::move(answer));
        });
  }

  void OnAnswer(Result<RunResponse> answer) {
    m_in_flight = false;
    if (!Ok(answer)) {
      m_driver->Avoid(m_lender, ErrorOf(answer).message);
      const bool not_run = ErrorOf(answer).kind == ErrorKind::kNotSent;
      if (not_run && m_loan == 0) {
        OfferAgain(ErrorOf(answer).message, kMaxOffers);
      } else {
        m_loan = 0;
        Fail(ErrorOf(answer));
      }
      return;
    }
    RunResponse& response = ValueOf(answer);
    Report(response);
    switch (response.outcome) {
      case RunOutcome::kDone:
        m_driver->OnAnswered(m_lender);
        m_driver->m_offer_budget.OnCompleted(m_driver->m_loop->Now());
        m_loan = response.loan;
        Deliver(std::move(response.replies));
        return;
      case RunOutcome::kRefused:
        if (m_closed) {
          // The request was withdrawn, which is not the lender's fault.
          m_loan = 0;
        } else if (m_loan == 0) {
          m_driver->Avoid(m_lender, response.cause);
          OfferAgain(response.cause, kMaxOffers);
        } else {
          // The lender has rolled the transaction back.
          m_loan = 0;
          Refuse(response.cause);
        }
        return;
      case RunOutcome::kNoConnection:
        OnNoConnection(response);
        return;
      case RunOutcome::kConnectionLost:
        m_loan = 0;
        Fail({ErrorKind::kUnavailable, response.cause, "check the target"});
        return;
    }
  }

  void OnNoConnection(const RunResponse& response) {
    const absl::Time now = m_driver->m_loop->Now();
    if (m_closed) {
      return;
    }
    m_driver->MarkFull(m_lender, m_target.id, m_workspace);
    const bool late = now - m_sent >= kLateRefusal;
    if (late && m_offers < kMaxOffersWithoutConnection &&
        !m_driver->MayOfferAgain()) {
      Refuse(response.cause, response.retry_after);
      return;
    }
    // A lender that did not expect to be late may serve a later attempt.
    m_retry_after = response.retry_after && m_retry_after
                        ? std::min(*m_retry_after, *response.retry_after)
                        : std::optional<absl::Duration>();
    OfferAgain(response.cause, response.retry_after
                                   ? kMaxOffersBeyondBacklog
                                   : kMaxOffersWithoutConnection);
  }

  void OfferAgain(const std::string& cause, int max_offers) {
    if (m_closed) {
      return;
    }
    m_refused_by.insert(m_lender.id);
    if (m_offers < max_offers) {
      Offer();
    } else {
      Refuse(cause, m_retry_after != absl::InfiniteDuration()
                        ? m_retry_after
                        : std::optional<absl::Duration>());
    }
  }

  void Deliver(std::vector<Reply> replies) {
    std::deque<Entry> answered = std::exchange(m_running, {});
    for (size_t index = 0; index < std::min(replies.size(), answered.size());
         ++index) {
      if (!m_closed) {
        answered[index].on_reply(std::move(replies[index]));
      }
    }
    if (m_closed) {
      ReturnLoan();
      return;
    }
    Flush();
  }

  // Answers the first of the running commands, of which none has run.
  void Refuse(const std::string& cause,
              std::optional<absl::Duration> retry_after = {}) {
    Reply reply;
    reply.code = ReplyCode::kBusy;
    reply.retry_after = retry_after;
    reply.error_text = absl::StrCat("no lender ran the statement: ", cause);
    Deliver({std::move(reply)});
  }

  void Fail(const Error& error) {
    m_running.clear();
    m_queue.clear();
    const auto on_close = std::exchange(m_on_close, nullptr);
    m_closed = true;
    if (on_close) {
      on_close(error);
    }
  }

  BorrowingDriver* const m_driver;
  const ListedTarget m_target;
  const WorkspaceName m_workspace;
  std::function<void(Error)> m_on_close;
  std::deque<Entry> m_queue;    // Not sent yet.
  std::deque<Entry> m_running;  // Sent and not answered.
  bool m_flush_scheduled = false;
  bool m_in_flight = false;
  bool m_closed = false;
  int m_offers = 0;
  std::set<InstanceId> m_refused_by;  // Lenders that refused the commands.
  // The earliest of the times to return that these lenders named; nothing if
  // one of them named none.
  std::optional<absl::Duration> m_retry_after;
  absl::Time m_sent;
  Lender m_lender;         // Of the loan or of the latest offer.
  uint64_t m_request = 0;  // Of the call in flight.
  uint64_t m_loan = 0;     // Not 0 while a transaction is open.
};

namespace {

// Owned by a target connection.
template <typename Link>
class BorrowedLink : public TargetLink {
 public:
  explicit BorrowedLink(std::shared_ptr<Link> link) : m_link(std::move(link)) {}
  ~BorrowedLink() override { m_link->Close(); }

  void Send(TargetCommand command, ReplyHandler on_reply) override {
    m_link->Send(std::move(command), std::move(on_reply));
  }
  void Close() override { m_link->Close(); }
  bool Borrowed() const override { return true; }

 private:
  const std::shared_ptr<Link> m_link;
};

}  // namespace

BorrowingDriver::BorrowingDriver(EventLoop* loop,
                                 TargetDriver* direct,
                                 LendingTransport* transport,
                                 uint64_t incarnation)
    : m_loop(loop),
      m_direct(direct),
      m_transport(transport),
      m_next_request((incarnation << kIncarnationShift) + 1) {}

void BorrowingDriver::SetLenders(const GroupName& group,
                                 std::vector<Lender> lenders) {
  m_lenders[group] = std::move(lenders);
}

bool BorrowingDriver::Borrows(const GroupName& group) const {
  const auto lenders = m_lenders.find(group);
  return lenders != m_lenders.end() && !lenders->second.empty();
}

std::unique_ptr<TargetLink> BorrowingDriver::Open(
    const ListedTarget& target,
    const WorkspaceName& workspace,
    std::function<void(Result<Position>)> on_open,
    std::function<void(Error)> on_close) {
  if (!Borrows(target.group)) {
    return OpenDirect(target, workspace, std::move(on_open),
                      std::move(on_close));
  }
  auto link =
      std::make_shared<Link>(this, target, workspace, std::move(on_close));
  m_loop->Post(
      [link, on_open = std::move(on_open)]() { link->Opened(on_open); });
  return std::make_unique<BorrowedLink<Link>>(std::move(link));
}

std::unique_ptr<TargetLink> BorrowingDriver::OpenDirect(
    const ListedTarget& target,
    const WorkspaceName& workspace,
    std::function<void(Result<Position>)> on_open,
    std::function<void(Error)> on_close) {
  return m_direct->Open(target, workspace, std::move(on_open),
                        std::move(on_close));
}

std::unique_ptr<TargetLink> BorrowingDriver::Borrow(
    const ListedTarget& target,
    const WorkspaceName& workspace,
    const std::function<void(Error)>& on_close) {
  if (!Choose(target.group, target.id, workspace, {})) {
    return nullptr;
  }
  return std::make_unique<BorrowedLink<Link>>(
      std::make_shared<Link>(this, target, workspace, on_close));
}

std::optional<TargetStatus> BorrowingDriver::ParseStatus(const Reply& reply) {
  return m_direct->ParseStatus(reply);
}

void BorrowingDriver::QueryPosition(
    const GroupName& group,
    absl::Duration timeout,
    std::function<void(Result<LenderPosition>)> done) {
  const std::optional<Lender> lender = Choose(group, "", "", {});
  if (!lender) {
    m_loop->Post([done = std::move(done)]() {
      done(Error{ErrorKind::kUnavailable, "the group has no lender", ""});
    });
    return;
  }
  m_transport->QueryPosition(lender->address, group, timeout, std::move(done));
}

std::vector<BorrowingDriver::Lender> BorrowingDriver::InOrderFor(
    const WorkspaceName& workspace,
    std::vector<Lender> lenders) {
  if (!workspace.empty()) {
    const uint64_t seed = StableHash(workspace);
    std::stable_sort(lenders.begin(), lenders.end(),
                     [seed](const Lender& first, const Lender& second) {
                       return std::pair(!first.same_data_centre,
                                        StableHash(first.id, seed)) <
                              std::pair(!second.same_data_centre,
                                        StableHash(second.id, seed));
                     });
  }
  return lenders;
}

std::optional<BorrowingDriver::Lender> BorrowingDriver::Choose(
    const GroupName& group,
    const TargetId& target,
    const WorkspaceName& workspace,
    const std::set<InstanceId>& except) const {
  auto lenders = m_lenders.find(group);
  if (lenders == m_lenders.end() || lenders->second.empty()) {
    lenders = m_neighbours.find(group);
    if (lenders == m_neighbours.end()) {
      return std::nullopt;
    }
  }
  const absl::Time now = m_loop->Now();
  std::optional<Lender> chosen;
  absl::Time chosen_until;
  for (const Lender& lender : InOrderFor(workspace, lenders->second)) {
    if (except.contains(lender.id)) {
      continue;
    }
    const auto avoided = m_avoided.find(lender.id);
    const auto full = m_full_until.find({lender.id, target, workspace});
    const absl::Time until = std::max(
        avoided == m_avoided.end() ? absl::InfinitePast()
                                   : avoided->second.until,
        full == m_full_until.end() ? absl::InfinitePast() : full->second);
    if (now >= until) {
      return lender;
    }
    if (!chosen || until < chosen_until) {
      chosen = lender;
      chosen_until = until;
    }
  }
  return chosen;
}

void BorrowingDriver::MarkFull(const Lender& lender,
                               const TargetId& target,
                               const WorkspaceName& workspace) {
  const absl::Time now = m_loop->Now();
  if (m_full_until.size() >= kMaxFullMarks) {
    std::erase_if(m_full_until,
                  [now](const auto& mark) { return mark.second <= now; });
  }
  m_full_until[{lender.id, target, workspace}] = now + kFullDuration;
}

bool BorrowingDriver::MayOfferAgain() {
  const RepeatOutcome outcome = m_offer_budget.OnRefusedLate(m_loop->Now());
  if (m_metrics != nullptr) {
    m_metrics->Count(absl::StrCat("late_offers/", RepeatOutcomeName(outcome)));
  }
  return outcome == RepeatOutcome::kAllowed;
}

void BorrowingDriver::Suspect(const Lender& lender, const GroupName& group) {
  if (!m_suspected.insert(lender.id).second) {
    return;
  }
  m_transport->QueryPosition(
      lender.address, group, kLenderCheckTimeout,
      [this, lender](const Result<LenderPosition>& answer) {
        m_suspected.erase(lender.id);
        if (!Ok(answer)) {
          Avoid(lender, "no answer to a statement and a check");
        }
      });
}

void BorrowingDriver::Avoid(const Lender& lender, const std::string& cause) {
  const absl::Time now = m_loop->Now();
  Avoided& avoided = m_avoided[lender.id];
  if (now < avoided.until) {
    return;
  }
  avoided.duration =
      std::clamp(2 * avoided.duration, kFirstAvoidance, kLongestAvoidance);
  avoided.until = now + avoided.duration;
  LOG(INFO) << "event=lender_avoided lender=" << lender.id
            << " ms=" << absl::ToInt64Milliseconds(avoided.duration)
            << " cause=\"" << cause << "\"";
}

}  // namespace heatherwick
