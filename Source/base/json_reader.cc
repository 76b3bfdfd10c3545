// Checks the type and range of each field before it is converted.

#include "Source/base/json_reader.h"

#include <algorithm>
#include <stdexcept>

#include "absl/strings/ascii.h"
#include "absl/strings/str_cat.h"
#include "nlohmann/json.hpp"

namespace heatherwick {

using nlohmann::json;

namespace {

class TooDeep : public std::runtime_error {
 public:
  TooDeep()
      : std::runtime_error(
            absl::StrCat("nested deeper than ", kMaxJsonDepth, " levels")) {}
};

bool IsCounter(const json& value, uint64_t min, uint64_t max) {
  // A negative integer is not of the unsigned type.
  return value.is_number_unsigned() && value.get<uint64_t>() >= min &&
         value.get<uint64_t>() <= max;
}

}  // namespace

Result<json> ParseJson(absl::string_view text) {
  const auto check_depth = [](int depth, json::parse_event_t, json&) {
    if (depth > kMaxJsonDepth) {
      throw TooDeep();
    }
    return true;
  };
  try {
    return json::parse(text.begin(), text.end(), check_depth);
  } catch (const json::parse_error& error) {
    // The library's own text quotes the document, which may contain keys.
    return Error{ErrorKind::kInvalidArgument,
                 absl::StrCat("not valid JSON at byte ", error.byte),
                 "correct the document"};
  } catch (const json::exception& error) {
    return Error{ErrorKind::kInvalidArgument,
                 absl::StrCat("not valid JSON, error ", error.id),
                 "correct the document"};
  } catch (const TooDeep& error) {
    return Error{ErrorKind::kInvalidArgument, error.what(),
                 "correct the document"};
  }
}

bool IsName(absl::string_view name) {
  return !name.empty() && name.size() <= kMaxNameBytes &&
         std::none_of(name.begin(), name.end(), [](char byte) {
           return absl::ascii_isspace(static_cast<unsigned char>(byte)) ||
                  absl::ascii_iscntrl(static_cast<unsigned char>(byte));
         });
}

JsonReader::JsonReader(const json& object) : m_object(object) {
  if (!object.is_object()) {
    m_status =
        Error{ErrorKind::kInvalidArgument,
              absl::StrCat("an object is expected, not ", object.type_name()),
              "correct the document"};
  }
}

bool JsonReader::Has(const char* field) const {
  return m_object.contains(field);
}

const json* JsonReader::Find(const char* field, bool required) {
  if (!Ok(m_status)) {
    return nullptr;
  }
  const auto found = m_object.find(field);
  if (found != m_object.end()) {
    return &*found;
  }
  if (required) {
    Fail(field, "is missing");
  }
  return nullptr;
}

void JsonReader::Fail(const char* field, const std::string& cause) {
  m_status = Error{ErrorKind::kInvalidArgument,
                   absl::StrCat("field \"", field, "\" ", cause),
                   "correct the document"};
}

uint64_t JsonReader::Number(const char* field, uint64_t min, uint64_t max) {
  (void)Find(field, true);
  return NumberOr(field, min, min, max);
}

uint64_t JsonReader::NumberOr(const char* field,
                              uint64_t default_value,
                              uint64_t min,
                              uint64_t max) {
  const json* const value = Find(field, false);
  if (value == nullptr) {
    return default_value;
  }
  if (!IsCounter(*value, min, max)) {
    Fail(field, absl::StrCat("is not an integer from ", min, " to ", max));
    return default_value;
  }
  return value->get<uint64_t>();
}

double JsonReader::Amount(const char* field, double max) {
  (void)Find(field, true);
  return AmountOr(field, 0, max);
}

double JsonReader::AmountOr(const char* field,
                            double default_value,
                            double max) {
  const json* const value = Find(field, false);
  if (value == nullptr) {
    return default_value;
  }
  if (!value->is_number() || !(value->get<double>() >= 0) ||
      value->get<double>() > max) {
    Fail(field, absl::StrCat("is not a number from 0 to ", max));
    return default_value;
  }
  return value->get<double>();
}

std::string JsonReader::Name(const char* field) {
  const json* const value = Find(field, true);
  if (value == nullptr) {
    return "";
  }
  if (!value->is_string() || !IsName(value->get_ref<const std::string&>())) {
    Fail(field, absl::StrCat("is not a name of 1 to ", kMaxNameBytes,
                             " bytes without blanks"));
    return "";
  }
  return value->get<std::string>();
}

std::string JsonReader::NameOr(const char* field,
                               const std::string& default_value) {
  const json* const value = Find(field, false);
  if (value == nullptr) {
    return default_value;
  }
  const bool empty =
      value->is_string() && value->get_ref<const std::string&>().empty();
  return empty ? "" : Name(field);
}

bool JsonReader::Flag(const char* field) {
  (void)Find(field, true);
  return FlagOr(field, false);
}

bool JsonReader::FlagOr(const char* field, bool default_value) {
  const json* const value = Find(field, false);
  if (value == nullptr) {
    return default_value;
  }
  if (!value->is_boolean()) {
    Fail(field, "is neither true nor false");
    return default_value;
  }
  return value->get<bool>();
}

std::map<std::string, uint64_t> JsonReader::Counters(const char* field) {
  std::map<std::string, uint64_t> counters;
  const json* const value = Find(field, true);
  if (value == nullptr) {
    return counters;
  }
  if (!value->is_object()) {
    Fail(field, "is not an object");
    return counters;
  }
  for (const auto& [name, counter] : value->items()) {
    if (!IsCounter(counter, 0, kMaxCounter)) {
      Fail(field, absl::StrCat("has a value that is not an integer from 0 to ",
                               kMaxCounter));
      return {};
    }
    counters[name] = counter.get<uint64_t>();
  }
  return counters;
}

}  // namespace heatherwick
