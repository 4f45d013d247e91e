#ifndef NODE_DEPARTURE_RECORDS_H_
#define NODE_DEPARTURE_RECORDS_H_

#include <optional>
#include <string>
#include <vector>

#include "decisions/departure_memory.h"

namespace skylarkhoist {

// Key in store_topic::kNodes of the departures of the targets beside a node.
std::string DepartureKey(const std::string& node);

// Returns the node whose departures the record with this key holds, or nothing
// if it is another record.
std::optional<std::string> NodeOfDepartureKey(const std::string& key);

std::string EncodeDepartures(const std::vector<target_departure>& departures);

// Leaves out malformed departures.
std::vector<target_departure> DecodeDepartures(const std::string& value);

}  // namespace skylarkhoist

#endif  // NODE_DEPARTURE_RECORDS_H_
