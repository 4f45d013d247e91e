#include "testing/deployments.h"

#include <cstdio>

#include "decisions/api_key.h"

namespace skylarkhoist {
namespace {

std::string SecretOf(int customer) {
  char text[65];
  std::snprintf(text, sizeof(text), "%064d", customer + 1);
  return text;
}

std::string KeyIdOf(int customer) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016d", customer + 1);
  return text;
}

}  // namespace

std::vector<fleet_machine> SmallDeployment(size_t machine_count) {
  std::vector<fleet_machine> machines;
  for (size_t i = 0; i < machine_count; ++i) {
    fleet_machine machine;
    machine.name = "node-" + std::to_string(i);
    machine.zone = "zone-" + std::to_string(i % 3);
    fleet_target target;
    target.options.starts_cold = false;
    target.options.slots = 20;
    target.options.max_calls = 100;
    target.options.service_time = std::chrono::milliseconds(10);
    if (i % 2 == 0) {
      target.service = "bookings";
      target.child_path = "/calendar/slots";
    } else {
      target.service = "calendar";
    }
    machine.targets.push_back(target);
    machines.push_back(machine);
  }
  return machines;
}

void PublishSmallDeployment(fleet* cluster, int customer_count) {
  for (int i = 0; i < customer_count; ++i) {
    const std::string name = "customer-" + std::to_string(i);
    cluster->Publish("/customers/" + name, {{"enabled", true}, {"weight", 1}});
    cluster->Publish("/rates/" + name, {{"per_second", 1000}, {"burst", 1000}});
    cluster->Publish("/keys/" + KeyIdOf(i),
                     {{"customer", name},
                      {"secret_sha256", Sha256Hex(SecretOf(i))},
                      {"state", "active"}});
  }
  cluster->Publish("/services/calendar", {{"cold_capacity", 8}});
  cluster->Publish("/services/bookings",
                   {{"cold_capacity", 8}, {"calls", {"calendar"}}});
  cluster->Publish("/routes/bookings", {{"path_prefix", "/bookings"},
                                        {"access", "keyed"},
                                        {"repeatable", false},
                                        {"service", "bookings"},
                                        {"class", "critical"}});
  cluster->Publish("/routes/calendar", {{"path_prefix", "/calendar"},
                                        {"access", "keyed"},
                                        {"repeatable", true},
                                        {"service", "calendar"},
                                        {"class", "normal"}});
  cluster->Publish("/routes/browse", {{"path_prefix", "/browse"},
                                      {"access", "open"},
                                      {"repeatable", true},
                                      {"service", "calendar"},
                                      {"class", "browse"}});
}

std::string ApiKeyOf(int customer) {
  return "skh_" + KeyIdOf(customer) + "_" + SecretOf(customer);
}

http_request MakeRequest(const std::string& method,
                         const std::string& path,
                         const std::string& key,
                         const std::string& body) {
  http_request request;
  request.method = method;
  request.path = path;
  if (!key.empty())
    request.headers.Add("Authorization", "Bearer " + key);
  request.body = body;
  return request;
}

std::string HeaderValue(const http_response& response,
                        const std::string& name) {
  const std::string* value = response.headers.Find(name);
  return value == nullptr ? "" : *value;
}

}  // namespace skylarkhoist
