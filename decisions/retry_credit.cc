#include "decisions/retry_credit.h"

#include <algorithm>

namespace skylarkhoist {

int retry_credit::LendAll() {
  const int lent = available_;
  available_ = 0;
  return lent;
}

int retry_credit::LendShare() {
  const int lent = (available_ + 1) / 2;
  available_ -= lent;
  return lent;
}

void retry_credit::Return(int lent, int left) {
  available_ += std::max(0, std::min(lent, left));
}

bool retry_credit::Spend() {
  if (available_ == 0)
    return false;
  --available_;
  return true;
}

}  // namespace skylarkhoist
