// Guards against statements that are altered when they are forwarded, and
// against accepting invalid input.

#include "platform/wire_codec.h"

#include <string>

#include "doctest/doctest.h"

namespace heatherwick::platform {
namespace {

class WireCodecFixture {
 protected:
  static Statement Parse(const std::string& line) {
    Result<Statement> parsed = ParseQuery(line);
    REQUIRE(Ok(parsed));
    return ValueOf(parsed);
  }
  static std::string Forward(const Statement& statement) {
    TargetCommand command;
    command.id = statement.id;
    command.kind = statement.kind;
    command.text = statement.text;
    command.name = statement.name;
    command.argument = statement.argument;
    return FormatCommand(command);
  }
  Result<std::optional<Reply>> Read(std::initializer_list<const char*> lines) {
    Result<std::optional<Reply>> read = std::optional<Reply>();
    for (const char* line : lines) {
      read = m_reader.OnLine(line);
    }
    return read;
  }

  ReplyReader m_reader;
};

TEST_CASE_FIXTURE(WireCodecFixture, "ParseQuery_ReadsAndWrites_KeepTheirText") {
  for (const char* text :
       {"READ 1a4", "WRITE 1a4 some data  with blanks ", "COMMIT"}) {
    const Statement statement = Parse(std::string("QUERY 5c0e ") + text);
    CHECK(statement.text == text);
    CHECK(Forward(statement) == std::string("QUERY 5c0e ") + text + "\r\n");
  }
}

TEST_CASE_FIXTURE(WireCodecFixture, "ParseQuery_EachKind_IsRecognized") {
  CHECK(Parse("QUERY a BEGIN").kind == StatementKind::kBegin);
  CHECK(Parse("QUERY a BEGIN READ").kind == StatementKind::kBeginReadOnly);
  CHECK(Parse("QUERY a ROLLBACK").kind == StatementKind::kRollback);
  const Statement prepare = Parse("QUERY a PREPARE s1 WRITE q2c");
  CHECK(prepare.kind == StatementKind::kPrepareWrite);
  CHECK(prepare.name == "s1");
  CHECK(prepare.argument == "q2c");
  const Statement execute = Parse("QUERY a EXECUTE s1 1a4 xk pq");
  CHECK(execute.argument == "1a4 xk pq");
  CHECK(Parse("QUERY a SET zone b c").argument == "b c");
  CHECK(Parse("QUERY a CLOSE s1").kind == StatementKind::kDeallocate);
}

TEST_CASE_FIXTURE(WireCodecFixture, "ParseQuery_InvalidInput_IsAnError") {
  for (const char* line :
       {"", "QUERY", "QUERY a", "QUERY - READ x", "QUERY a READ",
        "QUERY a BEGIN WRITE", "QUERY a DROP x", "QUERY a PREPARE s x y",
        "QUERY a PREPARE s READ", "QUERY a EXECUTE s", "QUERY a SET z",
        "QUERY a COMMIT now", "query a READ x", "QUERY a AFTER 1.1 READ x"}) {
    CAPTURE(line);
    CHECK_FALSE(Ok(ParseQuery(line)));
  }
  CHECK_FALSE(Ok(ParseStart("HELLO db u")));
  CHECK_FALSE(Ok(ParseStart("START ")));
}

TEST_CASE_FIXTURE(WireCodecFixture, "ParseStart_WithKey_ReturnsBoth") {
  const Result<StartMessage> start = ParseStart("START db k1");
  REQUIRE(Ok(start));
  CHECK(ValueOf(start).database == "db");
  CHECK(ValueOf(start).key == "k1");
}

// A target must be told the workspace, and a fixed word if there is none.
TEST_CASE_FIXTURE(WireCodecFixture, "FormatTargetStart_Workspace_IsNamed") {
  CHECK(FormatTargetStart("g", "w", "i-1") == "START g w i-1\r\n");
  CHECK(FormatTargetStart("g", "", "i-1") == "START g heatherwick i-1\r\n");
}

TEST_CASE_FIXTURE(WireCodecFixture,
                  "FormatCommand_RequiredPosition_PrecedesText") {
  TargetCommand command;
  command.id = "5c0e";
  command.kind = StatementKind::kRead;
  command.text = "READ 1a4";
  command.required_position = Position{3, 1207};
  CHECK(FormatCommand(command) == "QUERY 5c0e AFTER 3.1207 READ 1a4\r\n");
  command.id.clear();
  command.kind = StatementKind::kBeginReadOnly;
  CHECK(FormatCommand(command) == "QUERY - AFTER 3.1207 BEGIN READ\r\n");
}

TEST_CASE_FIXTURE(WireCodecFixture,
                  "ReplyReader_RowsAndSignature_AreForwarded") {
  const auto read =
      Read({"DATAROW a b", "DATAROW c", "COMPLETE 7.1f3", "READY T 3.9"});
  REQUIRE(Ok(read));
  REQUIRE(ValueOf(read).has_value());
  const Reply& reply = *ValueOf(read);
  CHECK(FormatReply(reply) ==
        "DATAROW a b\r\nDATAROW c\r\nCOMPLETE 7.1f3\r\nREADY T 3.9\r\n");
}

TEST_CASE_FIXTURE(WireCodecFixture, "ReplyReader_ErrorThenReply_AreSeparate") {
  auto read = Read({"DATAROW a", "ERROR READONLY i-7", "READY E 3.1"});
  REQUIRE(ValueOf(read).has_value());
  CHECK(ValueOf(read)->code == ReplyCode::kReadOnly);
  CHECK(ValueOf(read)->state == TransactionState::kFailed);
  read = Read({"COMPLETE -", "READY I -"});
  REQUIRE(ValueOf(read).has_value());
  CHECK(ValueOf(read)->rows.empty());
  CHECK(ValueOf(read)->error_code.empty());
  CHECK_FALSE(ValueOf(read)->position.has_value());
}

TEST_CASE_FIXTURE(WireCodecFixture, "ReplyReader_UnknownMessage_IsAnError") {
  CHECK_FALSE(Ok(Read({"HELLO"})));
  CHECK_FALSE(Ok(Read({"READY Q 1.1"})));
}

// A statement with an unknown error code may have run, so it must not be
// treated as not run.
TEST_CASE_FIXTURE(WireCodecFixture,
                  "ReplyReader_UnknownCode_DoesNotMeanNotRun") {
  const auto read = Read({"ERROR STRANGE x", "READY I 1.1"});
  REQUIRE(ValueOf(read).has_value());
  CHECK_FALSE(MeansNotRun(ValueOf(read)->code));
  CHECK(FormatReply(*ValueOf(read)) == "ERROR STRANGE x\r\nREADY I 1.1\r\n");
}

}  // namespace
}  // namespace heatherwick::platform
