// Parses and checks the YAML description of an experiment.

#include "Source/load/experiment.h"

#include <exception>
#include <fstream>
#include <sstream>

#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "yaml-cpp/yaml.h"

namespace heatherwick {
namespace {

// Reads entries of a YAML map and collects the names of the missing and invalid
// ones.
class EntryReader {
 public:
  explicit EntryReader(const YAML::Node& node) : m_node(node) {}

  template <typename T>
  void Read(const char* name, T* out) {
    ReadFrom(m_node, name, out);
  }

  template <typename T>
  void ReadFrom(const YAML::Node& node, const char* name, T* out) {
    try {
      *out = node[name].as<T>();
    } catch (const YAML::Exception&) {
      m_mistakes.emplace_back(name);
    }
  }

  void ReadDuration(const char* name, absl::Duration* out) {
    ReadDurationFrom(m_node, name, out);
  }

  void ReadDurationFrom(const YAML::Node& node,
                        const char* name,
                        absl::Duration* out) {
    std::string text;
    ReadFrom(node, name, &text);
    if (!absl::ParseDuration(text, out)) {
      m_mistakes.emplace_back(name);
    }
  }

  void ReadMix(const char* name, StatementMix* out) {
    const YAML::Node node = m_node[name];
    if (!node.IsMap()) {
      m_mistakes.emplace_back(name);
      return;
    }
    ReadFrom(node, "part", &out->part);
    ReadDurationFrom(node, "mean", &out->mean);
  }

  const YAML::Node& Node() const { return m_node; }
  const std::vector<std::string>& Mistakes() const { return m_mistakes; }

 private:
  YAML::Node m_node;
  std::vector<std::string> m_mistakes;
};

void ReadLists(EntryReader* reader, Experiment* experiment) {
  for (const YAML::Node& node : reader->Node()["targets"]) {
    ExperimentTarget target;
    reader->ReadFrom(node, "id", &target.id);
    reader->ReadFrom(node, "data_centre", &target.data_centre);
    experiment->targets.push_back(target);
  }
  for (const YAML::Node& node : reader->Node()["callers"]) {
    ExperimentCaller caller;
    reader->ReadFrom(node, "name", &caller.name);
    reader->ReadFrom(node, "share", &caller.share);
    experiment->callers.push_back(caller);
  }
}

void ReadScalars(EntryReader* reader, Experiment* experiment) {
  reader->Read("name", &experiment->name);
  reader->Read("seed", &experiment->seed);
  reader->Read("home_data_centre", &experiment->home_data_centre);
  reader->Read("slots", &experiment->slots);
  reader->Read("connections", &experiment->connections);
  reader->ReadDuration("connect_time", &experiment->connect_time);
  reader->ReadDuration("local_latency", &experiment->local_latency);
  reader->ReadDuration("remote_latency", &experiment->remote_latency);
  reader->ReadDuration("pull_period", &experiment->pull_period);
  reader->ReadMix("writes", &experiment->writes);
  reader->ReadMix("current_reads", &experiment->current_reads);
  reader->ReadMix("aged_reads", &experiment->aged_reads);
  reader->Read("transaction_part", &experiment->transaction_part);
  reader->ReadDuration("max_age", &experiment->max_age);
  reader->ReadDuration("deadline", &experiment->deadline);
  reader->Read("long_one_in", &experiment->long_one_in);
  reader->Read("long_factor", &experiment->long_factor);
  reader->Read("steady_load", &experiment->steady_load);
  reader->Read("peak_factor", &experiment->peak_factor);
  reader->ReadDuration("steady_time", &experiment->steady_time);
  reader->ReadDuration("peak_time", &experiment->peak_time);
  reader->ReadDuration("lag", &experiment->lag);
}

}  // namespace

Result<Experiment> ParseExperiment(const std::string& yaml) {
  try {
    const YAML::Node root = YAML::Load(yaml);
    if (!root.IsMap()) {
      return Error{ErrorKind::kInvalidArgument,
                   "the experiment is not a YAML map",
                   "see Utilities/experiments for examples"};
    }
    EntryReader reader(root);
    Experiment experiment;
    ReadScalars(&reader, &experiment);
    ReadLists(&reader, &experiment);
    std::vector<std::string> mistakes = reader.Mistakes();
    if (experiment.targets.size() < 3) {
      mistakes.emplace_back("targets");
    }
    if (experiment.callers.empty()) {
      mistakes.emplace_back("callers");
    }
    if (!mistakes.empty()) {
      return Error{ErrorKind::kInvalidArgument,
                   absl::StrCat("missing or invalid entries: ",
                                absl::StrJoin(mistakes, ", ")),
                   "see Utilities/experiments for examples"};
    }
    return experiment;
  } catch (const std::exception& failure) {
    return Error{
        ErrorKind::kInvalidArgument,
        absl::StrCat("the experiment is not valid YAML: ", failure.what()),
        "correct the file"};
  }
}

Result<Experiment> LoadExperiment(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return Error{ErrorKind::kNotFound, absl::StrCat(path, ": cannot be read"),
                 "name an experiment file such as "
                 "Utilities/experiments/gheata.yaml"};
  }
  std::stringstream text;
  text << file.rdbuf();
  return ParseExperiment(text.str());
}

}  // namespace heatherwick
