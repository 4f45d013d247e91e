#include "decisions/reason.h"

namespace skylarkhoist {
namespace {

constexpr std::array<reason_info, static_cast<size_t>(reason::kCount)>
    kReasonInfos{{
        {"ok", 0, false},
        {"bad_request", 400, false},
        {"key_missing", 401, false},
        {"key_unknown", 401, false},
        {"key_withdrawn", 401, false},
        {"customer_disabled", 403, false},
        {"context_invalid", 403, false},
        {"no_route", 404, false},
        {"duplicate_unknown", 409, false},
        {"body_too_large", 413, false},
        {"headers_too_large", 431, false},
        {"rate_limited", 429, true},
        {"overloaded", 503, true},
        {"queue_timeout", 503, true},
        {"queue_full", 503, true},
        {"shed_by_target", 503, true},
        {"no_target", 503, true},
        {"zone_out", 503, true},
        {"draining", 503, true},
        {"quarantined", 503, true},
        {"config_stale", 503, true},
        {"rate_unavailable", 503, true},
        {"dedup_unavailable", 503, true},
        {"retry_credit_exhausted", 503, true},
        {"deadline_before_run", 504, false},
        {"deadline_during_run", 504, false},
        {"link_lost", 502, false},
        {"target_lost", 502, false},
        {"answer_damaged", 502, false},
        {"caller_gone", 499, false},
        {"target_limited", 503, true},
        {"parent_ended", 504, false},
    }};

}  // namespace

const reason_info& InfoOf(reason value) {
  return kReasonInfos[static_cast<size_t>(value)];
}

reason ReasonFromWire(uint8_t value) {
  if (value >= static_cast<uint8_t>(reason::kCount))
    return reason::kOverloaded;
  return static_cast<reason>(value);
}

}  // namespace skylarkhoist
