// What clients outside the deployment's limits can do to a process. In each
// case the process must live, stay within its memory and descriptors, and
// answer an ordinary request afterwards; the crowd itself may be refused.

#include <memory>
#include <string>

#include "Source/base/steady_clock.h"
#include "Tests/platform/misbehaving/limited_instance.h"
#include "absl/strings/match.h"
#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"
#include "boost/asio/read_until.hpp"
#include "boost/asio/write.hpp"
#include "doctest/doctest.h"
#include "platform/wire_codec.h"

namespace heatherwick::platform {
namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Close to the limit of 1 MiB.
constexpr size_t kLongMessageBytes = 1000000;
// Their messages are larger than LimitedInstance::kMemoryMb, of which the
// process takes a third by itself.
constexpr size_t kLongMessageCallers = 96;
// More than LimitedInstance::kMaxDescriptors.
constexpr size_t kManyCallers = 500;
// Part of a long message that callers send who do not finish it.
constexpr size_t kUnfinishedBytes = 900000;
constexpr size_t kPieceBytes = 16384;
// Just below 16 MB in the store's encoding.
constexpr size_t kOversizedRowBytes = 11000000;
// Less than the process and the callers that it admits by limits.maxFds need.
constexpr size_t kFewDescriptors = 100;
constexpr size_t kMaxLogBytes = 100000;
constexpr int kSlowRounds = 40;
constexpr absl::Duration kSlowInterval = absl::Milliseconds(50);

std::string LongRead() {
  return absl::StrCat("QUERY long READ k ", std::string(kLongMessageBytes, 'x'),
                      "\r\n");
}

// The session itself answers it, and the answer repeats the long name.
std::string LongAnswer() {
  return absl::StrCat("QUERY long EXECUTE ",
                      std::string(kLongMessageBytes, 'x'), " 1\r\n");
}

void SendUnfinishedMessages(const Crowd& crowd) {
  for (const auto& caller : crowd) {
    caller->Append(LongRead().substr(0, kUnfinishedBytes));
  }
  SendInTurn(crowd, kPieceBytes);
}

// Guards against limits that refuse a single message of the largest size.
TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_long_message_in_calm_LargestSize_IsServed") {
  Start();
  const Crowd callers = Open(1);
  std::string message = "QUERY long READ k ";
  message.append(kMaxMessageBytes - message.size(), 'x');
  const std::string answer =
      callers.front()->Ask(message + "\r\n", absl::Seconds(10));
  CHECK_MESSAGE(absl::StrContains(answer, "COMPLETE read"), answer);
  CheckHeld();
}

// Guards against an answer to a statement that was sent ahead being taken for
// that of another one: each is answered once, in order, as its own rows show.
TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_statements_sent_ahead_OneConnection_InOrder") {
  Start();
  const Crowd callers = Open(1);
  std::string expected;
  for (int index = 0; index < 50; ++index) {
    callers.front()->Append(
        absl::StrCat("QUERY w", index, " WRITE k v", index, "\r\nQUERY r",
                     index, " READ k\r\nQUERY b", index, " BEGIN\r\nQUERY t",
                     index, " READ k\r\nQUERY c", index, " ROLLBACK\r\n"));
    absl::StrAppend(&expected, "COMPLETE,I,DATAROW v", index,
                    ",COMPLETE,I,COMPLETE,T,DATAROW v", index,
                    ",COMPLETE,T,COMPLETE,I,");
  }
  const absl::Time end = SteadyNow() + absl::Seconds(20);
  std::string received;
  std::string seen;
  while (seen.size() < expected.size() && callers.front()->Open() &&
         SteadyNow() < end) {
    callers.front()->Push(kPieceBytes);
    received += callers.front()->Take(kPieceBytes);
    for (size_t line_end = received.find("\r\n"); line_end != std::string::npos;
         line_end = received.find("\r\n")) {
      const std::string line = received.substr(0, line_end);
      received.erase(0, line_end + 2);
      if (absl::StartsWith(line, "READY ")) {
        seen += line.substr(6, 1) + ",";
      } else if (absl::StartsWith(line, "COMPLETE")) {
        seen += "COMPLETE,";
      } else {
        seen += line + ",";
      }
    }
    absl::SleepFor(absl::Milliseconds(1));
  }
  CHECK(seen == expected);
  CheckHeld();
}

// Guards against reading and keeping the messages of all callers at once.
TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_whole_messages_ManyLegalAtOnce_Held") {
  Start();
  const Crowd crowd = Open(kLongMessageCallers);
  for (const auto& caller : crowd) {
    caller->Append(LongRead());
  }
  SendInTurn(crowd, kLongMessageBytes);
  CheckHeld();
}

// Guards against keeping all messages while they arrive.
TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_messages_in_pieces_ManyLegalAtOnce_Held") {
  Start();
  const Crowd crowd = Open(kLongMessageCallers);
  for (const auto& caller : crowd) {
    caller->Append(LongRead());
  }
  SendInTurn(crowd, kPieceBytes);
  CheckHeld();
}

// Guards against keeping what comes without an end of line.
TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_messages_over_the_limit_WithoutEnd_Held") {
  Start();
  const Crowd crowd = Open(kLongMessageCallers);
  for (const auto& caller : crowd) {
    caller->Append(std::string(4 * kLongMessageBytes, 'x'));
  }
  SendInTurn(crowd, kPieceBytes);
  CheckHeld();
}

// Guards against reading on while a caller does not read its answers.
TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_pipelined_messages_NoAnswerRead_Held") {
  Start();
  const Crowd crowd = Open(1);
  for (int message = 0; message < 100; ++message) {
    crowd.front()->Append(LongAnswer());
  }
  SendInTurn(crowd, kPieceBytes);
  CheckHeld();
}

TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_slow_senders_UnfinishedMessages_Held") {
  Start();
  const Crowd crowd = Open(kLongMessageCallers);
  SendUnfinishedMessages(crowd);
  for (int round = 0; round < kSlowRounds; ++round) {
    for (const auto& caller : crowd) {
      caller->Append("x");
      caller->Push(1);
    }
    absl::SleepFor(kSlowInterval);
  }
  CheckHeld();
}

TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_slow_readers_LongAnswers_Held") {
  Start();
  const Crowd crowd = Open(kLongMessageCallers);
  for (const auto& caller : crowd) {
    caller->Append(LongAnswer());
    caller->Append(LongAnswer());
  }
  SendInTurn(crowd, kPieceBytes);
  for (int round = 0; round < kSlowRounds; ++round) {
    for (const auto& caller : crowd) {
      caller->Push(kPieceBytes);
      caller->Take(16);
    }
    absl::SleepFor(kSlowInterval);
  }
  CheckHeld();
}

// Guards against keeping a descriptor for everyone who connects.
TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_stopped_in_start_ManyConnections_Held") {
  Start();
  const Crowd crowd = Connect(kManyCallers);
  for (const auto& caller : crowd) {
    caller->Append("STA");
  }
  SendInTurn(crowd, kPieceBytes);
  CheckHeld();
}

// Guards against an accept that fails for want of descriptors and is repeated
// at once, for ever: each failure writes a line or counts one that it leaves
// out.
TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_no_descriptor_left_ManyConnections_Held") {
  StartWithDescriptors(kFewDescriptors);
  {
    const Crowd crowd = Connect(kFewDescriptors);
    for (const auto& caller : crowd) {
      caller->Append("START orders u1\r\n");
    }
    SendInTurn(crowd, kPieceBytes);
    absl::SleepFor(absl::Seconds(1));
    CHECK(LogBytes() < kMaxLogBytes);
  }
  CheckHeld();
}

TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_stopped_in_message_ManyUnfinished_Held") {
  Start();
  const Crowd crowd = Open(kLongMessageCallers);
  SendUnfinishedMessages(crowd);
  CheckHeld();
}

// Guards against a rule that exempts callers with an open transaction.
TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_stopped_in_transaction_ManyUnfinished_Held") {
  Start();
  const Crowd crowd = Open(kLongMessageCallers);
  for (const auto& caller : crowd) {
    caller->Ask("QUERY b BEGIN\r\n", absl::Seconds(1));
  }
  SendUnfinishedMessages(crowd);
  CheckHeld();
}

// A target whose answer to a read has far more rows than a process can hold.
class EndlessTarget {
 public:
  explicit EndlessTarget(FakeStore* store)
      : m_server([](tcp::socket socket) { Serve(std::move(socket)); }) {
    store->Put(
        "servers", "endless-0",
        absl::StrCat(R"({"service":"endless","address":")", m_server.Address(),
                     R"(","zone":"z-a","state":"ready","dbRole":"primary"})"));
  }

 private:
  static void Serve(tcp::socket socket) {
    std::string buffer;
    error_code error;
    while (!error) {
      const size_t length = boost::asio::read_until(
          socket, boost::asio::dynamic_buffer(buffer), "\r\n", error);
      if (error) {
        return;
      }
      const std::string line = buffer.substr(0, length);
      buffer.erase(0, length);
      std::string reply;
      if (absl::StrContains(line, "STATUS")) {
        reply = "DATAROW primary 1 1.1 1 0 0 1\r\n";
      }
      if (absl::StrContains(line, "READ ")) {
        const std::string row = absl::StrCat(
            "DATAROW ", std::string(kLongMessageBytes, 'x'), "\r\n");
        for (int count = 0; count < 100 && !error; ++count) {
          boost::asio::write(socket, boost::asio::buffer(row), error);
        }
      }
      if (!absl::StartsWith(line, "START")) {
        reply += "COMPLETE -\r\n";
      }
      reply += "READY I 1.1\r\n";
      boost::asio::write(socket, boost::asio::buffer(reply), error);
    }
  }

  LoopbackServer m_server;
};

// Guards against collecting all rows of an answer.
TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_oversized_target_reply_ManyRows_Held") {
  new EndlessTarget(&Store());  // Its threads live as long as the process.
  Start();
  // The target leads its group only once the instance has read that it does.
  const absl::Time end = SteadyNow() + absl::Seconds(10);
  std::string answer;
  do {
    RawCaller caller(Port());
    caller.Ask("START endless u1\r\n", absl::Seconds(1));
    answer = caller.Ask("QUERY e READ k\r\n", absl::Seconds(3));
  } while (SteadyNow() < end && absl::StartsWith(answer, "ERROR BUSY"));
  MESSAGE("answer: ", answer.substr(0, 80));
  CHECK_FALSE(absl::StartsWith(answer, "ERROR BUSY"));
  CheckHeld();
}

// Guards against decoding whatever the store sends.
TEST_CASE_FIXTURE(LimitedInstance,
                  "Misbehaving_oversized_store_row_IsReadAgain_Held") {
  Start();
  Store().Put("servers", "oversized", std::string(kOversizedRowBytes, 'x'));
  absl::SleepFor(absl::Seconds(2));
  CheckHeld();
}

}  // namespace
}  // namespace heatherwick::platform
