#include "decisions/cold_state.h"

#include <algorithm>

namespace skylarkhoist {

void cold_state::OnAnnouncement(duration cold_remaining, time_point now) {
  announced_until_ = now + cold_remaining;
  if (is_suspected())
    --announcements_needed_;
}

void cold_state::OnHealth(time_point asked_at,
                          duration cold_remaining,
                          time_point now) {
  announcements_needed_ = 0;
  announced_until_ = std::max(announced_until_, now + cold_remaining);
  proved_until_ = asked_at + cold_remaining;
}

}  // namespace skylarkhoist
