#include "testing/fleet.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "decisions/config_state.h"

namespace skylarkhoist {
namespace {

constexpr duration kAnnouncementInterval = std::chrono::seconds(1);

// Time in which the first node of a new fleet can join the roster alone.
constexpr duration kFirstNodeHeadStart = std::chrono::milliseconds(1500);

}  // namespace

fleet::fleet(std::vector<fleet_machine> machines,
             uint64_t seed,
             memory_network_options network,
             node_options common_options)
    : random_(seed),
      network_(&loop_, &random_, network),
      log_(&loop_, &random_),
      targets_(loop_, seed),
      common_options_(std::move(common_options)) {
  for (fleet_machine& spec : machines) {
    const size_t index = machines_.size();
    machine_state added;
    added.target_leaving.resize(spec.targets.size());
    added.spec = std::move(spec);
    machines_.push_back(std::move(added));
    for (size_t i = 0; i < machines_[index].spec.targets.size(); ++i) {
      const fleet_target& target = machines_[index].spec.targets[i];
      fake_targets::child_call_function child;
      if (!target.child_path.empty()) {
        child = [this, index, i](const std::string&, const http_request& parent,
                                 const std::function<void(int)>& done) {
          return CallChildren(index, machines_[index].spec.targets[i], parent,
                              done);
        };
      }
      targets_.Add(TargetAddress(index, i), target.options, std::move(child));
    }
  }
  StartNode(0);
  const auto start_others = [this] {
    for (size_t i = 1; i < machines_.size(); ++i)
      StartNode(i);
  };
  if (std::exchange(common_options_.new_fleet, false)) {
    loop_.RunAfter(kFirstNodeHeadStart,
                   [start_others, alive = std::weak_ptr<bool>(alive_)] {
                     if (!alive.expired())
                       start_others();
                   });
  } else {
    start_others();
  }
  for (size_t i = 0; i < machines_.size(); ++i)
    AnnounceTargets(i);
}

fleet::~fleet() {
  for (machine_state& machine : machines_)
    machine.process.reset();
}

std::string fleet::PeerAddress(size_t machine) const {
  return "10.0." + std::to_string(machine / 250) + "." +
         std::to_string(machine % 250 + 1) + ":7000";
}

std::string fleet::TargetAddress(size_t machine, size_t target) const {
  return "10.0." + std::to_string(machine / 250) + "." +
         std::to_string(machine % 250 + 1) + ":" +
         std::to_string(8000 + target);
}

void fleet::Publish(const std::string& path, const json& value) {
  config_record record;
  record.id = "fleet-" + std::to_string(next_record_++);
  record.unix_ms = ToMilliseconds(loop_.Now().time_since_epoch());
  record.author = "operator";
  record.path = path;
  record.base_version = path_versions_[path];
  record.value = value;
  path_versions_[path] = log_.Append(RecordToText(record));
}

void fleet::StartNode(size_t index) {
  machine_state& machine = machines_[index];
  if (machine.process != nullptr)
    return;
  auto process = std::make_unique<node_process>(&loop_);
  process->random = std::make_unique<mt_random>(random_.Next());
  process->log = log_.Connect();
  node_options options = common_options_;
  options.name = machine.spec.name;
  options.cluster = "test";
  options.zone = machine.spec.zone;
  options.peer_address = PeerAddress(index);
  options.public_address = options.peer_address;
  options.incarnation = next_incarnation_++;
  for (size_t i = 0; i < std::min<size_t>(machines_.size(), 3); ++i)
    options.seed_peers.push_back(PeerAddress(i));
  node_dependencies parts;
  parts.run_loop = &process->timers;
  parts.transport = network_.AddNode(
      {options.peer_address, options.name, options.zone, options.incarnation});
  parts.targets = &targets_;
  parts.log = process->log.get();
  parts.random = process->random.get();
  parts.wall = &wall_;
  parts.counters = &process->counters;
  process->instance = std::make_unique<node>(options, parts);
  machine.process = std::move(process);
  machine.paused = false;
  machine.process->instance->Start();
}

void fleet::KillNode(size_t index) {
  machine_state& machine = machines_[index];
  if (machine.process == nullptr)
    return;
  if (stop_observer_)
    stop_observer_(index);
  network_.StopNode(PeerAddress(index));
  auto ended = std::move(machine.process);
  auto requests = std::move(ended->requests);
  ended.reset();
  FailRequests(requests);
}

void fleet::FailRequests(const std::map<uint64_t, open_request>& requests) {
  for (const auto& [number, request] : requests)
    request.done(std::nullopt);
}

void fleet::PauseNode(size_t index) {
  machine_state& machine = machines_[index];
  if (machine.process == nullptr || machine.paused)
    return;
  machine.paused = true;
  machine.process->timers.Pause();
  network_.PauseNode(PeerAddress(index));
}

void fleet::ResumeNode(size_t index) {
  machine_state& machine = machines_[index];
  if (machine.process == nullptr || !machine.paused)
    return;
  machine.paused = false;
  network_.ResumeNode(PeerAddress(index));
  machine.process->timers.Resume();
}

void fleet::DrainNode(size_t index) {
  machine_state& machine = machines_[index];
  if (machine.process == nullptr)
    return;
  node_process* draining = machine.process.get();
  draining->instance->Drain([this, index, draining] {
    // The node must not be destroyed inside its own callback.
    loop_.RunAfter(duration::zero(), [this, index, draining,
                                      alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired() && machines_[index].process.get() == draining)
        KillNode(index);
    });
  });
}

void fleet::AnnounceTargetLeaving(size_t index, size_t target) {
  machines_[index].target_leaving[target] = true;
  Announce(index, target);
}

node* fleet::node_of(size_t index) {
  machine_state& machine = machines_[index];
  return machine.process == nullptr ? nullptr : machine.process->instance.get();
}

metrics* fleet::metrics_of(size_t index) {
  machine_state& machine = machines_[index];
  return machine.process == nullptr ? nullptr : &machine.process->counters;
}

void fleet::AnnounceTargets(size_t index) {
  for (size_t i = 0; i < machines_[index].spec.targets.size(); ++i)
    Announce(index, i);
  loop_.RunAfter(kAnnouncementInterval,
                 [this, index, alive = std::weak_ptr<bool>(alive_)] {
                   if (!alive.expired())
                     AnnounceTargets(index);
                 });
}

void fleet::Announce(size_t index, size_t target) {
  machine_state& machine = machines_[index];
  const std::string address = TargetAddress(index, target);
  if (machine.process == nullptr || machine.paused || !targets_.IsUp(address))
    return;
  http_request request;
  request.method = "POST";
  request.path = "/v1/targets";
  request.body =
      json{{"service", machine.spec.targets[target].service},
           {"address", address},
           {"state", machine.target_leaving[target] ? "leaving" : "serving"}}
          .dump();
  machine.process->instance->HandleLocal(std::move(request),
                                         [](const http_response&) {});
}

uint64_t fleet::Send(size_t index,
                     http_request request,
                     response_callback done) {
  machine_state& machine = machines_[index];
  if (machine.process == nullptr) {
    done(std::nullopt);
    return 0;
  }
  node_process* process = machine.process.get();
  const uint64_t number = next_request_++;
  process->requests[number] = {0, std::move(done)};
  const entry_call_id id = process->instance->HandlePublic(
      std::move(request),
      [this, process, number](const http_response& response) {
        const auto found = process->requests.find(number);
        if (found == process->requests.end()) {
          ++second_responses_;
          return;
        }
        const response_callback respond = std::move(found->second.done);
        process->requests.erase(found);
        respond(response);
      });
  const auto open = process->requests.find(number);
  if (open != process->requests.end())
    open->second.id = id;
  return number;
}

void fleet::DropConnection(size_t index, uint64_t number) {
  machine_state& machine = machines_[index];
  if (machine.process == nullptr)
    return;
  const auto open = machine.process->requests.find(number);
  if (open == machine.process->requests.end())
    return;
  const open_request dropped = std::move(open->second);
  machine.process->requests.erase(open);
  machine.process->instance->HandleCallerGone(dropped.id);
  dropped.done(std::nullopt);
}

std::function<void()> fleet::CallChildren(
    size_t index,
    const fleet_target& target,
    const http_request& parent,
    const std::function<void(int)>& done) {
  const auto calls_left = std::make_shared<int>(target.child_calls);
  const auto highest_status = std::make_shared<int>(0);
  std::vector<std::function<void()>> cancel_functions;
  cancel_functions.reserve(static_cast<size_t>(target.child_calls));
  for (int i = 0; i < target.child_calls; ++i) {
    cancel_functions.push_back(
        CallChild(index, target.child_path, i + 1, parent,
                  [calls_left, highest_status, done](int status) {
                    *highest_status = std::max(*highest_status, status);
                    if (--*calls_left == 0)
                      done(*highest_status);
                  }));
  }
  return [cancel_functions] {
    for (const auto& cancel : cancel_functions)
      cancel();
  };
}

std::function<void()> fleet::CallChild(size_t index,
                                       const std::string& path,
                                       int child_number,
                                       const http_request& parent,
                                       const std::function<void(int)>& done) {
  machine_state& machine = machines_[index];
  if (machine.process == nullptr) {
    loop_.RunAfter(duration::zero(), [done] { done(503); });
    return [] {};
  }
  http_request child;
  child.method = "GET";
  child.path = path;
  if (const std::string* token = parent.headers.Find("Skylark-Context"))
    child.headers.Add("Skylark-Context", *token);
  if (const std::string* trace = parent.headers.Find(kTraceHeader)) {
    child.headers.Add(kTraceHeader,
                      *trace + "/" + std::to_string(child_number));
  }
  child.body = parent.body;
  node_process* process = machine.process.get();
  const uint64_t number = next_request_++;
  process->requests[number] = {
      0, [done](const std::optional<http_response>& response) {
        done(response ? response->status : 502);
      }};
  const entry_call_id id = process->instance->HandleLocal(
      std::move(child), [this, process, number](const http_response& response) {
        // Delivered in the next round of the loop, so that the target does not
        // get a response before its call returns.
        loop_.RunAfter(duration::zero(), [this, process, number, response] {
          for (machine_state& candidate : machines_) {
            if (candidate.process.get() != process)
              continue;
            const auto found = process->requests.find(number);
            if (found == process->requests.end())
              return;
            const response_callback respond = std::move(found->second.done);
            process->requests.erase(found);
            respond(response);
            return;
          }
        });
      });
  return [this, index, process, number, id] {
    if (machines_[index].process.get() != process)
      return;
    process->requests.erase(number);
    process->instance->HandleCallerGone(id);
  };
}

}  // namespace skylarkhoist
