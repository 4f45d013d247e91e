#include "wire/link_activity.h"

#include <algorithm>

namespace skylarkhoist {

void link_activity::OnLinkUp(time_point now) {
  active_until_ = std::max(active_until_, now + options_.message_period);
}

void link_activity::OnMessage(const fbs::envelopeT& message, time_point now) {
  const bool is_call = message.body.Ascall_request() != nullptr;
  const bool is_answer = message.body.Ascall_answer() != nullptr;
  if (is_call || message.body.Astoken_request() != nullptr) {
    ++open_requests_;
    last_request_at_ = now;
  } else if (is_answer || message.body.Astoken_grant() != nullptr) {
    open_requests_ = std::max(open_requests_ - 1, 0);
  } else {
    active_until_ = std::max(active_until_, now + options_.message_period);
  }
  if (peer_ignores_answers_ && !is_answer)
    active_until_ = std::max(
        active_until_,
        now + (is_call ? options_.max_call_time : options_.message_period));
}

time_point link_activity::ActiveUntil() const {
  if (always_)
    return time_point::max();
  return open_requests_ > 0
             ? std::max(active_until_,
                        last_request_at_ + options_.max_call_time)
             : active_until_;
}

}  // namespace skylarkhoist
