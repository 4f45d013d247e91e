#include "wire/http_target_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <optional>
#include <utility>

#include "wire/address.h"
#include "wire/http_fields.h"

namespace skylarkhoist {
namespace {

constexpr std::array<const char*, 6> kResultLabels = {
    "ok",      "connect_refused", "connection_lost",
    "timeout", "malformed",       "too_large"};

// The timer of the call ends it first; evhttp's own timeout is a second line.
constexpr auto kTimeoutMargin = std::chrono::seconds(5);

std::optional<evhttp_cmd_type> MethodOf(const std::string& name) {
  constexpr std::array<std::pair<const char*, evhttp_cmd_type>, 7> kMethods = {
      {{"GET", EVHTTP_REQ_GET},
       {"POST", EVHTTP_REQ_POST},
       {"HEAD", EVHTTP_REQ_HEAD},
       {"PUT", EVHTTP_REQ_PUT},
       {"DELETE", EVHTTP_REQ_DELETE},
       {"OPTIONS", EVHTTP_REQ_OPTIONS},
       {"PATCH", EVHTTP_REQ_PATCH}}};
  for (const auto& [text, method] : kMethods) {
    if (name == text)
      return method;
  }
  return std::nullopt;
}

bool MayHaveBody(evhttp_cmd_type method) {
  return method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT ||
         method == EVHTTP_REQ_PATCH;
}

// A path with a space or line break would change the request line.
bool IsValidPath(const std::string& path) {
  return !path.empty() && std::all_of(path.begin(), path.end(), [](char each) {
    return static_cast<unsigned char>(each) > ' ' && each != '\x7f';
  });
}

// True when the response tells in one way where its body ends.
bool HasDelimitedBody(evhttp_request* request) {
  const int status = evhttp_request_get_response_code(request);
  // evhttp takes an interim response other than 100 for the whole; the real one
  // would follow and be taken for that of the next call.
  if (status < 200)
    return false;
  if (status == 204 || status == 304 ||
      evhttp_request_get_command(request) == EVHTTP_REQ_HEAD)
    return true;
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  int ways = 0;
  for (const evkeyval* each = fields->tqh_first; each != nullptr;
       each = each->next.tqe_next) {
    if (strcasecmp(each->key, "Content-Length") == 0 ||
        strcasecmp(each->key, "Transfer-Encoding") == 0)
      ++ways;
  }
  return ways == 1;
}

bool IsConnected(evhttp_connection* connection) {
  const int fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  socket_address peer;
  peer.length = sizeof(peer.storage);
  return fd >= 0 && getpeername(fd, reinterpret_cast<sockaddr*>(&peer.storage),
                                &peer.length) == 0;
}

// An idle connection has nothing to read. Bytes after a response would be taken
// for the response to the next call.
bool IsUsable(evhttp_connection* connection) {
  bufferevent* stream = evhttp_connection_get_bufferevent(connection);
  const int fd = bufferevent_getfd(stream);
  if (fd < 0 || evbuffer_get_length(bufferevent_get_input(stream)) > 0)
    return false;
  char byte = 0;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
         (errno == EAGAIN || errno == EWOULDBLOCK);
}

target_result Failure(target_error error, bool may_have_run) {
  target_result result;
  result.error = error;
  result.may_have_run = may_have_run;
  return result;
}

}  // namespace

struct http_target_client::call {
  http_target_client* client = nullptr;
  target_call_id id = 0;
  std::string address;
  evhttp_connection* connection = nullptr;
  bool reused = false;
  // evhttp_make_request is on the stack.
  bool launching = false;
  // Set by the error callback of evhttp, which runs before the other one.
  std::optional<evhttp_request_error> error;
  timer_id timeout_timer = 0;
  timer_id finish_timer = 0;
  callback done;
};

http_target_client::http_target_client(event_loop* loop,
                                       http_target_client_settings settings,
                                       metrics* counters)
    : loop_(loop),
      settings_(settings),
      own_metrics_(counters == nullptr ? std::make_unique<metrics>() : nullptr),
      connections_opened_((counters == nullptr ? *own_metrics_ : *counters)
                              .Counter("skylarkhoist_target_connections_total",
                                       "Connections used for calls to targets",
                                       {{"kind", "new"}})),
      connections_reused_((counters == nullptr ? *own_metrics_ : *counters)
                              .Counter("skylarkhoist_target_connections_total",
                                       "Connections used for calls to targets",
                                       {{"kind", "reused"}})) {
  metrics& all = counters == nullptr ? *own_metrics_ : *counters;
  for (const char* label : kResultLabels) {
    results_.push_back(&all.Counter("skylarkhoist_target_calls_total",
                                    "Calls to targets by their end",
                                    {{"result", label}}));
  }
}

http_target_client::~http_target_client() {
  loop_->Cancel(garbage_timer_);
  loop_->Cancel(sweep_timer_);
  for (auto& [id, each] : calls_) {
    loop_->Cancel(each->timeout_timer);
    loop_->Cancel(each->finish_timer);
    if (each->connection != nullptr)
      evhttp_connection_free(each->connection);
  }
  for (auto& [address, pool] : idle_) {
    for (const idle_connection& each : pool)
      evhttp_connection_free(each.connection);
  }
  FreeGarbage();
}

target_call_id http_target_client::Call(const std::string& address,
                                        const http_request& request,
                                        duration timeout,
                                        callback done) {
  const target_call_id id = next_id_++;
  call& started = *calls_.emplace(id, std::make_unique<call>()).first->second;
  started.client = this;
  started.id = id;
  started.address = address;
  started.done = std::move(done);
  const auto method = MethodOf(request.method);
  const auto target = SplitAddress(address);
  if (!method || !IsValidPath(request.path) ||
      (!request.body.empty() && !MayHaveBody(*method))) {
    FinishLater(id, Failure(target_error::kMalformed, false));
    return id;
  }
  if (!target) {
    FinishLater(id, Failure(target_error::kConnectRefused, false));
    return id;
  }
  started.connection = TakeIdle(address);
  started.reused = started.connection != nullptr;
  if (started.reused) {
    connections_reused_.Increment();
  } else {
    connections_opened_.Increment();
    started.connection = evhttp_connection_base_new(
        loop_->base(), nullptr, target->host.c_str(), target->port);
    evhttp_connection_set_max_headers_size(
        started.connection,
        static_cast<ev_ssize_t>(settings_.max_header_bytes));
    evhttp_connection_set_max_body_size(
        started.connection, static_cast<ev_ssize_t>(settings_.max_body_bytes));
    evhttp_connection_set_retries(started.connection, 0);
  }
  const auto seconds =
      std::chrono::duration_cast<std::chrono::seconds>(timeout + kTimeoutMargin)
          .count();
  const timeval limit{seconds, 0};
  evhttp_connection_set_timeout_tv(started.connection, &limit);
  started.timeout_timer = loop_->RunAfter(timeout, [this, id] {
    call& late = *calls_.at(id);
    late.timeout_timer = 0;
    const bool reached = late.reused || IsConnected(late.connection);
    // Frees the request without running its callbacks.
    evhttp_connection_free(std::exchange(late.connection, nullptr));
    Finish(id, Failure(target_error::kTimeout, reached));
  });
  Launch(started, request);
  return id;
}

void http_target_client::Launch(call& started, const http_request& request) {
  evhttp_request* sent = evhttp_request_new(
      [](evhttp_request* ended, void* argument) {
        auto* self = static_cast<call*>(argument);
        self->client->OnResponse(*self, ended);
      },
      &started);
  evhttp_request_set_error_cb(sent,
                              [](evhttp_request_error error, void* argument) {
                                static_cast<call*>(argument)->error = error;
                              });
  evkeyvalq* fields = evhttp_request_get_output_headers(sent);
  evhttp_add_header(fields, "Host", started.address.c_str());
  for (const auto& [name, value] : request.headers.items()) {
    if (IsFieldName(name) && !IsConnectionField(name) &&
        strcasecmp(name.c_str(), "Host") != 0)
      evhttp_add_header(fields, name.c_str(), value.c_str());
  }
  // evhttp adds the length by itself for POST and PUT only.
  if (MayHaveBody(*MethodOf(request.method))) {
    evhttp_add_header(fields, "Content-Length",
                      std::to_string(request.body.size()).c_str());
  }
  evbuffer_add(evhttp_request_get_output_buffer(sent), request.body.data(),
               request.body.size());
  const target_call_id id = started.id;
  started.launching = true;
  const int failed =
      evhttp_make_request(started.connection, sent, *MethodOf(request.method),
                          request.path.c_str());
  started.launching = false;
  if (failed != 0 && started.finish_timer == 0) {
    evhttp_connection_free(std::exchange(started.connection, nullptr));
    FinishLater(id, Failure(target_error::kConnectRefused, started.reused));
    return;
  }
  if (!started.reused && started.connection != nullptr) {
    const int fd = bufferevent_getfd(
        evhttp_connection_get_bufferevent(started.connection));
    if (fd >= 0)
      DisableNagle(fd);
  }
}

void http_target_client::OnResponse(call& ended, evhttp_request* request) {
  evhttp_connection* connection = std::exchange(ended.connection, nullptr);
  target_result result;
  bool keep = false;
  if (request == nullptr || ended.error) {
    switch (ended.error.value_or(EVREQ_HTTP_EOF)) {
      case EVREQ_HTTP_TIMEOUT:
        result.error = target_error::kTimeout;
        break;
      case EVREQ_HTTP_INVALID_HEADER:
        result.error = target_error::kMalformed;
        break;
      case EVREQ_HTTP_DATA_TOO_LONG:
        result.error = target_error::kTooLarge;
        break;
      default:
        result.error = target_error::kConnectionLost;
        break;
    }
  } else if (evhttp_request_get_response_code(request) == 0) {
    // evhttp reports a failed connect by an empty response. A reused
    // connection that was closed meanwhile is connected again by evhttp, and
    // nothing was sent on the old one.
    result.error = target_error::kConnectRefused;
    result.may_have_run = false;
  } else if (!HasDelimitedBody(request)) {
    result.error = target_error::kMalformed;
  } else {
    result.response.status = evhttp_request_get_response_code(request);
    const evkeyvalq* fields = evhttp_request_get_input_headers(request);
    result.response.headers = FieldsFrom(fields);
    evbuffer* body = evhttp_request_get_input_buffer(request);
    result.response.body.resize(evbuffer_get_length(body));
    evbuffer_remove(body, result.response.body.data(),
                    result.response.body.size());
    const char* length = evhttp_find_header(fields, "Content-Length");
    if (length != nullptr &&
        evhttp_request_get_command(request) == EVHTTP_REQ_HEAD)
      result.response.headers.Add("Content-Length", length);
    keep = true;
  }
  if (keep)
    KeepIdle(ended.address, connection);
  else
    FreeLater(connection);
  if (ended.launching)
    FinishLater(ended.id, result);
  else
    Finish(ended.id, result);
}

void http_target_client::Finish(target_call_id id,
                                const target_result& result) {
  const auto found = calls_.find(id);
  const std::unique_ptr<call> ended = std::move(found->second);
  calls_.erase(found);
  loop_->Cancel(ended->timeout_timer);
  results_[static_cast<size_t>(result.error)]->Increment();
  ended->done(result);
}

void http_target_client::FinishLater(target_call_id id,
                                     const target_result& result) {
  call& ended = *calls_.at(id);
  loop_->Cancel(std::exchange(ended.timeout_timer, 0));
  ended.finish_timer = loop_->RunAfter(
      duration::zero(), [this, id, result] { Finish(id, result); });
}

void http_target_client::Cancel(target_call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  const std::unique_ptr<call> ended = std::move(found->second);
  calls_.erase(found);
  loop_->Cancel(ended->timeout_timer);
  loop_->Cancel(ended->finish_timer);
  if (ended->connection != nullptr)
    evhttp_connection_free(ended->connection);
}

evhttp_connection* http_target_client::TakeIdle(const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end())
    return nullptr;
  std::vector<idle_connection>& pool = found->second;
  const time_point oldest = loop_->Now() - settings_.max_idle;
  evhttp_connection* taken = nullptr;
  // The newest is at the end.
  while (!pool.empty() && taken == nullptr) {
    const idle_connection last = pool.back();
    pool.pop_back();
    if (last.since >= oldest && IsUsable(last.connection))
      taken = last.connection;
    else
      FreeLater(last.connection);
  }
  if (pool.empty())
    idle_.erase(found);
  return taken;
}

void http_target_client::KeepIdle(const std::string& address,
                                  evhttp_connection* connection) {
  std::vector<idle_connection>& pool = idle_[address];
  // evhttp has closed the socket when the target asked for that.
  if (!IsUsable(connection) || pool.size() >= settings_.max_idle_per_target) {
    FreeLater(connection);
    return;
  }
  pool.push_back({connection, loop_->Now()});
  if (sweep_timer_ == 0) {
    sweep_timer_ = loop_->RunAfter(settings_.max_idle, [this] {
      sweep_timer_ = 0;
      Sweep();
    });
  }
}

void http_target_client::Sweep() {
  const time_point oldest = loop_->Now() - settings_.max_idle;
  for (auto position = idle_.begin(); position != idle_.end();) {
    std::vector<idle_connection>& pool = position->second;
    const auto kept = std::find_if(
        pool.begin(), pool.end(),
        [oldest](const idle_connection& each) { return each.since >= oldest; });
    for (auto each = pool.begin(); each != kept; ++each)
      FreeLater(each->connection);
    pool.erase(pool.begin(), kept);
    position = pool.empty() ? idle_.erase(position) : std::next(position);
  }
  if (!idle_.empty()) {
    sweep_timer_ = loop_->RunAfter(settings_.max_idle, [this] {
      sweep_timer_ = 0;
      Sweep();
    });
  }
}

void http_target_client::FreeLater(evhttp_connection* connection) {
  garbage_.push_back(connection);
  if (garbage_timer_ == 0) {
    garbage_timer_ = loop_->RunAfter(duration::zero(), [this] {
      garbage_timer_ = 0;
      FreeGarbage();
    });
  }
}

void http_target_client::FreeGarbage() {
  for (evhttp_connection* each : std::exchange(garbage_, {}))
    evhttp_connection_free(each);
}

size_t http_target_client::idle_connections() const {
  size_t count = 0;
  for (const auto& [address, pool] : idle_)
    count += pool.size();
  return count;
}

}  // namespace skylarkhoist
