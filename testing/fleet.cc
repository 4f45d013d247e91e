#include "testing/fleet.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "decisions/config_fold.h"

namespace skylarkhoist {
namespace {

constexpr duration kAnnounceInterval = std::chrono::seconds(1);

// Time in which the first node of a new fleet joins the roster alone.
constexpr duration kHeadStart = std::chrono::milliseconds(1500);

}  // namespace

fleet::fleet(std::vector<fleet_machine> machines,
             uint64_t seed,
             memory_network_options network,
             node_options common)
    : random_(seed),
      network_(&loop_, &random_, network),
      log_(&loop_, &random_),
      targets_(loop_, seed),
      common_(std::move(common)) {
  for (fleet_machine& spec : machines) {
    const size_t index = machines_.size();
    machine added;
    added.leaving.resize(spec.targets.size());
    added.spec = std::move(spec);
    machines_.push_back(std::move(added));
    for (size_t i = 0; i < machines_[index].spec.targets.size(); ++i) {
      const fleet_target& target = machines_[index].spec.targets[i];
      fake_targets::child_call child;
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
  if (std::exchange(common_.new_fleet, false)) {
    loop_.RunAfter(kHeadStart,
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
  for (machine& item : machines_)
    item.process.reset();
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
  record.base_version = versions_[path];
  record.value = value;
  versions_[path] = log_.Append(RecordToText(record));
}

void fleet::StartNode(size_t index) {
  machine& item = machines_[index];
  if (item.process != nullptr)
    return;
  auto run = std::make_unique<node_run>(&loop_);
  run->random = std::make_unique<mt_random>(random_.Next());
  run->log = log_.Connect();
  node_options options = common_;
  options.name = item.spec.name;
  options.cluster = "test";
  options.zone = item.spec.zone;
  options.peer_address = PeerAddress(index);
  options.public_address = options.peer_address;
  options.incarnation = next_incarnation_++;
  for (size_t i = 0; i < std::min<size_t>(machines_.size(), 3); ++i)
    options.seeds.push_back(PeerAddress(i));
  node_parts parts;
  parts.run_loop = &run->run_loop;
  parts.transport = network_.AddNode(
      {options.peer_address, options.name, options.zone, options.incarnation});
  parts.targets = &targets_;
  parts.log = run->log.get();
  parts.random = run->random.get();
  parts.wall = &wall_;
  parts.counters = &run->counters;
  run->running = std::make_unique<node>(options, parts);
  item.process = std::move(run);
  item.paused = false;
  item.process->running->Start();
}

void fleet::KillNode(size_t index) {
  machine& item = machines_[index];
  if (item.process == nullptr)
    return;
  if (stop_observer_)
    stop_observer_(index);
  network_.StopNode(PeerAddress(index));
  auto ended = std::move(item.process);
  auto requests = std::move(ended->requests);
  ended.reset();
  FailRequests(requests);
}

void fleet::FailRequests(const std::map<uint64_t, open_request>& requests) {
  for (const auto& [number, request] : requests)
    request.done(std::nullopt);
}

void fleet::PauseNode(size_t index) {
  machine& item = machines_[index];
  if (item.process == nullptr || item.paused)
    return;
  item.paused = true;
  item.process->run_loop.Pause();
  network_.PauseNode(PeerAddress(index));
}

void fleet::ResumeNode(size_t index) {
  machine& item = machines_[index];
  if (item.process == nullptr || !item.paused)
    return;
  item.paused = false;
  network_.ResumeNode(PeerAddress(index));
  item.process->run_loop.Resume();
}

void fleet::DrainNode(size_t index) {
  machine& item = machines_[index];
  if (item.process == nullptr)
    return;
  node_run* draining = item.process.get();
  draining->running->Drain([this, index, draining] {
    // The node must not be destroyed inside its own callback.
    loop_.RunAfter(duration::zero(), [this, index, draining,
                                      alive = std::weak_ptr<bool>(alive_)] {
      if (!alive.expired() && machines_[index].process.get() == draining)
        KillNode(index);
    });
  });
}

void fleet::LeaveTarget(size_t index, size_t target) {
  machines_[index].leaving[target] = true;
  Announce(index, target);
}

node* fleet::node_of(size_t index) {
  machine& item = machines_[index];
  return item.process == nullptr ? nullptr : item.process->running.get();
}

metrics* fleet::metrics_of(size_t index) {
  machine& item = machines_[index];
  return item.process == nullptr ? nullptr : &item.process->counters;
}

void fleet::AnnounceTargets(size_t index) {
  for (size_t i = 0; i < machines_[index].spec.targets.size(); ++i)
    Announce(index, i);
  loop_.RunAfter(kAnnounceInterval,
                 [this, index, alive = std::weak_ptr<bool>(alive_)] {
                   if (!alive.expired())
                     AnnounceTargets(index);
                 });
}

void fleet::Announce(size_t index, size_t target) {
  machine& item = machines_[index];
  const std::string address = TargetAddress(index, target);
  if (item.process == nullptr || item.paused || !targets_.IsUp(address))
    return;
  http_request request;
  request.method = "POST";
  request.path = "/v1/targets";
  request.body = json{{"service", item.spec.targets[target].service},
                      {"address", address},
                      {"state", item.leaving[target] ? "leaving" : "serving"}}
                     .dump();
  item.process->running->HandleLocal(std::move(request),
                                     [](const http_response&) {});
}

uint64_t fleet::Send(size_t index,
                     http_request request,
                     response_callback done) {
  machine& item = machines_[index];
  if (item.process == nullptr) {
    done(std::nullopt);
    return 0;
  }
  node_run* run = item.process.get();
  const uint64_t number = next_request_++;
  run->requests[number] = {0, std::move(done)};
  const entry_call_id id = run->running->HandlePublic(
      std::move(request), [this, run, number](const http_response& response) {
        const auto found = run->requests.find(number);
        if (found == run->requests.end()) {
          ++second_responses_;
          return;
        }
        const response_callback answer = std::move(found->second.done);
        run->requests.erase(found);
        answer(response);
      });
  const auto open = run->requests.find(number);
  if (open != run->requests.end())
    open->second.id = id;
  return number;
}

void fleet::DropConnection(size_t index, uint64_t number) {
  machine& item = machines_[index];
  if (item.process == nullptr)
    return;
  const auto open = item.process->requests.find(number);
  if (open == item.process->requests.end())
    return;
  const open_request dropped = std::move(open->second);
  item.process->requests.erase(open);
  item.process->running->HandleGone(dropped.id);
  dropped.done(std::nullopt);
}

std::function<void()> fleet::CallChildren(
    size_t index,
    const fleet_target& target,
    const http_request& parent,
    const std::function<void(int)>& done) {
  const auto left = std::make_shared<int>(target.child_calls);
  const auto worst = std::make_shared<int>(0);
  std::vector<std::function<void()>> cancels;
  cancels.reserve(static_cast<size_t>(target.child_calls));
  for (int i = 0; i < target.child_calls; ++i) {
    cancels.push_back(CallChild(index, target.child_path, i + 1, parent,
                                [left, worst, done](int status) {
                                  *worst = std::max(*worst, status);
                                  if (--*left == 0)
                                    done(*worst);
                                }));
  }
  return [cancels] {
    for (const auto& cancel : cancels)
      cancel();
  };
}

std::function<void()> fleet::CallChild(size_t index,
                                       const std::string& path,
                                       int number_of_child,
                                       const http_request& parent,
                                       const std::function<void(int)>& done) {
  machine& item = machines_[index];
  if (item.process == nullptr) {
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
                      *trace + "/" + std::to_string(number_of_child));
  }
  child.body = parent.body;
  node_run* run = item.process.get();
  const uint64_t number = next_request_++;
  run->requests[number] = {
      0, [done](const std::optional<http_response>& response) {
        done(response ? response->status : 502);
      }};
  const entry_call_id id = run->running->HandleLocal(
      std::move(child), [this, run, number](const http_response& response) {
        // Answers never reach the target inside its own call.
        loop_.RunAfter(duration::zero(), [this, run, number, response] {
          for (machine& candidate : machines_) {
            if (candidate.process.get() != run)
              continue;
            const auto found = run->requests.find(number);
            if (found == run->requests.end())
              return;
            const response_callback answer = std::move(found->second.done);
            run->requests.erase(found);
            answer(response);
            return;
          }
        });
      });
  return [this, index, run, number, id] {
    if (machines_[index].process.get() != run)
      return;
    run->requests.erase(number);
    run->running->HandleGone(id);
  };
}

}  // namespace skylarkhoist
