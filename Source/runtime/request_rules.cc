// Applies the rules of the sheet to one request.

#include "Source/runtime/request_rules.h"

#include "Source/base/hash.h"
#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"

namespace heatherwick {

namespace {

template <typename Map>
std::string NamesOf(const Map& rows) {
  return absl::StrJoin(rows, ", ", [](std::string* out, const auto& row) {
    absl::StrAppend(out, row.first);
  });
}

template <typename Map>
Error UnknownNameError(absl::string_view field,
                       const std::string& name,
                       const Map& rows) {
  return {ErrorKind::kInvalidArgument,
          absl::StrCat(field, " \"", name, "\" is not in the sheet"),
          absl::StrCat("use one of: ", NamesOf(rows))};
}

Result<RequestRules> CheckRead(const Sheet& sheet,
                               const proto::ExecuteRequest& request) {
  RequestRules rules;
  rules.repeatable = true;
  rules.request_class = RequestClass::kCurrentRead;
  if (request.read_kind().empty()) {
    return rules;
  }
  const auto kind = sheet.read_kinds.find(request.read_kind());
  if (kind == sheet.read_kinds.end()) {
    return UnknownNameError("read_kind", request.read_kind(), sheet.read_kinds);
  }
  if (kind->second.max_age > absl::ZeroDuration()) {
    rules.request_class = RequestClass::kBoundedStalenessRead;
    rules.max_age = kind->second.max_age;
  }
  return rules;
}

Result<RequestRules> CheckWrite(const Sheet& sheet,
                                const proto::ExecuteRequest& request) {
  RequestRules rules;
  if (request.request_kind().empty()) {
    return rules;
  }
  const auto kind = sheet.request_kinds.find(request.request_kind());
  if (kind == sheet.request_kinds.end()) {
    return UnknownNameError("request_kind", request.request_kind(),
                            sheet.request_kinds);
  }
  rules.repeatable = kind->second.repeatable;
  // The statements of a transaction take effect with its COMMIT, so only the
  // COMMIT needs the key.
  const bool step =
      request.operation() == proto::WRITE && !request.transaction().empty();
  if (!rules.repeatable && !step && request.request_key().empty()) {
    return Error{ErrorKind::kInvalidArgument,
                 absl::StrCat("request_kind \"", request.request_kind(),
                              "\" may not be repeated, but the request has no "
                              "request_key"),
                 "set a request_key that is unique for the caller"};
  }
  return rules;
}

Status CheckFields(const Sheet& sheet, const proto::ExecuteRequest& request) {
  if (!sheet.callers.contains(request.caller())) {
    return UnknownNameError("caller", request.caller(), sheet.callers);
  }
  if (!sheet.groups.contains(request.group())) {
    return UnknownNameError("group", request.group(), sheet.groups);
  }
  const bool has_statement =
      request.operation() == proto::READ || request.operation() == proto::WRITE;
  if (has_statement && request.statement().empty()) {
    return Error{ErrorKind::kInvalidArgument, "the statement is empty",
                 "set the field statement"};
  }
  const bool ends_transaction = request.operation() == proto::COMMIT ||
                                request.operation() == proto::ROLLBACK;
  if (ends_transaction && request.transaction().empty()) {
    return Error{ErrorKind::kInvalidArgument,
                 "the request names no transaction",
                 "set the handle that BEGIN has returned"};
  }
  return std::monostate{};
}

}  // namespace

Result<RequestRules> CheckRequest(const Sheet& sheet,
                                  const proto::ExecuteRequest& request) {
  const Status fields = CheckFields(sheet, request);
  if (!Ok(fields)) {
    return ErrorOf(fields);
  }
  switch (request.operation()) {
    case proto::READ:
      return CheckRead(sheet, request);
    case proto::WRITE:
    case proto::COMMIT:
      return CheckWrite(sheet, request);
    case proto::BEGIN:
    case proto::ROLLBACK:
      return RequestRules();
    default:
      return Error{ErrorKind::kInvalidArgument,
                   "the operation is missing or unknown",
                   "use READ, WRITE, BEGIN, COMMIT or ROLLBACK"};
  }
}

absl::Duration DeadlineOf(const proto::ExecuteRequest& request) {
  return request.deadline_ms() == 0 ? kDefaultDeadline
                                    : absl::Milliseconds(request.deadline_ms());
}

std::string IdempotencyKey(absl::string_view caller, absl::string_view key) {
  return key.empty() ? "" : absl::StrCat(caller, "/", key);
}

uint64_t StatementShape(absl::string_view statement) {
  std::string shape;
  shape.reserve(statement.size());
  char quote = '\0';
  for (const char c : statement) {
    if (quote != '\0') {
      quote = c == quote ? '\0' : quote;
    } else if (c == '\'' || c == '"') {
      quote = c;
      shape.push_back('?');
    } else if (!absl::ascii_isdigit(static_cast<unsigned char>(c))) {
      shape.push_back(c);
    }
  }
  return StableHash(shape);
}

}  // namespace heatherwick
