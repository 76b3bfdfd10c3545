// Measures the cost and the spread of changes with MembershipNetwork.

#include "Source/load/slopes/membership_slope.h"

#include <algorithm>
#include <functional>
#include <limits>
#include <vector>

#include "Source/load/slopes/membership_network.h"
#include "Source/load/slopes/process_usage.h"

namespace heatherwick {

namespace {

// Overhead of each message: HTTP/2 frames with compressed headers, TCP and IP.
// An upper estimate, because the simulation sends no real packets.
constexpr double kMessageOverheadBytes = 200;
constexpr absl::Duration kSettleTime = absl::Seconds(5);
constexpr absl::Duration kStep = absl::Milliseconds(100);
constexpr absl::Duration kMaxWait = absl::Seconds(300);
constexpr uint64_t kNewSheetVersion = 2;

// Seconds until a fraction of the nodes that are up meets a condition. NaN if
// that takes longer than kMaxWait.
struct SpreadTimes {
  double half = std::numeric_limits<double>::quiet_NaN();
  double p99 = std::numeric_limits<double>::quiet_NaN();  // 99% of the nodes.
  double all = std::numeric_limits<double>::quiet_NaN();
};

// Runs the network until `is_informed` holds for all nodes that are up except
// `changed`, or for kMaxWait.
SpreadTimes RunUntil(MembershipNetwork* network,
                     size_t changed,
                     const std::function<bool(size_t node)>& is_informed) {
  const absl::Time start = network->Now();
  SpreadTimes times;
  while (network->Now() - start < kMaxWait) {
    network->Run(kStep);
    double nodes_up = 0;
    double informed_nodes = 0;
    for (size_t i = 0; i < network->Size(); ++i) {
      if (i != changed && network->IsUp(i)) {
        nodes_up += 1;
        informed_nodes += is_informed(i) ? 1 : 0;
      }
    }
    const double seconds = absl::ToDoubleSeconds(network->Now() - start);
    const auto record_time = [&](double share, double* time) {
      if (informed_nodes >= share * nodes_up && !(*time > 0)) {
        *time = seconds;
      }
    };
    record_time(0.5, &times.half);
    record_time(0.99, &times.p99);
    record_time(1, &times.all);
    if (informed_nodes == nodes_up) {
      break;
    }
  }
  return times;
}

SpreadTimes RunUntilState(MembershipNetwork* network,
                          size_t changed,
                          MemberState state) {
  return RunUntil(network, changed, [=](size_t node) {
    return network->StateAt(node, changed) == state;
  });
}

SpreadTimes RunUntilSheet(MembershipNetwork* network, size_t source) {
  return RunUntil(network, source, [=](size_t node) {
    return network->Sheet(node) >= kNewSheetVersion;
  });
}

class SpreadSample {
 public:
  void Add(const SpreadTimes& times) {
    m_half.push_back(times.half);
    m_all.push_back(times.all);
  }
  // Adds the median of the time to half of the nodes, and the median and the
  // greatest value of the time to all nodes.
  void AddTo(const std::string& name, SlopeReport::Row* row) const {
    row->emplace_back(name + "_half_s", QuantileOf(m_half, 0.5));
    row->emplace_back(name + "_all_s", QuantileOf(m_all, 0.5));
    row->emplace_back(name + "_worst_s",
                      *std::max_element(m_all.begin(), m_all.end()));
  }

 private:
  std::vector<double> m_half;
  std::vector<double> m_all;
};

void MeasureSpreadAt(size_t nodes,
                     double loss,
                     uint64_t seed,
                     uint64_t runs,
                     SlopeReport* report) {
  SpreadSample crash;
  SpreadSample leave;
  SpreadSample restart;
  SpreadSample sheet;
  for (uint64_t run = 0; run < runs; ++run) {
    NetworkOptions options;
    options.nodes_per_region = nodes;
    options.loss = loss;
    options.seed = seed + run;
    MembershipNetwork network(options);
    network.Run(kSettleTime);
    network.SetSheet(0, kNewSheetVersion);
    sheet.Add(RunUntilSheet(&network, 0));
    network.Leave(1);
    leave.Add(RunUntilState(&network, 1, MemberState::kLeaving));
    network.Crash(2);
    crash.Add(RunUntilState(&network, 2, MemberState::kDead));
    network.Restart(2);
    restart.Add(RunUntilState(&network, 2, MemberState::kAlive));
  }
  SlopeReport::Row row = {{"nodes", static_cast<double>(nodes)},
                          {"loss", loss},
                          {"runs", static_cast<double>(runs)}};
  crash.AddTo("crash", &row);
  leave.AddTo("leave", &row);
  restart.AddTo("restart", &row);
  sheet.AddTo("sheet", &row);
  report->Add(row);
}

void MeasureCostAt(const NetworkOptions& options, SlopeReport* report) {
  constexpr absl::Duration kMeasured = absl::Seconds(20);
  const double memory_before = UsageOf("self").resident_bytes;
  MembershipNetwork network(options);
  network.Run(kSettleTime);
  const double nodes = static_cast<double>(network.Size());
  const double memory =
      (UsageOf("self").resident_bytes - memory_before) / nodes;
  network.ResetTraffic();
  const double processor_before = UsageOf("self").processor_seconds;
  network.Run(kMeasured);
  const double processor = UsageOf("self").processor_seconds - processor_before;
  const double node_seconds = nodes * absl::ToDoubleSeconds(kMeasured);
  const auto& traffic = network.TrafficSinceReset();
  const double messages = static_cast<double>(traffic.messages) / node_seconds;
  const double bytes = static_cast<double>(traffic.bytes) / node_seconds;
  // Each message is sent by one node and received by another.
  report->Add({{"nodes", nodes},
               {"regions", static_cast<double>(options.regions)},
               {"loss", options.loss},
               {"messages_sent_per_node_s", messages},
               {"encoded_sent_bytes_per_node_s", bytes},
               {"sent_and_received_bytes_per_node_s",
                2 * (bytes + messages * kMessageOverheadBytes)},
               {"processor_us_per_node_s", processor * 1e6 / node_seconds},
               {"memory_kb_per_node", memory / 1e3},
               {"false_deaths", static_cast<double>(traffic.deaths)}});
}

// Changes come from nodes of region 0; there are seven regions.
void MeasureRegionsAt(size_t per_region,
                      double loss,
                      uint64_t seed,
                      SlopeReport* report) {
  constexpr absl::Duration kPartitionTime = absl::Seconds(60);
  constexpr size_t kRegions = 7;
  constexpr size_t kPartitionedRegion = 3;
  NetworkOptions options;
  options.regions = kRegions;
  options.nodes_per_region = per_region;
  options.loss = loss;
  options.seed = seed;
  MembershipNetwork network(options);
  network.Run(kSettleTime);
  network.SetSheet(0, kNewSheetVersion);
  const SpreadTimes sheet = RunUntilSheet(&network, 0);
  network.Leave(1);
  const SpreadTimes leave = RunUntilState(&network, 1, MemberState::kLeaving);
  network.PartitionRegion(kPartitionedRegion, true);
  network.Leave(2);
  network.SetSheet(0, kNewSheetVersion + 1);
  network.Run(kPartitionTime);
  network.PartitionRegion(kPartitionedRegion, false);
  const SpreadTimes sheet_healed =
      RunUntil(&network, 0, [&network](size_t node) {
        return network.Sheet(node) > kNewSheetVersion;
      });
  const SpreadTimes healed = RunUntilState(&network, 2, MemberState::kLeaving);
  report->Add({{"nodes", static_cast<double>(network.Size())},
               {"regions", static_cast<double>(kRegions)},
               {"loss", loss},
               {"sheet_all_s", sheet.all},
               {"leave_half_s", leave.half},
               {"leave_99_s", leave.p99},
               {"leave_all_s", leave.all},
               {"sheet_after_cut_all_s", sheet_healed.all},
               {"leave_after_cut_all_s", sheet_healed.all + healed.all},
               {"false_deaths",
                static_cast<double>(network.TrafficSinceReset().deaths)}});
}

void MeasureMassChangeAt(size_t nodes,
                         size_t failed,
                         uint64_t seed,
                         SlopeReport* report) {
  NetworkOptions options;
  options.nodes_per_region = nodes;
  options.seed = seed;
  MembershipNetwork network(options);
  network.Run(kSettleTime);
  for (size_t i = 0; i < failed; ++i) {
    network.Crash(i);
  }
  network.ResetTraffic();
  const absl::Time start = network.Now();
  const auto all_in_state = [&](MemberState state) {
    return [&network, failed, state](size_t node) {
      if (node < failed) {
        return true;
      }
      for (size_t i = 0; i < failed; ++i) {
        if (network.StateAt(node, i) != state) {
          return false;
        }
      }
      return true;
    };
  };
  const SpreadTimes dead =
      RunUntil(&network, nodes, all_in_state(MemberState::kDead));
  const double seconds = absl::ToDoubleSeconds(network.Now() - start);
  const double bytes = static_cast<double>(network.TrafficSinceReset().bytes);
  for (size_t i = 0; i < failed; ++i) {
    network.Restart(i);
  }
  const SpreadTimes back =
      RunUntil(&network, nodes, all_in_state(MemberState::kAlive));
  report->Add({{"nodes", static_cast<double>(nodes)},
               {"failed", static_cast<double>(failed)},
               {"dead_half_s", dead.half},
               {"dead_all_s", dead.all},
               {"encoded_sent_bytes_per_node_s",
                bytes / seconds / static_cast<double>(nodes - failed)},
               {"back_half_s", back.half},
               {"back_all_s", back.all}});
}

}  // namespace

void MeasureMembershipCost(uint64_t seed, SlopeReport* report) {
  // At the size that the system is designed for, a region has 557 instances on
  // average.
  for (const auto& [regions, per_region] :
       std::vector<std::pair<size_t, size_t>>{
           {1, 6}, {1, 60}, {1, 186}, {1, 558}, {3, 200}, {7, 186}, {7, 557}}) {
    NetworkOptions options;
    options.regions = regions;
    options.nodes_per_region = per_region;
    options.seed = seed;
    options.loss = 0.001;
    MeasureCostAt(options, report);
  }
  report->AddFit("nodes", "sent_and_received_bytes_per_node_s");
  report->AddFit("nodes", "processor_us_per_node_s");
  report->AddFit("nodes", "memory_kb_per_node");
}

void MeasureSpread(uint64_t seed, uint64_t runs, SlopeReport* report) {
  for (const double loss : {0.0, 0.01, 0.05}) {
    for (const size_t nodes : {6, 60, 186, 558}) {
      MeasureSpreadAt(nodes, loss, seed, runs, report);
    }
  }
}

void MeasureRegions(uint64_t seed, SlopeReport* report) {
  for (const size_t per_region : {20, 60, 186, 557}) {
    MeasureRegionsAt(per_region, 0.01, seed, report);
  }
}

void MeasureMassChange(uint64_t seed, SlopeReport* report) {
  // In the last two calls, a rack and a data centre fail in a region of the
  // size that the system is designed for.
  MeasureMassChangeAt(60, 20, seed, report);
  MeasureMassChangeAt(186, 62, seed, report);
  MeasureMassChangeAt(558, 40, seed, report);
  MeasureMassChangeAt(558, 206, seed, report);
}

}  // namespace heatherwick
