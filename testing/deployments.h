#ifndef TESTING_DEPLOYMENTS_H_
#define TESTING_DEPLOYMENTS_H_

#include <string>
#include <vector>

#include "testing/fleet.h"

namespace skylarkhoist {

// A small deployment with the shape of the real ones: three zones, two
// services, one of which calls the other. Node i is in zone i % 3; nodes with
// an even number run bookings, the others calendar.
std::vector<fleet_machine> SmallDeployment(size_t machines);

// Publishes services, routes and `customers` customers with rates for
// SmallDeployment. Routes: /bookings (keyed, not repeatable, critical),
// /calendar (keyed, repeatable, normal), /browse (open, repeatable, browse;
// runs on calendar).
void PublishSmallDeployment(fleet* cluster, int customers);

// Text of the key of customer number `customer`, as published by
// PublishSmallDeployment.
std::string KeyOf(int customer);

// A request as a caller sends it.
http_request MakeRequest(const std::string& method,
                         const std::string& path,
                         const std::string& key,
                         const std::string& body = "");

// Value of a response header, or "".
std::string HeaderOf(const http_response& response, const std::string& name);

}  // namespace skylarkhoist

#endif  // TESTING_DEPLOYMENTS_H_
