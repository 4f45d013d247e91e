#include "testing/hosted_fleet.h"

#include <algorithm>
#include <sstream>
#include <utility>

namespace skylarkhoist {
namespace {

constexpr std::string_view kZoneKeyPrefix = "zone/";
constexpr std::string_view kRolloutKeyPrefix = "rollout/";
constexpr duration kAnnouncementInterval = std::chrono::seconds(1);

// As on the platform.
memory_network_options NetworkOptions() {
  memory_network_options options;
  options.heartbeat_interval = std::chrono::milliseconds(500);
  options.silence_timeout = std::chrono::milliseconds(1500);
  options.activity = {std::chrono::milliseconds(2500),
                      std::chrono::seconds(30)};
  options.watch_own_zone = true;
  return options;
}

route_config Route(const std::string& name, const std::string& service) {
  route_config route;
  route.name = name;
  route.path_prefix = "/" + name + "/";
  route.service = service;
  route.access = name == "inner" ? route_access::kOpen : route_access::kKeyed;
  route.repeatable = name != "once";
  route.timeout = std::chrono::seconds(2);
  route.latency_objective = std::chrono::milliseconds(500);
  route.max_attempts = 2;
  return route;
}

service_config Service(const std::string& name,
                       const std::string& health_path) {
  service_config service;
  service.name = name;
  service.health_path = health_path;
  service.cold_per_second = 20;
  return service;
}

}  // namespace

tl::expected<operator_record, findings> test_record_reader::Read(
    const keyed_record& record) const {
  if (record.key.compare(0, kZoneKeyPrefix.size(), kZoneKeyPrefix) == 0)
    return operator_record(zone_record{record.key.substr(kZoneKeyPrefix.size()),
                                       record.value.has_value()});
  if (!record.value)
    return operator_record();
  std::istringstream text(*record.value);
  if (record.key.compare(0, kRolloutKeyPrefix.size(), kRolloutKeyPrefix) == 0) {
    rollout_record order;
    order.service = record.key.substr(kRolloutKeyPrefix.size());
    int64_t length = 0;
    text >> order.target_version >> length;
    order.length = std::chrono::seconds(length);
    return operator_record(std::move(order));
  }
  if (record.key != "config")
    return operator_record();
  configuration_record result;
  double rate = 0;
  if (!(text >> result.version >> rate)) {
    findings problems;
    problems.Add("/",
                 "record \"config\" must hold a version, a rate and API keys");
    return tl::unexpected(problems);
  }
  config_view& view = result.view;
  view.customers["acme"].name = "acme";
  view.rates["acme"] = {rate, rate};
  for (std::string key; text >> key;)
    view.external_keys[key] = "acme";
  for (const char* service : {"front", "deep"})
    view.services[service] = Service(service, health_path_);
  view.routes["safe"] = Route("safe", "front");
  view.routes["once"] = Route("once", "front");
  view.routes["inner"] = Route("inner", "deep");
  return operator_record(std::move(result));
}

hosted_fleet::hosted_fleet(size_t machines,
                           uint64_t seed,
                           const request_dialect* dialect)
    : dialect_(dialect),
      random_(seed),
      network_(&loop_, &random_, NetworkOptions()),
      targets_(loop_, seed) {
  machines_.resize(machines);
  for (size_t i = 0; i < machines; ++i) {
    fake_target_options options;
    options.starts_cold = false;
    options.service_time = std::chrono::milliseconds(10);
    options.id = "t" + std::to_string(i);
    targets_.Add(target_address(i), options);
    target_announcement& announcement = machines_[i].announcement;
    announcement.service = i % 2 == 0 ? "front" : "deep";
    announcement.address = target_address(i);
    announcement.id = "t" + std::to_string(i);
    announcement.generation = 1;
    announcement.slots = 20;
    StartNode(i);
  }
  AnnounceAll();
}

hosted_fleet::~hosted_fleet() {
  for (size_t i = 0; i < machines_.size(); ++i) {
    if (machines_[i].process != nullptr)
      StopNode(i);
  }
}

std::string hosted_fleet::peer_address(size_t index) const {
  return "10.0.0." + std::to_string(index + 1) + ":7000";
}

std::string hosted_fleet::target_address(size_t index) const {
  return "10.0.0." + std::to_string(index + 1) + ":80";
}

std::string hosted_fleet::zone(size_t index) const {
  return "z" + std::to_string(index / 2 % 3);
}

void hosted_fleet::StartNode(size_t index) {
  machine_state& machine = machines_[index];
  hosted_node_options options;
  options.name = "n" + std::to_string(index);
  options.zone = zone(index);
  options.peer_address = peer_address(index);
  options.dialect = dialect_;
  options.local_service = machine.announcement.service;
  options.incarnation = ++next_incarnation_;
  options.rollouts = {0.1, 50, std::chrono::seconds(5)};
  machine.store_client = store_.Connect(options.name);
  machine.timers = std::make_unique<node_loop>(&loop_);
  machine.counters = std::make_unique<metrics>();
  hosted_node_dependencies parts;
  parts.run_loop = machine.timers.get();
  parts.transport = network_.AddNode(
      {options.peer_address, options.name, options.zone, options.incarnation});
  parts.targets = &targets_;
  parts.store = machine.store_client.get();
  parts.record_reader = &record_reader_;
  parts.random = &random_;
  parts.counters = machine.counters.get();
  machine.process = std::make_unique<hosted_node>(options, parts);
  machine.process->Start();
}

void hosted_fleet::StopNode(size_t index) {
  machine_state& machine = machines_[index];
  network_.StopNode(peer_address(index));
  machine.timers->Stop();
  machine.process.reset();
}

void hosted_fleet::AnnounceAll() {
  for (machine_state& machine : machines_) {
    ++machine.announcement.sequence;
    machine.announcement.cold_remaining =
        std::max(duration::zero(), machine.cold_until - loop_.Now());
    if (machine.process != nullptr && machine.announcing)
      machine.process->HandleAnnouncement(machine.announcement);
  }
  loop_.RunAfter(kAnnouncementInterval, [this] { AnnounceAll(); });
}

void hosted_fleet::SetTargetState(size_t index, fbs::member_state state) {
  machine_state& machine = machines_[index];
  machine.announcement.state = state;
  ++machine.announcement.sequence;
  machine.process->HandleAnnouncement(machine.announcement);
}

void hosted_fleet::SetTargetVersion(size_t index, const std::string& version) {
  machine_state& machine = machines_[index];
  machine.announcement.version = version;
  ++machine.announcement.sequence;
  machine.process->HandleAnnouncement(machine.announcement);
}

void hosted_fleet::RestartTarget(size_t index, duration cold_time) {
  machine_state& machine = machines_[index];
  ++machine.announcement.generation;
  machine.announcement.sequence = 1;
  machine.announcement.cold_remaining = cold_time;
  machine.cold_until = loop_.Now() + cold_time;
  machine.process->HandleAnnouncement(machine.announcement);
}

void hosted_fleet::TurnCold(size_t index, duration cold_time) {
  machines_[index].cold_until = loop_.Now() + cold_time;
  targets_.TurnCold(target_address(index), cold_time);
}

std::shared_ptr<hosted_fleet::pending_response> hosted_fleet::Send(
    size_t index,
    const std::string& path,
    const std::string& key,
    const std::string& id,
    const std::string& body) {
  auto pending = std::make_shared<pending_response>();
  http_request request;
  request.method = body.empty() ? "GET" : "POST";
  request.path = path;
  request.body = body;
  if (!key.empty())
    request.headers.Add("Authorization", "Bearer " + key);
  if (!id.empty())
    request.headers.Add("X-Request-Id", id);
  pending->call = node(index).HandleRequest(
      std::move(request), [pending](const http_response& response) {
        pending->response = response;
      });
  return pending;
}

int hosted_fleet::SendAndWait(size_t index,
                              const std::string& path,
                              const std::string& key,
                              duration wait) {
  const auto pending = Send(index, path, key);
  Advance(wait);
  return pending->response ? pending->response->status : 0;
}

}  // namespace skylarkhoist
