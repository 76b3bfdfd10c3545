// Feeds random changes of valid messages and documents to the parsers of the
// line protocol and of the store's rows, for a limited time. Guards against
// input that ends the process or makes it grow.

#include <algorithm>
#include <fstream>
#include <random>
#include <string>
#include <vector>

#include "Source/base/steady_clock.h"
#include "doctest/doctest.h"
#include "platform/documents.h"
#include "platform/wire_codec.h"

namespace heatherwick::platform {
namespace {

constexpr absl::Duration kTimeLimit = absl::Seconds(2);
constexpr int kMaxChanges = 8;
constexpr size_t kMaxRepeats = 2000;
// What the C library may keep of the memory that was freed. The address
// sanitizer keeps 256 MB of it, to recognise later uses.
#if defined(__SANITIZE_ADDRESS__)
constexpr size_t kMaxGrowthKb = (256 + 32) << 10;
#else
constexpr size_t kMaxGrowthKb = 32 << 10;
#endif
constexpr size_t kDeepNesting = 300000;

const std::vector<std::string>& Messages() {
  static const std::vector<std::string> messages = {
      "START orders key",
      "QUERY q1 READ k",
      "QUERY q1 WRITE k v",
      "QUERY q1 BEGIN READ",
      "QUERY q1 PREPARE p WRITE shape",
      "QUERY q1 EXECUTE p 1 2",
      "QUERY q1 SET name value",
      "QUERY q1 DEALLOCATE p",
      "TERMINATE",
      "DATAROW primary 1 1.5 1 0 0 1",
      "COMPLETE write.s-0",
      "ERROR BUSY retry after 100 ms",
      "READY I 18446744073709551615.18446744073709551615",
      "READY T -",
  };
  return messages;
}

const std::vector<std::string>& Documents() {
  static const std::vector<std::string> documents = {
      R"({"version":7,"routes":[{"name":"r","host":"db",)"
      R"("type":"bounded_staleness","timeoutMs":800,"targetLatencyMs":120,)"
      R"("priority":1,"service":"s","maxStalenessMs":1500}],)"
      R"("services":[{"name":"s","maxConnections":16,"syncReplicas":1}],)"
      R"("tenants":[{"name":"w","apiKeys":["k"],"ratePerS":5,"burst":5}],)"
      R"("limits":{"txIdleMs":2500}})",
      R"({"service":"s","address":"127.0.0.1:7000","zone":"z-a",)"
      R"("state":"ready","dbRole":"primary"})",
  };
  return documents;
}

// Changes, removes, repeats and inserts bytes.
std::string Change(std::string text, std::mt19937* random) {
  const auto below = [random](size_t limit) { return (*random)() % limit; };
  for (size_t change = below(kMaxChanges); change > 0 && !text.empty();
       --change) {
    const size_t at = below(text.size());
    switch (below(5)) {
      case 0:
        text[at] = static_cast<char>(below(256));
        break;
      case 1:
        text.erase(at, 1 + below(text.size() - at));
        break;
      case 2:
        text.insert(at, below(kMaxRepeats), text[at]);
        break;
      case 3:
        text.insert(at, text.substr(below(text.size()), below(100)));
        break;
      default:
        text[at] = " .-0\"{}[]\\,:"[below(13)];
        break;
    }
  }
  return text;
}

size_t ResidentKb() {
  std::ifstream file("/proc/self/status");
  std::string word;
  while (file >> word) {
    if (word == "VmRSS:") {
      size_t kilobytes = 0;
      file >> kilobytes;
      return kilobytes;
    }
  }
  return 0;
}

// Calls `parse` with random input until the time is over and checks that the
// memory does not grow after the first half of it.
template <typename Parse>
void RunRandomly(const std::vector<std::string>& valid, const Parse& parse) {
  const absl::Time start = SteadyNow();
  size_t half_way_kb = 0;
  uint32_t seed = 0;
  while (SteadyNow() < start + kTimeLimit) {
    ++seed;
    CAPTURE(seed);
    std::mt19937 random(seed);
    parse(Change(valid[random() % valid.size()], &random));
    if (half_way_kb == 0 && SteadyNow() > start + kTimeLimit / 2) {
      half_way_kb = ResidentKb();
    }
  }
  MESSAGE("seeds 1 to ", seed);
  CHECK(ResidentKb() < half_way_kb + kMaxGrowthKb);
}

TEST_CASE("WireParsers_RandomMessages_NeitherEndNorGrow") {
  ReplyReader reader;
  RunRandomly(Messages(), [&reader](const std::string& line) {
    (void)ParseStart(line);
    (void)ParseQuery(line);
    (void)IsTerminate(line);
    (void)ParsePosition(line);
    const size_t before = reader.Bytes();
    const Result<std::optional<Reply>> reply = reader.OnLine(line);
    // What is kept of a reply is counted, so that it can be limited.
    const bool complete = Ok(reply) && ValueOf(reply).has_value();
    CHECK(reader.Bytes() <= before + line.size() + sizeof(std::string));
    CHECK((!complete || reader.Bytes() == 0));
    if (!Ok(reply) || reader.Bytes() > 100000) {
      reader = ReplyReader();  // The connection is closed.
    }
  });
}

TEST_CASE("RowParsers_RandomDocuments_NeitherEndNorGrow") {
  RunRandomly(Documents(), [](const std::string& document) {
    (void)DecodeConfiguration(document);
    (void)DecodeTarget("t", document);
  });
}

// A parser or a destructor that calls itself for each level ends the process.
TEST_CASE("RowParsers_DeeplyNestedDocument_IsRejected") {
  for (const char* open : {"[", "{\"a\":"}) {
    std::string document;
    for (size_t level = 0; level < kDeepNesting; ++level) {
      document += open;
    }
    CHECK_FALSE(Ok(DecodeConfiguration(document)));
    CHECK_FALSE(Ok(DecodeTarget("t", document)));
  }
  const std::string closed =
      std::string(kDeepNesting, '[') + std::string(kDeepNesting, ']');
  CHECK_FALSE(Ok(DecodeConfiguration(closed)));
  CHECK_FALSE(Ok(DecodeTarget("t", closed)));
}

}  // namespace
}  // namespace heatherwick::platform
