#include "wire/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "wire/address.h"
#include "wire/http_fields.h"

namespace skylarkhoist {
namespace {

// evhttp responds to headers above its own limit with 400 and gives no reason.
// Requests with headers up to this size reach this class, which responds with
// 431.
constexpr size_t kEvhttpMaxHeaderBytes = 256U << 10U;

// Maximum size of one socket read or write; the default of libevent is 16 KiB.
constexpr size_t kMaxBytesPerSocketCall = 256U << 10U;

// A failed accept disables the listener; it is enabled again at this interval.
// Retrying accept at once would cause a busy loop.
constexpr auto kAcceptRetryInterval = std::chrono::milliseconds(250);

constexpr int kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                            EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                            EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

const char* MethodName(evhttp_cmd_type method) {
  switch (method) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_OPTIONS:
      return "OPTIONS";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    default:
      return "";
  }
}

bool MayHaveBody(evhttp_cmd_type method) {
  return method == EVHTTP_REQ_POST || method == EVHTTP_REQ_PUT ||
         method == EVHTTP_REQ_PATCH;
}

size_t HeaderBytes(evhttp_request* request) {
  size_t size = std::strlen(evhttp_request_get_uri(request));
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next)
    size += std::strlen(field->key) + std::strlen(field->value) + 4;
  return size;
}

// Returns the path and query of "/path?query" or "http://host/path?query".
std::string PathAndQuery(const char* uri) {
  if (uri[0] == '/' || uri[0] == '*')
    return uri;
  const char* scheme_end = std::strstr(uri, "://");
  const char* path =
      scheme_end == nullptr ? nullptr : std::strchr(scheme_end + 3, '/');
  return path == nullptr ? "/" : path;
}

std::string RefusalBody(std::string_view reason) {
  std::string body = R"({"reason":")";
  body += reason;
  body += R"(","ran":"no","request_id":""})";
  return body;
}

}  // namespace

// Exists from the call of the handler until the response is written or the
// connection closes.
struct http_server::open_exchange {
  uint64_t id = 0;
  http_server* server = nullptr;
  evhttp_connection* connection = nullptr;
  std::weak_ptr<http_exchange> exchange;
  // Detects a disconnect before the response, since evhttp does not read from
  // the connection until then.
  event* read_event = nullptr;

  void StopWatching() {
    if (read_event != nullptr)
      event_free(std::exchange(read_event, nullptr));
  }
  ~open_exchange() { StopWatching(); }
};

http_exchange::~http_exchange() {
  if (request_ == nullptr)
    return;
  server_->unanswered_requests_.Increment();
  http_response response;
  response.status = 500;
  Respond(response);
}

void http_exchange::Respond(const http_response& response) {
  if (request_ != nullptr)
    server_->Respond(*this, response);
}

void http_exchange::DropConnection() {
  if (request_ != nullptr)
    server_->DropConnection(*this);
}

http_server::http_server(event_loop* loop,
                         http_server_settings settings,
                         http_handler handler,
                         metrics* counters)
    : loop_(loop),
      settings_(std::move(settings)),
      handler_(std::move(handler)),
      evhttp_(evhttp_new(loop->base())),
      requests_(counters->Counter("skylarkhoist_http_requests_total",
                                  "Requests passed to the handler",
                                  {{"listener", settings_.name}})),
      callers_gone_(
          counters->Counter("skylarkhoist_http_callers_gone_total",
                            "Callers that disconnected before the response",
                            {{"listener", settings_.name}})),
      unanswered_requests_(
          counters->Counter("skylarkhoist_http_unanswered_total",
                            "Requests that got no response from the "
                            "handler",
                            {{"listener", settings_.name}})),
      headers_too_large_(counters->Counter(
          "skylarkhoist_http_refused_total",
          "Requests refused before the handler",
          {{"listener", settings_.name}, {"reason", "headers_too_large"}})),
      body_too_large_(counters->Counter(
          "skylarkhoist_http_refused_total",
          "Requests refused before the handler",
          {{"listener", settings_.name}, {"reason", "body_too_large"}})),
      bad_request_(counters->Counter(
          "skylarkhoist_http_refused_total",
          "Requests refused before the handler",
          {{"listener", settings_.name}, {"reason", "bad_request"}})) {
  evhttp_set_max_headers_size(evhttp_, kEvhttpMaxHeaderBytes);
  evhttp_set_max_body_size(evhttp_,
                           static_cast<ev_ssize_t>(settings_.max_body_bytes));
  evhttp_set_allowed_methods(evhttp_, kAllMethods);
  evhttp_set_default_content_type(evhttp_, nullptr);
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                          settings_.idle_timeout)
                          .count();
  const timeval idle{micros / 1'000'000, micros % 1'000'000};
  evhttp_set_timeout_tv(evhttp_, &idle);
  evhttp_set_gencb(
      evhttp_,
      [](evhttp_request* request, void* self) {
        static_cast<http_server*>(self)->HandleRequest(request);
      },
      this);
  evhttp_set_bevcb(
      evhttp_,
      [](event_base* base, void* self) {
        bufferevent* stream = bufferevent_socket_new(base, -1, 0);
        bufferevent_set_max_single_read(stream, kMaxBytesPerSocketCall);
        bufferevent_set_max_single_write(stream, kMaxBytesPerSocketCall);
        evbuffer_add_cb(
            bufferevent_get_output(stream),
            [](evbuffer* output, const evbuffer_cb_info* change, void* owner) {
              auto* server = static_cast<http_server*>(owner);
              if (change->n_added > 0 && !server->writing_response_)
                server->ReplaceErrorPage(output, change->n_added);
            },
            self);
        return stream;
      },
      this);
}

http_server::~http_server() {
  loop_->Cancel(resume_accept_timer_);
  for (auto& [connection, request] : open_exchanges_) {
    request->StopWatching();
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    if (const auto exchange = request->exchange.lock())
      exchange->request_ = nullptr;
  }
  evhttp_free(evhttp_);
}

tl::expected<void, findings> http_server::Listen() {
  findings problems;
  const std::string place = "/" + settings_.name + "/listen_address";
  const auto address = SplitAddress(settings_.listen_address);
  if (!address) {
    problems.Add(
        place, "must be \"ip:port\", got \"" + settings_.listen_address + "\"");
    return tl::unexpected(problems);
  }
  listening_socket_ = evhttp_bind_socket_with_handle(
      evhttp_, address->host.c_str(), address->port);
  if (listening_socket_ == nullptr) {
    problems.Add(place, "cannot listen on " + settings_.listen_address + ": " +
                            std::strerror(errno));
    return tl::unexpected(problems);
  }
  evconnlistener_set_error_cb(
      evhttp_bound_socket_get_listener(listening_socket_),
      [](evconnlistener* failed, void*) { evconnlistener_disable(failed); });
  ResumeAccepting();
  // Accepted sockets inherit the option from the listening socket.
  DisableNagle(evhttp_bound_socket_get_fd(listening_socket_));
  bound_address_ =
      LocalAddressOf(evhttp_bound_socket_get_fd(listening_socket_));
  return {};
}

// The listener's error callback disables the listener when accept fails, for
// example because of too many open files. It has no pointer to this object, so
// the listener is enabled again at a fixed interval.
void http_server::ResumeAccepting() {
  evconnlistener_enable(evhttp_bound_socket_get_listener(listening_socket_));
  resume_accept_timer_ =
      loop_->RunAfter(kAcceptRetryInterval, [this] { ResumeAccepting(); });
}

void http_server::StopAccepting() {
  loop_->Cancel(resume_accept_timer_);
  if (listening_socket_ != nullptr)
    evhttp_del_accept_socket(evhttp_,
                             std::exchange(listening_socket_, nullptr));
}

const char* http_server::RefusalReason(evhttp_request* request) const {
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  int content_length_count = 0;
  const char* content_length = nullptr;
  const char* transfer_encoding = nullptr;
  for (const evkeyval* field = fields->tqh_first; field != nullptr;
       field = field->next.tqe_next) {
    // A name such as "Transfer-Encoding " would be an unknown field here, but
    // the standard one at a target that is less strict.
    if (!IsValidFieldName(field->key))
      return "bad_request";
    if (strcasecmp(field->key, "Content-Length") == 0) {
      ++content_length_count;
      content_length = field->value;
    } else if (strcasecmp(field->key, "Transfer-Encoding") == 0) {
      transfer_encoding = field->value;
    }
  }
  // Digits only: servers disagree on the meaning of a sign or a second value.
  if (content_length != nullptr &&
      (*content_length == '\0' || std::strspn(content_length, "0123456789") !=
                                      std::strlen(content_length)))
    return "bad_request";
  // Prevents request smuggling: servers that determine the body length in
  // different ways would see different requests.
  if (content_length_count > 1 ||
      (content_length_count == 1 && transfer_encoding != nullptr))
    return "bad_request";
  if (transfer_encoding != nullptr &&
      strcasecmp(transfer_encoding, "chunked") != 0)
    return "bad_request";
  // For other methods, evhttp leaves the body unread and would parse it as the
  // next request.
  if (!MayHaveBody(evhttp_request_get_command(request)) &&
      (transfer_encoding != nullptr ||
       (content_length != nullptr && std::strcmp(content_length, "0") != 0)))
    return "bad_request";
  return nullptr;
}

void http_server::HandleRequest(evhttp_request* request) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  bufferevent* stream = evhttp_connection_get_bufferevent(connection);
  const int fd = bufferevent_getfd(stream);
  if (HeaderBytes(request) > settings_.max_header_bytes) {
    headers_too_large_.Increment();
    RefuseRequest(request, 431, "headers_too_large");
    return;
  }
  if (const char* reason = RefusalReason(request)) {
    bad_request_.Increment();
    RefuseRequest(request, 400, reason);
    return;
  }
  http_request received_request;
  received_request.method = MethodName(evhttp_request_get_command(request));
  received_request.path = PathAndQuery(evhttp_request_get_uri(request));
  received_request.headers =
      ReadEndToEndFields(evhttp_request_get_input_headers(request));
  evbuffer* body = evhttp_request_get_input_buffer(request);
  received_request.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, received_request.body.data(),
                  received_request.body.size());

  const std::shared_ptr<http_exchange> exchange(new http_exchange);
  exchange->server_ = this;
  exchange->request_ = request;
  auto& open = open_exchanges_[connection];
  open = std::make_unique<open_exchange>();
  open->id = ++last_exchange_id_;
  open->server = this;
  open->connection = connection;
  open->exchange = exchange;
  open->read_event = event_new(
      loop_->base(), fd, EV_READ,
      [](evutil_socket_t, short, void* argument) {
        auto* watched = static_cast<open_exchange*>(argument);
        watched->server->OnReadable(watched->connection);
      },
      open.get());
  event_add(open->read_event, nullptr);
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* closed, void* self) {
        static_cast<http_server*>(self)->OnConnectionClosed(closed);
      },
      this);
  evhttp_request_set_on_complete_cb(
      request,
      [](evhttp_request* written, void* self) {
        auto* server = static_cast<http_server*>(self);
        server->open_exchanges_.erase(evhttp_request_get_connection(written));
      },
      this);
  requests_.Increment();
  handler_(received_request, exchange);
}

void http_server::OnReadable(evhttp_connection* connection) {
  char byte = 0;
  const int fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  const auto peeked = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (peeked < 0 && (errno == EAGAIN || errno == EINTR)) {
    event_add(open_exchanges_.at(connection)->read_event, nullptr);
    return;
  }
  // The data is the next request, which stays in the socket buffer until the
  // response is sent.
  if (peeked > 0)
    return;
  // Also frees the request, and calls OnConnectionClosed.
  evhttp_connection_free(connection);
}

void http_server::OnConnectionClosed(evhttp_connection* connection) {
  const auto found = open_exchanges_.find(connection);
  if (found == open_exchanges_.end())
    return;
  const std::unique_ptr<open_exchange> closed = std::move(found->second);
  open_exchanges_.erase(found);
  closed->StopWatching();
  const auto exchange = closed->exchange.lock();
  if (exchange == nullptr || exchange->request_ == nullptr)
    return;
  exchange->request_ = nullptr;
  callers_gone_.Increment();
  // Deferred, since evhttp is still closing the connection.
  if (exchange->on_caller_gone_)
    loop_->RunAfter(duration::zero(), std::move(exchange->on_caller_gone_));
}

void http_server::RefuseRequest(evhttp_request* request,
                                int status,
                                const char* reason) {
  evkeyvalq* fields = evhttp_request_get_output_headers(request);
  evhttp_add_header(fields, "Connection", "close");
  evhttp_add_header(fields, "Content-Type", "application/json");
  evhttp_add_header(fields, "Skylark-Ran", "no");
  evhttp_add_header(fields, "Skylark-Reason", reason);
  evbuffer* body = evbuffer_new();
  const std::string text = RefusalBody(reason);
  evbuffer_add(body, text.data(), text.size());
  SendReply(request, status, nullptr, body);
  evbuffer_free(body);
}

void http_server::SendReply(evhttp_request* request,
                            int status,
                            const char* reason_phrase,
                            evbuffer* body) {
  writing_response_ = true;
  evhttp_send_reply(request, status, reason_phrase, body);
  writing_response_ = false;
}

void http_server::Respond(http_exchange& exchange,
                          const http_response& response) {
  evhttp_request* request = std::exchange(exchange.request_, nullptr);
  evhttp_connection* connection = evhttp_request_get_connection(request);
  open_exchanges_.at(connection)->StopWatching();
  evkeyvalq* fields = evhttp_request_get_output_headers(request);
  WriteEndToEndFields(response.headers, fields);
  if (close_after_responses_ || listening_socket_ == nullptr)
    evhttp_add_header(fields, "Connection", "close");
  evbuffer* body = evbuffer_new();
  if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD) {
    // evhttp would send a body even in response to HEAD.
    const std::string* content_length = response.headers.Find("Content-Length");
    evhttp_add_header(fields, "Content-Length",
                      content_length != nullptr
                          ? content_length->c_str()
                          : std::to_string(response.body.size()).c_str());
  } else {
    evbuffer_add(body, response.body.data(), response.body.size());
  }
  SendReply(request, response.status, nullptr, body);
  evbuffer_free(body);
}

void http_server::DropConnection(http_exchange& exchange) {
  evhttp_request* request = std::exchange(exchange.request_, nullptr);
  evhttp_connection* connection = evhttp_request_get_connection(request);
  open_exchanges_.at(connection)->StopWatching();
  // Deferred, since this may run in the handler, which evhttp called.
  loop_->RunAfter(duration::zero(), [this, connection,
                                     id = open_exchanges_.at(connection)->id,
                                     alive = std::weak_ptr<bool>(alive_)] {
    if (alive.expired())
      return;
    const auto found = open_exchanges_.find(connection);
    if (found != open_exchanges_.end() && found->second->id == id)
      evhttp_connection_free(connection);
  });
}

// When evhttp itself refuses a request, it writes an HTML error page in several
// parts, beginning with the status line. After each part, this replaces the
// whole output by a response in the same format as RefuseRequest. evhttp closes
// the connection once the output is written.
void http_server::ReplaceErrorPage(evbuffer* output, size_t added) {
  constexpr std::string_view kContinueResponse =
      "HTTP/1.1 100 Continue\r\n\r\n";
  constexpr size_t kStatusCodeEnd = std::string_view("HTTP/1.1 400").size();
  std::array<char, kContinueResponse.size() + kStatusCodeEnd> bytes{};
  // A bufferevent freezes the start of its output buffer, so that only it can
  // drain the buffer.
  evbuffer_unfreeze(output, 1);
  const auto copied = evbuffer_copyout(output, bytes.data(), bytes.size());
  evbuffer_freeze(output, 1);
  std::string_view head(bytes.data(),
                        static_cast<size_t>(std::max<ev_ssize_t>(copied, 0)));
  size_t prefix_size = 0;
  if (head.substr(0, kContinueResponse.size()) == kContinueResponse) {
    prefix_size = kContinueResponse.size();
    head.remove_prefix(prefix_size);
  }
  if (head.size() < kStatusCodeEnd)
    return;
  const std::string status(head.substr(kStatusCodeEnd - 3, 3));
  if (status == "100")
    return;
  const bool too_large = status == "413";
  if (evbuffer_get_length(output) - prefix_size == added)
    (too_large ? body_too_large_ : bad_request_).Increment();
  const std::string_view reason = too_large ? "body_too_large" : "bad_request";
  const std::string body = RefusalBody(reason);
  std::string response = "HTTP/1.1 " + status + " Refused\r\n";
  response += "Connection: close\r\nContent-Type: application/json\r\n";
  response += "Skylark-Ran: no\r\nSkylark-Reason: ";
  response += reason;
  response += "\r\nContent-Length: " + std::to_string(body.size());
  response += "\r\n\r\n" + body;
  writing_response_ = true;
  evbuffer_unfreeze(output, 1);
  evbuffer_drain(output, evbuffer_get_length(output));
  evbuffer_freeze(output, 1);
  evbuffer_add(output, response.data(), response.size());
  writing_response_ = false;
}

}  // namespace skylarkhoist
