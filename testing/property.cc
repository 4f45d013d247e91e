#include "testing/property.h"

#include <cstdlib>
#include <string>

namespace skylarkhoist {

void SetPropertyCount(int histories) {
  static const bool chosen = std::getenv("RC_PARAMS") != nullptr;
  if (chosen)
    return;
  const std::string params = "seed=1 max_success=" + std::to_string(histories);
  setenv("RC_PARAMS", params.c_str(), 1);
}

}  // namespace skylarkhoist
