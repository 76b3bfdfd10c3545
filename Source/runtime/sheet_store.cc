// Rows hold serialized proto::SheetHead messages; objects hold the CSV text.

#include "Source/runtime/sheet_store.h"
#include "Source/base/steady_clock.h"

#include <optional>
#include <variant>

#include "absl/strings/str_cat.h"
#include "absl/time/clock.h"

namespace heatherwick {

namespace {

Result<SheetHead> ParseHead(const std::string& key, const std::string& value) {
  proto::SheetHead head;
  if (!head.ParseFromString(value)) {
    return Error{ErrorKind::kInternal,
                 absl::StrCat("row ", key, " holds no sheet head"),
                 "restore the row from the platform's backup"};
  }
  return FromProto(head);
}

template <typename T>
std::optional<T> OptionalOf(const Result<T>& result) {
  return Ok(result) ? std::optional<T>(ValueOf(result)) : std::nullopt;
}

}  // namespace

proto::SheetHead ToProto(const SheetHead& head) {
  proto::SheetHead message;
  message.set_version(head.version);
  message.set_content_hash(head.content_hash);
  message.set_submission(head.submission);
  message.set_submitted_by(head.submitted_by);
  message.set_submitted_unix_ms(head.submitted_unix_ms);
  message.set_base_version(head.base_version);
  return message;
}

SheetHead FromProto(const proto::SheetHead& head) {
  return {head.version(),      head.content_hash(),      head.submission(),
          head.submitted_by(), head.submitted_unix_ms(), head.base_version()};
}

SheetStore::SheetStore(StoreClient* client, absl::Duration timeout)
    : m_client(client), m_timeout(timeout) {}

Result<StoredHead> SheetStore::ReadHead() const {
  const Result<TableRow> row = m_client->ReadRow(kSheetHeadRow, m_timeout);
  if (!Ok(row)) {
    return ErrorOf(row);
  }
  if (ValueOf(row).version == 0) {
    return StoredHead{};
  }
  const Result<SheetHead> head = ParseHead(kSheetHeadRow, ValueOf(row).value);
  if (!Ok(head)) {
    return ErrorOf(head);
  }
  return StoredHead{ValueOf(row).version, ValueOf(head)};
}

Result<SheetHead> SheetStore::ReadHistory(uint64_t version) const {
  const std::string key = SheetHistoryRow(version);
  const Result<TableRow> row = m_client->ReadRow(key, m_timeout);
  if (!Ok(row)) {
    return ErrorOf(row);
  }
  if (ValueOf(row).version == 0) {
    return SheetHead{};
  }
  return ParseHead(key, ValueOf(row).value);
}

Result<std::string> SheetStore::ReadContent(const SheetHead& head) const {
  return m_client->GetObject(SheetObjectName(head.content_hash), m_timeout);
}

bool SheetStore::WriteHistory(const SheetHead& head) const {
  const Result<uint64_t> written =
      m_client->WriteRow(SheetHistoryRow(head.version), 0,
                         ToProto(head).SerializeAsString(), m_timeout);
  // A conflict means that another submission has written the same row.
  return Ok(written) || ErrorOf(written).kind == ErrorKind::kConflict;
}

HeadWrite SheetStore::WriteHead(const ReplaceHead& replace) const {
  const Result<uint64_t> written =
      m_client->WriteRow(kSheetHeadRow, replace.expected_row_version,
                         ToProto(replace.head).SerializeAsString(), m_timeout);
  if (Ok(written)) {
    return HeadWrite::kWritten;
  }
  return ErrorOf(written).kind == ErrorKind::kConflict ? HeadWrite::kConflict
                                                       : HeadWrite::kNoReply;
}

SubmissionEnded SheetStore::Submit(const SheetHead& head,
                                   const std::string& content,
                                   absl::Time deadline) const {
  SheetSubmission submission(head, deadline);
  SubmissionStep step = submission.Start();
  while (true) {
    absl::SleepFor(step.delay);
    if (const auto* ended = std::get_if<SubmissionEnded>(&step.action)) {
      return *ended;
    }
    if (const auto* store = std::get_if<StoreContent>(&step.action)) {
      const Status stored =
          m_client->PutObject(store->name, content, m_timeout);
      step = submission.OnContentStored(Ok(stored), SteadyNow());
    } else if (const auto* history =
                   std::get_if<StoreHistoryRow>(&step.action)) {
      const bool stored = WriteHistory(history->head);
      step = submission.OnHistoryStored(stored, SteadyNow());
    } else if (const auto* read = std::get_if<ReadHistoryRow>(&step.action)) {
      const Result<SheetHead> row = ReadHistory(read->version);
      step = submission.OnHistory(OptionalOf(row), SteadyNow());
    } else if (const auto* replace = std::get_if<ReplaceHead>(&step.action)) {
      const HeadWrite result = WriteHead(*replace);
      step = submission.OnHeadWritten(result, SteadyNow());
    } else {
      const Result<StoredHead> stored = ReadHead();
      step = submission.OnHead(OptionalOf(stored), SteadyNow());
    }
  }
}

}  // namespace heatherwick
