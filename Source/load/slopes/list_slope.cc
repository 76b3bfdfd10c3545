// Drives ListSchedule objects in virtual time against a store with a limited
// rate. The instances do not inform each other, which is the worst case.

#include "Source/load/slopes/list_slope.h"

#include <algorithm>
#include <memory>
#include <random>
#include <vector>

#include "Source/decision/list_schedule.h"

namespace heatherwick {

namespace {

constexpr absl::Duration kStep = absl::Milliseconds(100);
// The platform's store serves about this many reads per step.
constexpr size_t kStoreReadsPerStep = 200;
constexpr size_t kStepsPerSecond = 10;

class ListReaders {
 public:
  ListReaders(size_t instances, uint64_t seed) : m_random(seed) {
    for (size_t i = 0; i < instances; ++i) {
      m_readers.push_back({std::make_unique<ListSchedule>(ListScheduleOptions{},
                                                          m_random, m_now),
                           false});
    }
  }

  // Runs until every instance has read the list once, or for `max_duration`.
  // The store serves `capacity` reads per step; further reads fail.
  void Run(absl::Duration max_duration, size_t capacity) {
    const absl::Time start = m_now;
    m_max_attempts_per_second = 0;
    m_attempts = 0;
    std::vector<size_t> attempts_in_last_second(kStepsPerSecond, 0);
    for (size_t step = 0; m_now - start < max_duration; ++step) {
      attempts_in_last_second[step % kStepsPerSecond] = Step(capacity);
      size_t reads = 0;
      for (const size_t count : attempts_in_last_second) {
        reads += count;
      }
      m_max_attempts_per_second = std::max(m_max_attempts_per_second, reads);
      m_now += kStep;
      if (std::all_of(m_readers.begin(), m_readers.end(),
                      [](const Reader& reader) { return reader.has_read; })) {
        break;
      }
    }
    m_elapsed_seconds = absl::ToDoubleSeconds(m_now - start);
  }

  void ClearHasRead() {
    for (Reader& reader : m_readers) {
      reader.has_read = false;
    }
  }

  SlopeReport::Row Row(double outage_s) const {
    return {{"instances", static_cast<double>(m_readers.size())},
            {"outage_s", outage_s},
            {"attempts", static_cast<double>(m_attempts)},
            {"most_attempts_in_a_second",
             static_cast<double>(m_max_attempts_per_second)},
            {"all_have_read_s", m_elapsed_seconds}};
  }

 private:
  struct Reader {
    std::unique_ptr<ListSchedule> schedule;
    bool has_read;
  };

  size_t Step(size_t capacity) {
    size_t attempts = 0;
    for (Reader& reader : m_readers) {
      if (!reader.schedule->IsDue(m_now)) {
        continue;
      }
      if (++attempts <= capacity) {
        reader.schedule->OnRead(m_readers.size(), m_now);
        reader.has_read = true;
      } else {
        reader.schedule->OnReadFailed(m_now);
      }
    }
    m_attempts += attempts;
    return attempts;
  }

  std::mt19937_64 m_random;
  absl::Time m_now = absl::UnixEpoch();
  std::vector<Reader> m_readers;
  size_t m_max_attempts_per_second = 0;
  size_t m_attempts = 0;
  double m_elapsed_seconds = 0;
};

}  // namespace

void MeasureListReads(uint64_t seed, SlopeReport* report) {
  constexpr absl::Duration kOutage = absl::Hours(1);
  constexpr absl::Duration kMaxDuration = absl::Minutes(10);
  for (const size_t instances : {60, 600, 1300, 3900}) {
    ListReaders readers(instances, seed);
    readers.Run(kMaxDuration, kStoreReadsPerStep);
    report->Add(readers.Row(0));
    readers.ClearHasRead();
    readers.Run(kOutage, 0);
    readers.Run(kMaxDuration, kStoreReadsPerStep);
    report->Add(readers.Row(absl::ToDoubleSeconds(kOutage)));
  }
}

}  // namespace heatherwick
