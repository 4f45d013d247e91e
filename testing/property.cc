#include "testing/property.h"

#include <cstdlib>
#include <string>

namespace skylarkhoist {

void SetHistoriesPerProperty(int history_count) {
  static const bool set_by_user = std::getenv("RC_PARAMS") != nullptr;
  if (set_by_user)
    return;
  const std::string params =
      "seed=1 max_success=" + std::to_string(history_count);
  setenv("RC_PARAMS", params.c_str(), 1);
}

}  // namespace skylarkhoist
