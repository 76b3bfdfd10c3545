// Plug-ins that register themselves by name. A plug-in's source file holds
// one Registration object; linking the file is all that it takes.

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

// Factories of the implementations of `Interface`, which has a static
// constexpr kPluginKind that names it in errors.
template <typename Interface, typename... Arguments>
class Registry {
 public:
  using Factory = std::function<std::unique_ptr<Interface>(Arguments...)>;

  // Called before main, by one thread.
  static void Register(std::string name, Factory factory) {
    Factories().emplace(std::move(name), std::move(factory));
  }

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
  // A function-local object, because registrations run in an unspecified
  // order before main.
  static std::map<std::string, Factory>& Factories() {
    static auto* const factories = new std::map<std::string, Factory>();
    return *factories;
  }
};

// Registers `Implementation`, which is constructed from the arguments.
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
