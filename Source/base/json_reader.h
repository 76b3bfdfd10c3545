// Reads JSON documents that other programs write, with a check of each field.
// nlohmann-json converts numbers silently (-1 to a large unsigned number, 1e300
// to an arbitrary integer); this reader accepts only a field of the expected
// type and range.

#ifndef SOURCE_BASE_JSON_READER_H_
#define SOURCE_BASE_JSON_READER_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "Source/base/error.h"
#include "absl/strings/string_view.h"
#include "nlohmann/json_fwd.hpp"

namespace heatherwick {

// Parses a document. Fails if it is not valid JSON in UTF-8 or nested deeper
// than kMaxJsonDepth.
Result<nlohmann::json> ParseJson(absl::string_view text);

inline constexpr int kMaxJsonDepth = 16;
// Counters that are incremented must not overflow.
inline constexpr uint64_t kMaxCounter = uint64_t{1} << 62;
// Names of databases, groups, instances and the like.
inline constexpr size_t kMaxNameBytes = 200;

// Reads the fields of one object. The first error is kept, and each later call
// returns a default value, so that a document is read field by field and
// checked once.
class JsonReader {
 public:
  // `object` must outlive the reader. It is an error if it is no object.
  explicit JsonReader(const nlohmann::json& object);

  bool Has(const char* field) const;

  // The functions without a default require the field.

  // An integer from `min` to `max`.
  uint64_t Number(const char* field, uint64_t min, uint64_t max);
  uint64_t NumberOr(const char* field,
                    uint64_t default_value,
                    uint64_t min,
                    uint64_t max);
  // A number from 0 to `max` that need not be whole.
  double Amount(const char* field, double max);
  double AmountOr(const char* field, double default_value, double max);
  // A text of 1 to kMaxNameBytes bytes without blanks and control characters,
  // so that it can be used in lines of protocols and logs.
  std::string Name(const char* field);
  // As Name(), but may be empty or missing.
  std::string NameOr(const char* field, const std::string& default_value);
  bool Flag(const char* field);
  bool FlagOr(const char* field, bool default_value);
  // An object whose values are integers up to kMaxCounter.
  std::map<std::string, uint64_t> Counters(const char* field);

  // The first error; kInvalidArgument with the field's name.
  const Status& Result() const { return m_status; }

 private:
  // The field, or null if it is missing or an error was found before.
  const nlohmann::json* Find(const char* field, bool required);
  void Fail(const char* field, const std::string& cause);

  const nlohmann::json& m_object;
  Status m_status;
};

// True if `name` is a valid value for JsonReader::Name().
bool IsName(absl::string_view name);

}  // namespace heatherwick

#endif  // SOURCE_BASE_JSON_READER_H_
