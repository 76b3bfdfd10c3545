// A registry of plug-ins by name. A plug-in registers itself through a
// Registration object in its source file, so that linking the file is enough.

#ifndef SOURCE_KERNEL_REGISTRY_H_
#define SOURCE_KERNEL_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "Source/base/error.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/str_join.h"
#include "absl/strings/string_view.h"

namespace heatherwick {

// Holds the factories for the implementations of `Interface`. `Interface` has a
// static constexpr kPluginKind, its name in error messages.
template <typename Interface, typename... Arguments>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

  // Called by a single thread, before main runs.
  static void Register(std::string name, Factory factory) {
    Factories().emplace(std::move(name), std::move(factory));
  }

  // Returns a new object of the implementation called `name`, or an error
  // with the registered names.
  static Result<std::unique_ptr<Interface>> Create(const std::string& name,
                                                   Arguments... arguments) {
    const auto found = Factories().find(name);
    if (found == Factories().end()) {
      return Error{ErrorKind::kNotFound,
                   absl::StrCat(Interface::kPluginKind, " \"", name,
                                "\" is not registered"),
                   absl::StrCat("use one of: ", absl::StrJoin(Names(), ", "))};
    }
    return found->second(std::forward<Arguments>(arguments)...);
  }

  static std::vector<std::string> Names() {
    std::vector<std::string> names;
    for (const auto& [name, factory] : Factories()) {
      names.push_back(name);
    }
    return names;
  }

 private:
  // The map is local to this function, so that it exists when the first
  // registration needs it: registrations run before main in an unspecified
  // order.
  static std::map<std::string, Factory>& Factories() {
    static auto* const factories = new std::map<std::string, Factory>();
    return *factories;
  }
};

// Registers `Implementation`, whose constructor takes `Arguments`.
template <typename Interface, typename Implementation, typename... Arguments>
class Registration {
 public:
  explicit Registration(std::string name) {
    Registry<Interface, Arguments...>::Register(
        std::move(name), [](Arguments... arguments) {
          return std::make_unique<Implementation>(
              std::forward<Arguments>(arguments)...);
        });
  }
};

}  // namespace heatherwick

#endif  // SOURCE_KERNEL_REGISTRY_H_
