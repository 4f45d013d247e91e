#ifndef TESTING_DEPLOYMENTS_H_
#define TESTING_DEPLOYMENTS_H_

#include <string>
#include <vector>

#include "testing/fleet.h"

namespace skylarkhoist {

// Machines of a small deployment with the structure of a production one: three
// zones and two services, one of which calls the other. Machine i is in zone
// i % 3; machines with an even number run a target of bookings, the others one
// of calendar.
std::vector<fleet_machine> SmallDeployment(size_t machine_count);

// Publishes the services and routes of SmallDeployment, and `customer_count`
// customers with rates and API keys. Routes: /bookings (keyed, not repeatable,
// critical), /calendar (keyed, repeatable, normal), /browse (open, repeatable,
// browse; served by calendar).
void PublishSmallDeployment(fleet* cluster, int customer_count);

// The API key of customer number `customer`, whose record
// PublishSmallDeployment publishes.
std::string ApiKeyOf(int customer);

// Makes a request as a caller sends it, with the API key `key` unless that is
// empty.
http_request MakeRequest(const std::string& method,
                         const std::string& path,
                         const std::string& key,
                         const std::string& body = "");

// Returns the value of a response header, or "" without it.
std::string HeaderValue(const http_response& response, const std::string& name);

}  // namespace skylarkhoist

#endif  // TESTING_DEPLOYMENTS_H_
