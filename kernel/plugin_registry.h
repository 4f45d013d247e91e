#ifndef KERNEL_PLUGIN_REGISTRY_H_
#define KERNEL_PLUGIN_REGISTRY_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace skylarkhoist {

// Registry of the plug-ins for one interface. A plug-in registers itself with a
// static object in its own source file; the settings select a plug-in by name:
//
//   const plugin_registry<concurrency_limit, const
//   limit_options&>::registration kGradient(
//       "gradient", [](const limit_options& options) {
//         return std::make_unique<gradient_limit>(options);
//       });
//
// Not thread-safe: registration takes place before main() starts, and lookups
// later, all on one thread.
template <typename interface, typename... arguments>
class plugin_registry {
 public:
  using factory = std::function<std::unique_ptr<interface>(arguments...)>;

  struct registration {
    registration(std::string name, factory create) {
      Factories().emplace(std::move(name), std::move(create));
    }
  };

  // Returns null if no plug-in has this name.
  static std::unique_ptr<interface> Create(const std::string& name,
                                           arguments... values) {
    const auto found = Factories().find(name);
    if (found == Factories().end())
      return nullptr;
    return found->second(std::forward<arguments>(values)...);
  }

  static std::vector<std::string> Names() {
    std::vector<std::string> names;
    for (const auto& [name, create] : Factories())
      names.push_back(name);
    return names;
  }

 private:
  static std::map<std::string, factory>& Factories() {
    static std::map<std::string, factory> factories;
    return factories;
  }
};

}  // namespace skylarkhoist

#endif  // KERNEL_PLUGIN_REGISTRY_H_
