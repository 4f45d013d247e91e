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

// Values of the "result" label, indexed by target_error.
constexpr std::array<const char*, 6> kResultLabels = {
    "ok",      "connect_refused", "connection_lost",
    "timeout", "malformed",       "too_large"};

constexpr std::array<std::string_view, 7> kSupportedMethods = {
    "GET", "POST", "HEAD", "PUT", "DELETE", "OPTIONS", "PATCH"};

// Responses to earlier requests that are skipped before a call fails.
constexpr int kMaxForeignResponses = 4;

// Memory of a header field besides its text.
constexpr size_t kFieldOverheadBytes = 2 * sizeof(std::string);

// Bytes of chunk framing that are allowed for each byte of the body. Chunks of
// one byte have five.
constexpr size_t kMaxFramingPerBodyByte = 8;

bool IsSupportedMethod(std::string_view method) {
  return std::find(kSupportedMethods.begin(), kSupportedMethods.end(),
                   method) != kSupportedMethods.end();
}

bool MayHaveBody(std::string_view method) {
  return method == "POST" || method == "PUT" || method == "PATCH";
}

// A space or line break in the path would change the request line.
bool IsValidPath(const std::string& path) {
  return !path.empty() && std::all_of(path.begin(), path.end(), [](char c) {
    return static_cast<unsigned char>(c) > ' ' && c != '\x7f';
  });
}

bool HasLineBreak(std::string_view value) {
  return value.find_first_of("\r\n") != std::string_view::npos;
}

std::string BuildRequestHead(const http_request& request,
                             size_t body_size,
                             const std::string& address) {
  std::string head;
  head.reserve(512);
  head.append(request.method).append(" ").append(request.path);
  head.append(" HTTP/1.1\r\n");
  const std::string* host = request.headers.Find("Host");
  head.append("Host: ").append(host == nullptr ? address : *host);
  head.append("\r\n");
  for (const auto& [name, value] : request.headers.items()) {
    if (!IsValidFieldName(name) || IsHopByHopField(name) ||
        HasLineBreak(value) || strcasecmp(name.c_str(), "Host") == 0)
      continue;
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (MayHaveBody(request.method)) {
    head.append("Content-Length: ")
        .append(std::to_string(body_size))
        .append("\r\n");
  }
  head.append("\r\n");
  return head;
}

// Returns the timeout in a Keep-Alive field such as "timeout=5, max=100", or
// nothing if it is missing or invalid.
std::optional<duration> KeepAliveTimeoutOf(const http_headers& headers) {
  const std::string* field = headers.Find("Keep-Alive");
  if (field == nullptr)
    return std::nullopt;
  constexpr std::string_view kParameter = "timeout=";
  const size_t start = field->find(kParameter);
  if (start == std::string::npos)
    return std::nullopt;
  int seconds = 0;
  const char* digits = field->data() + start + kParameter.size();
  const auto [end, error] =
      std::from_chars(digits, field->data() + field->size(), seconds);
  if (error != std::errc() || seconds < 0)
    return std::nullopt;
  return std::chrono::seconds(seconds);
}

target_result MakeFailure(target_error error, bool may_have_run) {
  target_result result;
  result.error = error;
  result.may_have_run = may_have_run;
  return result;
}

}  // namespace

struct http_target_client::call {
  target_call_id id = 0;
  std::unique_ptr<connection> conn;
  std::string expected_echo;
  timer_id timeout_timer = 0;
  timer_id connect_timer = 0;
  timer_id finish_timer = 0;
  callback done;
};

// A connection to a target, with the parser of its responses.
class http_target_client::connection {
 public:
  connection(http_target_client* client, std::string address)
      : client_(client), address_(std::move(address)) {}

  ~connection() {
    client_->RemoveBufferedBytes(buffered_bytes());
    if (stream_ != nullptr)
      bufferevent_free(stream_);
  }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  // Begins to connect. Returns false if that fails at once.
  bool Connect(const socket_address& target) {
    stream_ = bufferevent_socket_new(client_->loop_->base(), -1,
                                     BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(
        stream_,
        [](bufferevent*, void* self) {
          static_cast<connection*>(self)->OnReadable();
        },
        nullptr,
        [](bufferevent*, short events, void* self) {
          static_cast<connection*>(self)->OnEvent(events);
        },
        this);
    // The response is read even while the request is being written, since a
    // target may respond before it has read the whole body.
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

  void Send(target_call_id id,
            const http_request& request,
            std::vector<uint8_t> owned_body) {
    call_id_ = id;
    foreign_responses_ = 0;
    is_head_request_ = request.method == "HEAD";
    ResetResponse();
    const size_t body_size =
        owned_body.empty() ? request.body.size() : owned_body.size();
    const std::string head = BuildRequestHead(request, body_size, address_);
    evbuffer* output = bufferevent_get_output(stream_);
    evbuffer_add(output, head.data(), head.size());
    if (owned_body.empty()) {
      evbuffer_add(output, request.body.data(), body_size);
      return;
    }
    auto* kept = new std::vector<uint8_t>(std::move(owned_body));
    evbuffer_add_reference(
        output, kept->data(), kept->size(),
        [](const void*, size_t, void* body) {
          delete static_cast<std::vector<uint8_t>*>(body);
        },
        kept);
  }

  // Whether the idle connection is open and has no unread data, which would be
  // parsed as the response to the next call.
  bool IsUsable() const {
    const int fd = bufferevent_getfd(stream_);
    if (fd < 0 || unusable_ || client_->loop_->Now() >= idle_until_ ||
        evbuffer_get_length(bufferevent_get_input(stream_)) > 0)
      return false;
    char byte = 0;
    return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 &&
           (errno == EAGAIN || errno == EWOULDBLOCK);
  }

  // Whether the connection can be pooled after its response is complete.
  bool IsReusable() const {
    return reusable_ && !unusable_ &&
           evbuffer_get_length(bufferevent_get_output(stream_)) == 0 &&
           evbuffer_get_length(bufferevent_get_input(stream_)) == 0;
  }

  void SetIdle(time_point until) {
    call_id_ = 0;
    idle_until_ = until;
  }

  bool connected() const { return connected_; }
  time_point idle_until() const { return idle_until_; }
  const std::string& address() const { return address_; }
  // Estimate of the memory that the incomplete response takes.
  size_t buffered_bytes() const {
    return header_bytes_ + response_.body.size();
  }
  http_response TakeResponse() {
    client_->RemoveBufferedBytes(buffered_bytes());
    header_bytes_ = 0;
    return std::exchange(response_, http_response());
  }

 private:
  static connection* FromParser(http_parser* parser) {
    return static_cast<connection*>(parser->data);
  }

  static const http_parser_settings& ParserSettings() {
    static const http_parser_settings kSettings = [] {
      http_parser_settings settings;
      http_parser_settings_init(&settings);
      settings.on_header_field = [](http_parser* parser, const char* at,
                                    size_t length) {
        return FromParser(parser)->OnFieldName({at, length});
      };
      settings.on_header_value = [](http_parser* parser, const char* at,
                                    size_t length) {
        return FromParser(parser)->OnFieldValue({at, length});
      };
      settings.on_headers_complete = [](http_parser* parser) {
        return FromParser(parser)->OnHeadersComplete();
      };
      settings.on_body = [](http_parser* parser, const char* at,
                            size_t length) {
        return FromParser(parser)->OnBody({at, length});
      };
      settings.on_message_complete = [](http_parser* parser) {
        return FromParser(parser)->OnMessageComplete();
      };
      return settings;
    }();
    return kSettings;
  }

  void ResetResponse() {
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    TakeResponse();
    received_bytes_ = 0;
    field_name_.clear();
    field_value_.clear();
    response_complete_ = false;
    parse_error_ = target_error::kNone;
  }

  int OnFieldName(std::string_view text) {
    size_t size = text.size();
    if (!field_value_.empty() || in_field_value_) {
      FinishField();
      size += kFieldOverheadBytes;
    }
    field_name_.append(text);
    return CountHeaderBytes(size);
  }

  int OnFieldValue(std::string_view text) {
    in_field_value_ = true;
    field_value_.append(text);
    return CountHeaderBytes(text.size());
  }

  int CountHeaderBytes(size_t count) {
    header_bytes_ += count;
    client_->AddBufferedBytes(count);
    if (header_bytes_ <= client_->settings_.max_header_bytes)
      return 0;
    parse_error_ = target_error::kTooLarge;
    return 1;
  }

  void FinishField() {
    fields_.Add(std::move(field_name_), std::move(field_value_));
    field_name_.clear();
    field_value_.clear();
    in_field_value_ = false;
  }

  int OnHeadersComplete() {
    if (!field_name_.empty())
      FinishField();
    response_.status = parser_.status_code;
    response_.headers = std::exchange(fields_, http_headers());
    // Codes below 100 and above 599 are invalid, and callers would take some of
    // them for an answer. No interim response but 100 is asked for.
    if (parser_.status_code > 599 ||
        (parser_.status_code < 200 && parser_.status_code != 100)) {
      parse_error_ = target_error::kMalformed;
      return -1;
    }
    const uint64_t content_length = parser_.content_length;
    if (content_length != UINT64_MAX &&
        content_length > client_->settings_.max_body_bytes &&
        !is_head_request_) {
      parse_error_ = target_error::kTooLarge;
      return -1;
    }
    return is_head_request_ ? 1 : 0;
  }

  int OnBody(std::string_view text) {
    if (response_.body.size() + text.size() >
        client_->settings_.max_body_bytes) {
      parse_error_ = target_error::kTooLarge;
      return 1;
    }
    response_.body.append(text);
    client_->AddBufferedBytes(text.size());
    return 0;
  }

  int OnMessageComplete() {
    reusable_ = reusable_ && http_should_keep_alive(&parser_) != 0;
    if (parser_.status_code == 100)
      return 0;
    response_complete_ = true;
    // Data after the response belongs to no request of this client.
    http_parser_pause(&parser_, 1);
    return 0;
  }

  // Whether the data received for the response is far more than its headers and
  // body: interim responses, chunk extensions or trailers without end.
  bool IsEndless() const {
    return received_bytes_ >
           client_->settings_.max_header_bytes +
               response_.body.size() * (1 + kMaxFramingPerBodyByte);
  }

  // Parses the received data. Returns false if that ended the call; this object
  // may then be destroyed.
  bool ParseInput() {
    evbuffer* input = bufferevent_get_input(stream_);
    while (evbuffer_get_length(input) > 0) {
      const size_t size = evbuffer_get_contiguous_space(input);
      const auto* bytes = reinterpret_cast<const char*>(
          evbuffer_pullup(input, static_cast<ev_ssize_t>(size)));
      const size_t parsed =
          http_parser_execute(&parser_, &ParserSettings(), bytes, size);
      evbuffer_drain(input, parsed);
      received_bytes_ += parsed;
      if (response_complete_) {
        if (!DeliverResponse())
          return false;
      } else if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
        client_->OnFailure(call_id_, parse_error_ == target_error::kNone
                                         ? target_error::kMalformed
                                         : parse_error_);
        return false;
      } else if (IsEndless()) {
        client_->OnFailure(call_id_, target_error::kTooLarge);
        return false;
      }
    }
    return true;
  }

  // Returns false if the response ended the call; this object may then be
  // destroyed. Returns true if the response belongs to an earlier request.
  bool DeliverResponse() {
    const std::string& name = client_->settings_.echo_field;
    const std::string* echo =
        name.empty() ? nullptr : response_.headers.Find(name);
    const std::string& expected = client_->calls_.at(call_id_)->expected_echo;
    if (echo != nullptr && *echo != expected) {
      client_->foreign_responses_.Increment();
      reusable_ = false;
      if (++foreign_responses_ > kMaxForeignResponses) {
        client_->OnFailure(call_id_, target_error::kMalformed);
        return false;
      }
      ResetResponse();
      return true;
    }
    // It may be an earlier response once more, or bytes that are no response of
    // the target, so that even a refusal does not prove that this request has
    // not run.
    if (echo == nullptr && !expected.empty()) {
      client_->foreign_responses_.Increment();
      client_->OnFailure(call_id_, target_error::kMalformed);
      return false;
    }
    client_->OnResponse(call_id_);
    return false;
  }

  void OnReadable() {
    if (call_id_ == 0) {
      // Received data without a request. Stops reading, since it may not end.
      unusable_ = true;
      bufferevent_disable(stream_, EV_READ);
      client_->ScheduleSweep(duration::zero());
      return;
    }
    ParseInput();
  }

  void OnEvent(short events) {
    if ((events & BEV_EVENT_CONNECTED) != 0) {
      connected_ = true;
      return;
    }
    unusable_ = true;
    if (call_id_ == 0)
      return;
    if (!connected_) {
      client_->OnFailure(call_id_, target_error::kConnectRefused);
      return;
    }
    // The rest of a response may have arrived together with the close.
    if (!ParseInput())
      return;
    if ((events & BEV_EVENT_EOF) != 0) {
      // Tells the parser about the close, which completes a response without a
      // length.
      http_parser_execute(&parser_, &ParserSettings(), nullptr, 0);
      if (response_complete_ && !DeliverResponse())
        return;
    }
    client_->OnFailure(call_id_, target_error::kConnectionLost);
  }

  http_target_client* client_;
  std::string address_;
  bufferevent* stream_ = nullptr;
  bool connected_ = false;
  bool unusable_ = false;
  bool reusable_ = true;
  time_point idle_until_ = time_point::max();
  // 0 while the connection is idle.
  target_call_id call_id_ = 0;
  // Responses to other requests since the last request.
  int foreign_responses_ = 0;
  // Bytes parsed for the present response, including interim ones.
  size_t received_bytes_ = 0;
  bool is_head_request_ = false;
  http_parser parser_{};
  http_headers fields_;
  std::string field_name_;
  std::string field_value_;
  bool in_field_value_ = false;
  size_t header_bytes_ = 0;
  bool response_complete_ = false;
  target_error parse_error_ = target_error::kNone;
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
  metrics& all_metrics = counters == nullptr ? *own_metrics_ : *counters;
  for (const char* label : kResultLabels) {
    calls_by_result_.push_back(&all_metrics.Counter(
        "skylarkhoist_target_calls_total", "Calls to targets by their end",
        {{"result", label}}));
  }
}

http_target_client::~http_target_client() {
  loop_->Cancel(sweep_timer_);
  loop_->Cancel(fail_largest_timer_);
  for (auto& [id, open_call] : calls_) {
    loop_->Cancel(open_call->timeout_timer);
    loop_->Cancel(open_call->connect_timer);
    loop_->Cancel(open_call->finish_timer);
  }
}

target_call_id http_target_client::Call(const std::string& address,
                                        const http_request& request,
                                        duration timeout,
                                        callback done) {
  return StartCall(address, request, {}, timeout, std::move(done));
}

target_call_id http_target_client::CallWithBody(const std::string& address,
                                                http_request&& request,
                                                std::vector<uint8_t>&& body,
                                                duration timeout,
                                                callback done) {
  return StartCall(address, request, std::move(body), timeout, std::move(done));
}

target_call_id http_target_client::StartCall(const std::string& address,
                                             const http_request& request,
                                             std::vector<uint8_t> owned_body,
                                             duration timeout,
                                             callback done) {
  const target_call_id id = next_id_++;
  call& started = *calls_.emplace(id, std::make_unique<call>()).first->second;
  started.id = id;
  started.done = std::move(done);
  if (!settings_.echo_field.empty()) {
    if (const std::string* echo = request.headers.Find(settings_.echo_field))
      started.expected_echo = *echo;
  }
  if (!IsSupportedMethod(request.method) || !IsValidPath(request.path) ||
      ((!request.body.empty() || !owned_body.empty()) &&
       !MayHaveBody(request.method))) {
    FinishAsync(id, MakeFailure(target_error::kMalformed, false));
    return id;
  }
  const auto target = ParseAddress(address);
  if (!target) {
    FinishAsync(id, MakeFailure(target_error::kConnectRefused, false));
    return id;
  }
  started.conn = TakeFromPool(address);
  if (started.conn != nullptr) {
    connections_reused_.Increment();
  } else {
    connections_opened_.Increment();
    started.conn = std::make_unique<connection>(this, address);
    if (!started.conn->Connect(*target)) {
      FinishAsync(id, MakeFailure(target_error::kConnectRefused, false));
      return id;
    }
    if (settings_.connect_timeout < timeout) {
      started.connect_timer =
          loop_->RunAfter(settings_.connect_timeout, [this, id] {
            call& connecting = *calls_.at(id);
            connecting.connect_timer = 0;
            if (!connecting.conn->connected())
              OnFailure(id, target_error::kConnectRefused);
          });
    }
  }
  started.timeout_timer = loop_->RunAfter(timeout, [this, id] {
    calls_.at(id)->timeout_timer = 0;
    OnFailure(id, target_error::kTimeout);
  });
  started.conn->Send(id, request, std::move(owned_body));
  return id;
}

void http_target_client::OnResponse(target_call_id id) {
  call& finished = *calls_.at(id);
  target_result result;
  result.response = finished.conn->TakeResponse();
  std::unique_ptr<connection> conn = std::move(finished.conn);
  if (conn->IsReusable()) {
    const duration idle = std::min(
        settings_.max_idle,
        KeepAliveTimeoutOf(result.response.headers).value_or(duration::max()));
    conn->SetIdle(loop_->Now() + idle);
    ReturnToPool(std::move(conn));
  }
  http_headers end_to_end_headers;
  for (const auto& [name, value] : result.response.headers.items()) {
    if (!IsHopByHopField(name))
      end_to_end_headers.Add(name, value);
  }
  result.response.headers = std::move(end_to_end_headers);
  Finish(id, result);
}

void http_target_client::OnFailure(target_call_id id, target_error error) {
  const bool may_have_run = calls_.at(id)->conn->connected();
  Finish(id, MakeFailure(error, may_have_run));
}

void http_target_client::AddBufferedBytes(size_t bytes) {
  buffered_bytes_ += bytes;
  if (buffered_bytes_ <= settings_.max_buffered_bytes ||
      fail_largest_timer_ != 0)
    return;
  // A call must not end while its connection parses.
  fail_largest_timer_ = loop_->RunAfter(duration::zero(), [this] {
    fail_largest_timer_ = 0;
    FailLargestCalls();
  });
}

void http_target_client::FailLargestCalls() {
  const auto size_of = [](const auto& each) {
    const auto& conn = each.second->conn;
    return conn == nullptr ? size_t{0} : conn->buffered_bytes();
  };
  while (buffered_bytes_ > settings_.max_buffered_bytes) {
    const auto largest = std::max_element(
        calls_.begin(), calls_.end(), [&](const auto& left, const auto& right) {
          return size_of(left) < size_of(right);
        });
    if (largest == calls_.end() || size_of(*largest) == 0)
      return;
    OnFailure(largest->first, target_error::kTooLarge);
  }
}

void http_target_client::Finish(target_call_id id,
                                const target_result& result) {
  const auto found = calls_.find(id);
  const std::unique_ptr<call> finished = std::move(found->second);
  calls_.erase(found);
  loop_->Cancel(finished->timeout_timer);
  loop_->Cancel(finished->connect_timer);
  calls_by_result_[static_cast<size_t>(result.error)]->Increment();
  finished->done(result);
}

void http_target_client::FinishAsync(target_call_id id,
                                     const target_result& result) {
  call& finished = *calls_.at(id);
  finished.finish_timer = loop_->RunAfter(
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

std::unique_ptr<http_target_client::connection>
http_target_client::TakeFromPool(const std::string& address) {
  const auto found = idle_pools_.find(address);
  if (found == idle_pools_.end())
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
    idle_pools_.erase(found);
  return taken;
}

void http_target_client::ReturnToPool(std::unique_ptr<connection> returned) {
  auto& pool = idle_pools_[returned->address()];
  if (pool.size() >= settings_.max_idle_per_target)
    return;
  pool.push_back(std::move(returned));
  if (sweep_timer_ == 0)
    ScheduleSweep(settings_.max_idle);
}

void http_target_client::ScheduleSweep(duration delay) {
  loop_->Cancel(sweep_timer_);
  sweep_timer_ = loop_->RunAfter(delay, [this] {
    sweep_timer_ = 0;
    Sweep();
  });
}

void http_target_client::Sweep() {
  for (auto position = idle_pools_.begin(); position != idle_pools_.end();) {
    auto& pool = position->second;
    pool.erase(std::remove_if(pool.begin(), pool.end(),
                              [](const std::unique_ptr<connection>& pooled) {
                                return !pooled->IsUsable();
                              }),
               pool.end());
    position = pool.empty() ? idle_pools_.erase(position) : std::next(position);
  }
  if (!idle_pools_.empty())
    ScheduleSweep(settings_.max_idle);
}

size_t http_target_client::idle_connections() const {
  size_t count = 0;
  for (const auto& [address, pool] : idle_pools_)
    count += pool.size();
  return count;
}

}  // namespace skylarkhoist
