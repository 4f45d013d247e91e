#include "wire/http_target_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <http_parser.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <utility>

#include "wire/address.h"
#include "wire/http_fields.h"

namespace skylarkhoist {
namespace {

constexpr std::array<const char*, 6> kResultLabels = {
    "ok",      "connect_refused", "connection_lost",
    "timeout", "malformed",       "too_large"};

constexpr std::array<std::string_view, 7> kMethods = {
    "GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"};

bool IsKnownMethod(std::string_view method) {
  return std::find(kMethods.begin(), kMethods.end(), method) != kMethods.end();
}

bool MayHaveBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

// A path with a space or line break would change the request line.
bool IsValidPath(const std::string& path) {
  return !path.empty() && std::all_of(path.begin(), path.end(), [](char each) {
    return static_cast<unsigned char>(each) > ' ' && each != '\x7f';
  });
}

bool HasLineBreak(std::string_view value) {
  return value.find_first_of("\r\n") != std::string_view::npos;
}

std::string HeadOf(const http_request& request, const std::string& address) {
  std::string head;
  head.reserve(512);
  head.append(request.method).append(" ").append(request.path);
  head.append(" HTTP/1.1\r\n");
  const std::string* host = request.headers.Find("Host");
  head.append("Host: ").append(host == nullptr ? address : *host);
  head.append("\r\n");
  for (const auto& [name, value] : request.headers.items()) {
    if (!IsFieldName(name) || IsConnectionField(name) || HasLineBreak(value) ||
        strcasecmp(name.c_str(), "Host") == 0)
      continue;
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (MayHaveBody(request.method)) {
    head.append("Content-Length: ")
        .append(std::to_string(request.body.size()))
        .append("\r\n");
  }
  head.append("\r\n");
  return head;
}

// Reads the seconds of "timeout=5, max=100"; nothing when there are none.
std::optional<duration> KeepAliveOf(const http_headers& headers) {
  const std::string* field = headers.Find("Keep-Alive");
  if (field == nullptr)
    return std::nullopt;
  constexpr std::string_view kName = "timeout=";
  const size_t start = field->find(kName);
  if (start == std::string::npos)
    return std::nullopt;
  int seconds = 0;
  const char* first = field->data() + start + kName.size();
  const auto [end, error] =
      std::from_chars(first, field->data() + field->size(), seconds);
  if (error != std::errc() || seconds < 0)
    return std::nullopt;
  return std::chrono::seconds(seconds);
}

target_result Failure(target_error error, bool may_have_run) {
  target_result result;
  result.error = error;
  result.may_have_run = may_have_run;
  return result;
}

}  // namespace

struct http_target_client::call {
  target_call_id id = 0;
  std::unique_ptr<connection> used;
  std::string echo;
  timer_id timeout_timer = 0;
  timer_id connect_timer = 0;
  timer_id finish_timer = 0;
  callback done;
};

// One connection to a target and the response that it reads.
class http_target_client::connection {
 public:
  connection(http_target_client* client, std::string address)
      : client_(client), address_(std::move(address)) {}

  ~connection() {
    if (stream_ != nullptr)
      bufferevent_free(stream_);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  // Returns false when no connection can be started.
  bool Connect(const socket_address& target) {
    stream_ = bufferevent_socket_new(client_->loop_->base(), -1,
                                     BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        stream_,
        [](bufferevent*, void* self) {
          static_cast<connection*>(self)->OnReadable();
        },
        nullptr,
        [](bufferevent*, short what, void* self) {
          static_cast<connection*>(self)->OnEvent(what);
        },
        this);
    // Responses are read even while the request is written: a target may answer
    // before it has read the whole body.
    bufferevent_enable(stream_, EV_READ | EV_WRITE);
    if (bufferevent_socket_connect(stream_, target.get(),
                                   static_cast<int>(target.length)) != 0)
      return false;
    const int fd = bufferevent_getfd(stream_);
    if (fd >= 0) {
      DisableNagle(fd);
      EnableKeepAlive(fd);
    }
    return true;
  }

  void Send(target_call_id id, const http_request& request) {
    call_ = id;
    is_head_ = request.method == "HEAD";
    StartResponse();
    const std::string head = HeadOf(request, address_);
    evbuffer* output = bufferevent_get_output(stream_);
    evbuffer_add(output, head.data(), head.size());
    evbuffer_add(output, request.body.data(), request.body.size());
  }

  // An idle connection has nothing to read. Bytes after a response would be
  // taken for the response to the next call.
  bool IsUsable() const {
    const int fd = bufferevent_getfd(stream_);
    if (fd < 0 || ended_ || client_->loop_->Now() >= idle_until_ ||
        evbuffer_get_length(bufferevent_get_input(stream_)) > 0)
      return false;
    char byte = 0;
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  // Whether the connection may take another call after this response.
  bool IsReusable() const {
    return reusable_ && !ended_ &&
           evbuffer_get_length(bufferevent_get_output(stream_)) == 0 &&
           evbuffer_get_length(bufferevent_get_input(stream_)) == 0;
  }

  void SetIdle(time_point until) {
    call_ = 0;
    idle_until_ = until;
  }

  bool connected() const { return connected_; }
  time_point idle_until() const { return idle_until_; }
  const std::string& address() const { return address_; }
  http_response& response() { return response_; }

 private:
  static connection* From(http_parser* parser) {
    return static_cast<connection*>(parser->data);
  }

  static const http_parser_settings& ParserSettings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_header_field = [](http_parser* parser, const char* at,
                                    size_t length) {
        return From(parser)->OnFieldName({at, length});
      };
      settings.on_header_value = [](http_parser* parser, const char* at,
                                    size_t length) {
        return From(parser)->OnFieldValue({at, length});
      };
      settings.on_headers_complete = [](http_parser* parser) {
        return From(parser)->OnHeadersComplete();
      };
      settings.on_body = [](http_parser* parser, const char* at,
                            size_t length) {
        return From(parser)->OnBody({at, length});
      };
      settings.on_message_complete = [](http_parser* parser) {
        return From(parser)->OnMessageComplete();
      };
      return settings;
    }();
    return kSettings;
  }

  void StartResponse() {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    response_ = http_response();
    name_.clear();
    value_.clear();
    header_bytes_ = 0;
    complete_ = false;
    error_ = target_error::kNone;
  }

  int OnFieldName(std::string_view text) {
    if (!value_.empty() || in_value_)
      FinishField();
    name_.append(text);
    return CountHeaderBytes(text.size());
  }

  int OnFieldValue(std::string_view text) {
    in_value_ = true;
    value_.append(text);
    return CountHeaderBytes(text.size());
  }

  int CountHeaderBytes(size_t count) {
    header_bytes_ += count;
    if (header_bytes_ <= client_->settings_.max_header_bytes)
      return 0;
    error_ = target_error::kTooLarge;
    return 1;
  }

  void FinishField() {
    fields_.Add(std::move(name_), std::move(value_));
    name_.clear();
    value_.clear();
    in_value_ = false;
  }

  int OnHeadersComplete() {
    if (!name_.empty())
      FinishField();
    response_.status = parser_.status_code;
    response_.headers = std::exchange(fields_, http_headers());
    if (parser_.status_code < 200 && parser_.status_code != 100) {
      error_ = target_error::kMalformed;
      return -1;
    }
    const uint64_t announced = parser_.content_length;
    if (announced != UINT64_MAX &&
        announced > client_->settings_.max_body_bytes && !is_head_) {
      error_ = target_error::kTooLarge;
      return -1;
    }
    return is_head_ ? 1 : 0;
  }

  int OnBody(std::string_view text) {
    if (response_.body.size() + text.size() >
        client_->settings_.max_body_bytes) {
      error_ = target_error::kTooLarge;
      return 1;
    }
    response_.body.append(text);
    return 0;
  }

  int OnMessageComplete() {
    reusable_ = reusable_ && http_should_keep_alive(&parser_) != 0;
    if (parser_.status_code == 100)
      return 0;
    complete_ = true;
    // What follows belongs to no request of this client.
    http_parser_pause(&parser_, 1);
    return 0;
  }

  // Parses what has arrived. Returns false when the call has ended, after which
  // this object may be gone.
  bool Parse() {
    evbuffer* input = bufferevent_get_input(stream_);
    while (evbuffer_get_length(input) > 0) {
      const size_t size = evbuffer_get_contiguous_space(input);
      const auto* bytes = reinterpret_cast<const char*>(
          evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
      const size_t parsed =
          http_parser_execute(&parser_, &ParserSettings(), bytes, size);
      evbuffer_drain(input, parsed);
      if (complete_) {
        if (!FinishResponse())
          return false;
      } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
        client_->OnFailure(call_, error_ == target_error::kNone
                                      ? target_error::kMalformed
                                      : error_);
        return false;
      }
    }
    return true;
  }

  // Returns false when the response ended the call, and true when it belongs to
  // another request.
  bool FinishResponse() {
    const std::string& name = client_->settings_.echo_field;
    const std::string* echo =
        name.empty() ? nullptr : response_.headers.Find(name);
    const auto found = client_->calls_.find(call_);
    if (echo != nullptr && *echo != found->second->echo) {
      client_->foreign_responses_.Increment();
      reusable_ = false;
      StartResponse();
      return true;
    }
    client_->OnResponse(call_);
    return false;
  }

  void OnReadable() {
    if (call_ == 0) {
      ended_ = true;  // Bytes that no call asked for.
      return;
    }
    Parse();
  }

  void OnEvent(short what) {
    if ((what & BEV_EVENT_CONNECTED) != 0) {
      connected_ = true;
      return;
    }
    ended_ = true;
    if (call_ == 0)
      return;
    if (!connected_) {
      client_->OnFailure(call_, target_error::kConnectRefused);
      return;
    }
    // The rest of a response may have arrived together with the end.
    if (!Parse())
      return;
    if ((what & BEV_EVENT_EOF) != 0) {
      // Ends a response that has no length.
      http_parser_execute(&parser_, &ParserSettings(), nullptr, 0);
      if (complete_ && !FinishResponse())
        return;
    }
    client_->OnFailure(call_, target_error::kConnectionLost);
  }

  http_target_client* client_;
  std::string address_;
  bufferevent* stream_ = nullptr;
  bool connected_ = false;
  bool ended_ = false;
  bool reusable_ = true;
  time_point idle_until_ = time_point::max();
  // 0 while the connection is idle.
  target_call_id call_ = 0;
  bool is_head_ = false;
  http_parser parser_{};
  http_headers fields_;
  std::string name_;
  std::string value_;
  bool in_value_ = false;
  size_t header_bytes_ = 0;
  bool complete_ = false;
  target_error error_ = target_error::kNone;
  http_response response_;
};

http_target_client::http_target_client(event_loop* loop,
                                       http_target_client_settings settings,
                                       metrics* counters)
    : loop_(loop),
      settings_(std::move(settings)),
      own_metrics_(counters == nullptr ? std::make_unique<metrics>() : nullptr),
      connections_opened_((counters == nullptr ? *own_metrics_ : *counters)
                              .Counter("skylarkhoist_target_connections_total",
                                       "Connections used for calls to targets",
                                       {{"kind", "new"}})),
      connections_reused_((counters == nullptr ? *own_metrics_ : *counters)
                              .Counter("skylarkhoist_target_connections_total",
                                       "Connections used for calls to targets",
                                       {{"kind", "reused"}})),
      foreign_responses_(
          (counters == nullptr ? *own_metrics_ : *counters)
              .Counter("skylarkhoist_target_foreign_responses_total",
                       "Responses that belong to an earlier request")) {
  metrics& all = counters == nullptr ? *own_metrics_ : *counters;
  for (const char* label : kResultLabels) {
    results_.push_back(&all.Counter("skylarkhoist_target_calls_total",
                                    "Calls to targets by their end",
                                    {{"result", label}}));
  }
}

http_target_client::~http_target_client() {
  loop_->Cancel(sweep_timer_);
  for (auto& [id, each] : calls_) {
    loop_->Cancel(each->timeout_timer);
    loop_->Cancel(each->connect_timer);
    loop_->Cancel(each->finish_timer);
  }
}

target_call_id http_target_client::Call(const std::string& address,
                                        const http_request& request,
                                        duration timeout,
                                        callback done) {
  const target_call_id id = next_id_++;
  call& started = *calls_.emplace(id, std::make_unique<call>()).first->second;
  started.id = id;
  started.done = std::move(done);
  if (!settings_.echo_field.empty()) {
    if (const std::string* echo = request.headers.Find(settings_.echo_field))
      started.echo = *echo;
  }
  if (!IsKnownMethod(request.method) || !IsValidPath(request.path) ||
      (!request.body.empty() && !MayHaveBody(request.method))) {
    FinishLater(id, Failure(target_error::kMalformed, false));
    return id;
  }
  const auto target = ParseAddress(address);
  if (!target) {
    FinishLater(id, Failure(target_error::kConnectRefused, false));
    return id;
  }
  started.used = TakeIdle(address);
  if (started.used != nullptr) {
    connections_reused_.Increment();
  } else {
    connections_opened_.Increment();
    started.used = std::make_unique<connection>(this, address);
    if (!started.used->Connect(*target)) {
      FinishLater(id, Failure(target_error::kConnectRefused, false));
      return id;
    }
    if (settings_.connect_timeout < timeout) {
      started.connect_timer =
          loop_->RunAfter(settings_.connect_timeout, [this, id] {
            call& late = *calls_.at(id);
            late.connect_timer = 0;
            if (!late.used->connected())
              OnFailure(id, target_error::kConnectRefused);
          });
    }
  }
  started.timeout_timer = loop_->RunAfter(timeout, [this, id] {
    calls_.at(id)->timeout_timer = 0;
    OnFailure(id, target_error::kTimeout);
  });
  started.used->Send(id, request);
  return id;
}

void http_target_client::OnResponse(target_call_id id) {
  call& ended = *calls_.at(id);
  target_result result;
  result.response = std::move(ended.used->response());
  std::unique_ptr<connection> used = std::move(ended.used);
  if (used->IsReusable()) {
    const duration idle = std::min(
        settings_.max_idle,
        KeepAliveOf(result.response.headers).value_or(duration::max()));
    used->SetIdle(loop_->Now() + idle);
    KeepIdle(std::move(used));
  }
  http_headers passed_on;
  for (const auto& [name, value] : result.response.headers.items()) {
    if (!IsConnectionField(name))
      passed_on.Add(name, value);
  }
  result.response.headers = std::move(passed_on);
  Finish(id, result);
}

void http_target_client::OnFailure(target_call_id id, target_error error) {
  const bool may_have_run = calls_.at(id)->used->connected();
  Finish(id, Failure(error, may_have_run));
}

void http_target_client::Finish(target_call_id id,
                                const target_result& result) {
  const auto found = calls_.find(id);
  const std::unique_ptr<call> ended = std::move(found->second);
  calls_.erase(found);
  loop_->Cancel(ended->timeout_timer);
  loop_->Cancel(ended->connect_timer);
  results_[static_cast<size_t>(result.error)]->Increment();
  ended->done(result);
}

void http_target_client::FinishLater(target_call_id id,
                                     const target_result& result) {
  call& ended = *calls_.at(id);
  ended.finish_timer = loop_->RunAfter(
      duration::zero(), [this, id, result] { Finish(id, result); });
}

void http_target_client::Cancel(target_call_id id) {
  const auto found = calls_.find(id);
  if (found == calls_.end())
    return;
  loop_->Cancel(found->second->timeout_timer);
  loop_->Cancel(found->second->connect_timer);
  loop_->Cancel(found->second->finish_timer);
  calls_.erase(found);
}

std::unique_ptr<http_target_client::connection> http_target_client::TakeIdle(
    const std::string& address) {
  const auto found = idle_.find(address);
  if (found == idle_.end())
    return nullptr;
  auto& pool = found->second;
  std::unique_ptr<connection> taken;
  while (!pool.empty() && taken == nullptr) {
    std::unique_ptr<connection> last = std::move(pool.back());
    pool.pop_back();
    if (last->IsUsable())
      taken = std::move(last);
  }
  if (pool.empty())
    idle_.erase(found);
  return taken;
}

void http_target_client::KeepIdle(std::unique_ptr<connection> kept) {
  auto& pool = idle_[kept->address()];
  if (pool.size() >= settings_.max_idle_per_target)
    return;
  pool.push_back(std::move(kept));
  ScheduleSweep();
}

void http_target_client::ScheduleSweep() {
  if (sweep_timer_ != 0 || idle_.empty())
    return;
  sweep_timer_ = loop_->RunAfter(settings_.max_idle, [this] {
    sweep_timer_ = 0;
    Sweep();
  });
}

void http_target_client::Sweep() {
  for (auto position = idle_.begin(); position != idle_.end();) {
    auto& pool = position->second;
    pool.erase(std::remove_if(pool.begin(), pool.end(),
                              [](const std::unique_ptr<connection>& each) {
                                return !each->IsUsable();
                              }),
               pool.end());
    position = pool.empty() ? idle_.erase(position) : std::next(position);
  }
  ScheduleSweep();
}

size_t http_target_client::idle_connections() const {
  size_t count = 0;
  for (const auto& [address, pool] : idle_)
    count += pool.size();
  return count;
}

}  // namespace skylarkhoist
