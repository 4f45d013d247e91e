#ifndef NODE_OPERATOR_RECORDS_H_
#define NODE_OPERATOR_RECORDS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <variant>

#include "decisions/config_view.h"
#include "kernel/findings.h"
#include "kernel/time.h"
#include "wire/keyed_store.h"

namespace skylarkhoist {

// A complete configuration.
struct configuration_record {
  // Increases with each configuration.
  uint64_t version = 0;
  config_view view;
};

// Takes a zone out of service or puts it back.
struct zone_record {
  std::string zone;
  bool out_of_service = false;
};

// Orders that the traffic of a service moves to targets of another version.
struct rollout_record {
  std::string service;
  std::string target_version;
  // Time from the order within which a good version must be completed.
  duration length = duration::zero();
};

// std::monostate stands for a record of another kind, which has no effect.
using operator_record = std::
    variant<std::monostate, configuration_record, zone_record, rollout_record>;

// Parses the records that operators write to the store.
class operator_record_reader {
 public:
  virtual ~operator_record_reader() = default;
  virtual tl::expected<operator_record, findings> Read(
      const keyed_record& record) const = 0;
};

}  // namespace skylarkhoist

#endif  // NODE_OPERATOR_RECORDS_H_
