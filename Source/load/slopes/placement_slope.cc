// Ranks the candidate homes of every group of a region before and after one
// instance leaves.

#include "Source/load/slopes/placement_slope.h"
#include "Source/base/steady_clock.h"

#include <string>
#include <vector>

#include "Source/decision/placement.h"
#include "Source/load/slopes/process_usage.h"
#include "absl/strings/str_cat.h"

namespace heatherwick {

namespace {

constexpr size_t kDataCentres = 3;
constexpr size_t kDatabasesPerGroup = 3;
// Number of candidates that an entry instance (one that receives requests)
// keeps for each group.
constexpr size_t kRanksPerGroup = 3;

struct PlacementSize {
  size_t instances;
  size_t databases;
};

constexpr PlacementSize kSizes[] = {
    {6, 9},       {60, 90},    {60, 900},    {558, 900},    {558, 3150},
    {558, 22000}, {600, 3150}, {3900, 3150}, {3900, 22000},
};

std::vector<PlacementCandidate> MakeCandidates(size_t count) {
  std::vector<PlacementCandidate> candidates;
  candidates.reserve(count);
  for (size_t i = 0; i < count; ++i) {
    candidates.push_back({absl::StrCat("instance-", 10000 + i),
                          absl::StrCat("data-centre-", i % kDataCentres)});
  }
  return candidates;
}

std::vector<std::vector<size_t>> RankAll(
    size_t groups,
    const std::vector<PlacementCandidate>& candidates) {
  std::vector<std::vector<size_t>> ranked;
  ranked.reserve(groups);
  for (size_t i = 0; i < groups; ++i) {
    ranked.push_back(
        RankCandidates(absl::StrCat("group-", i), candidates, kRanksPerGroup));
  }
  return ranked;
}

void MeasureSize(const PlacementSize& size, SlopeReport* report) {
  const size_t groups =
      (size.databases + kDatabasesPerGroup - 1) / kDatabasesPerGroup;
  std::vector<PlacementCandidate> candidates = MakeCandidates(size.instances);
  const double memory_before = UsageOf("self").resident_bytes;
  const absl::Time start = SteadyNow();
  const auto before = RankAll(groups, candidates);
  const double seconds = absl::ToDoubleSeconds(SteadyNow() - start);
  const double memory = UsageOf("self").resident_bytes - memory_before;
  // The last instance leaves, so that the indexes of the others do not change.
  const size_t leaver = candidates.size() - 1;
  candidates.pop_back();
  const auto after = RankAll(groups, candidates);
  size_t leaver_homes = 0;
  size_t moved_homes = 0;
  for (size_t i = 0; i < groups; ++i) {
    leaver_homes += before[i][0] == leaver ? 1 : 0;
    moved_homes += before[i][0] != after[i][0] ? 1 : 0;
  }
  const double pairs = static_cast<double>(groups * size.instances);
  report->Add({{"instances", static_cast<double>(size.instances)},
               {"databases", static_cast<double>(size.databases)},
               {"groups", static_cast<double>(groups)},
               {"pairs", pairs},
               {"rank_all_ms", seconds * 1e3},
               {"ns_per_pair", seconds * 1e9 / pairs},
               {"result_kb", memory / 1e3},
               {"homes_of_leaver", static_cast<double>(leaver_homes)},
               {"homes_moved", static_cast<double>(moved_homes)}});
}

}  // namespace

void MeasurePlacement(SlopeReport* report) {
  for (const PlacementSize& size : kSizes) {
    MeasureSize(size, report);
  }
  report->AddFit("pairs", "rank_all_ms");
}

}  // namespace heatherwick
