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

// evhttp answers headers above its own limit with 400 and does not tell why.
// Up to this size, this class sees the request and answers 431.
constexpr size_t kHardHeaderBytes = 256U << 10U;

// One system call moves up to this many bytes; the default of libevent is 16
// KiB.
constexpr size_t kBytesPerCall = 256U << 10U;

// A failing accept would otherwise keep the loop spinning.
constexpr auto kAcceptPause = std::chrono::milliseconds(250);

constexpr int kAllMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_HEAD |
                            EVHTTP_REQ_PUT | EVHTTP_REQ_DELETE |
                            EVHTTP_REQ_OPTIONS | EVHTTP_REQ_PATCH;

const char* NameOf(evhttp_cmd_type method) {
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
  for (const evkeyval* each = fields->tqh_first; each != nullptr;
       each = each->next.tqe_next)
    size += std::strlen(each->key) + std::strlen(each->value) + 4;
  return size;
}

// The path with query of "/path?query" or "http://host/path?query".
std::string PathOf(const char* uri) {
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

// Lives from the handler's call until the response is written or the connection
// closes.
struct http_server::open_request {
  uint64_t id = 0;
  http_server* server = nullptr;
  evhttp_connection* connection = nullptr;
  std::weak_ptr<http_exchange> exchange;
  // Watches for the end of the connection while the handler works, since evhttp
  // does not read then.
  event* readable = nullptr;

  void StopWatching() {
    if (readable != nullptr)
      event_free(std::exchange(readable, nullptr));
  }
  ~open_request() { StopWatching(); }
};

http_exchange::~http_exchange() {
  if (request_ == nullptr)
    return;
  server_->unanswered_.Increment();
  http_response response;
  response.status = 500;
  Respond(response);
}

void http_exchange::Respond(const http_response& response) {
  if (request_ != nullptr)
    server_->Respond(*this, response);
}

void http_exchange::Drop() {
  if (request_ != nullptr)
    server_->Drop(*this);
}

http_server::http_server(event_loop* loop,
                         http_server_settings settings,
                         http_handler handler,
                         metrics* counters)
    : loop_(loop),
      settings_(std::move(settings)),
      handler_(std::move(handler)),
      server_(evhttp_new(loop->base())),
      requests_(counters->Counter("skylarkhoist_http_requests_total",
                                  "Requests passed to the handler",
                                  {{"listener", settings_.name}})),
      gone_(counters->Counter("skylarkhoist_http_callers_gone_total",
                              "Callers that disconnected before the response",
                              {{"listener", settings_.name}})),
      unanswered_(counters->Counter("skylarkhoist_http_unanswered_total",
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
  evhttp_set_max_headers_size(server_, kHardHeaderBytes);
  evhttp_set_max_body_size(server_,
                           static_cast<ev_ssize_t>(settings_.max_body_bytes));
  evhttp_set_allowed_methods(server_, kAllMethods);
  evhttp_set_default_content_type(server_, nullptr);
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(
                          settings_.idle_timeout)
                          .count();
  const timeval idle{micros / 1'000'000, micros % 1'000'000};
  evhttp_set_timeout_tv(server_, &idle);
  evhttp_set_gencb(
      server_,
      [](evhttp_request* request, void* self) {
        static_cast<http_server*>(self)->HandleRequest(request);
      },
      this);
  evhttp_set_bevcb(
      server_,
      [](event_base* base, void* self) {
        bufferevent* stream = bufferevent_socket_new(base, -1, 0);
        bufferevent_set_max_single_read(stream, kBytesPerCall);
        bufferevent_set_max_single_write(stream, kBytesPerCall);
        evbuffer_add_cb(
            bufferevent_get_output(stream),
            [](evbuffer* output, const evbuffer_cb_info* change, void* owner) {
              auto* server = static_cast<http_server*>(owner);
              if (change->n_added > 0 && !server->sending_)
                server->ReplaceErrorPage(output, change->n_added);
            },
            self);
        return stream;
      },
      this);
}

http_server::~http_server() {
  loop_->Cancel(accept_timer_);
  for (auto& [connection, request] : open_) {
    request->StopWatching();
    evhttp_connection_set_closecb(connection, nullptr, nullptr);
    if (const auto exchange = request->exchange.lock())
      exchange->request_ = nullptr;
  }
  evhttp_free(server_);
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
  socket_ = evhttp_bind_socket_with_handle(server_, address->host.c_str(),
                                           address->port);
  if (socket_ == nullptr) {
    problems.Add(place, "cannot listen on " + settings_.listen_address + ": " +
                            std::strerror(errno));
    return tl::unexpected(problems);
  }
  evconnlistener_set_error_cb(
      evhttp_bound_socket_get_listener(socket_),
      [](evconnlistener* failed, void*) { evconnlistener_disable(failed); });
  ResumeAccepting();
  // Accepted sockets take the option over from the listener.
  DisableNagle(evhttp_bound_socket_get_fd(socket_));
  bound_address_ = LocalAddressOf(evhttp_bound_socket_get_fd(socket_));
  return {};
}

// The error callback of the listener, which gets no pointer to this object,
// disables it, for example when there are too many open files.
void http_server::ResumeAccepting() {
  evconnlistener_enable(evhttp_bound_socket_get_listener(socket_));
  accept_timer_ = loop_->RunAfter(kAcceptPause, [this] { ResumeAccepting(); });
}

void http_server::StopAccepting() {
  loop_->Cancel(accept_timer_);
  if (socket_ != nullptr)
    evhttp_del_accept_socket(server_, std::exchange(socket_, nullptr));
}

const char* http_server::FaultOf(evhttp_request* request) const {
  const evkeyvalq* fields = evhttp_request_get_input_headers(request);
  int lengths = 0;
  const char* length = nullptr;
  const char* coding = nullptr;
  for (const evkeyval* each = fields->tqh_first; each != nullptr;
       each = each->next.tqe_next) {
    // A name such as "Transfer-Encoding " passes for an unknown field here and
    // for the known one at a target that is less strict.
    if (!IsFieldName(each->key))
      return "bad_request";
    if (strcasecmp(each->key, "Content-Length") == 0) {
      ++lengths;
      length = each->value;
    } else if (strcasecmp(each->key, "Transfer-Encoding") == 0) {
      coding = each->value;
    }
  }
  // Digits only: a sign or a second value has two meanings.
  if (length != nullptr &&
      (*length == '\0' ||
       std::strspn(length, "0123456789") != std::strlen(length)))
    return "bad_request";
  // Two parties that read the length of a body in different ways would see
  // different requests.
  if (lengths > 1 || (lengths == 1 && coding != nullptr))
    return "bad_request";
  if (coding != nullptr && strcasecmp(coding, "chunked") != 0)
    return "bad_request";
  // evhttp leaves the body of other methods in the stream and would read it as
  // the next request.
  if (!MayHaveBody(evhttp_request_get_command(request)) &&
      (coding != nullptr ||
       (length != nullptr && std::strcmp(length, "0") != 0)))
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
  if (const char* fault = FaultOf(request)) {
    bad_request_.Increment();
    RefuseRequest(request, 400, fault);
    return;
  }
  http_request copy;
  copy.method = NameOf(evhttp_request_get_command(request));
  copy.path = PathOf(evhttp_request_get_uri(request));
  copy.headers = FieldsFrom(evhttp_request_get_input_headers(request));
  evbuffer* body = evhttp_request_get_input_buffer(request);
  copy.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, copy.body.data(), copy.body.size());

  const std::shared_ptr<http_exchange> exchange(new http_exchange);
  exchange->server_ = this;
  exchange->request_ = request;
  auto& slot = open_[connection];
  slot = std::make_unique<open_request>();
  slot->id = ++last_id_;
  slot->server = this;
  slot->connection = connection;
  slot->exchange = exchange;
  slot->readable = event_new(
      loop_->base(), fd, EV_READ,
      [](evutil_socket_t, short, void* argument) {
        auto* watched = static_cast<open_request*>(argument);
        watched->server->OnReadable(watched->connection);
      },
      slot.get());
  event_add(slot->readable, nullptr);
  evhttp_connection_set_closecb(
      connection,
      [](evhttp_connection* closed, void* self) {
        static_cast<http_server*>(self)->Close(closed);
      },
      this);
  evhttp_request_set_on_complete_cb(
      request,
      [](evhttp_request* written, void* self) {
        auto* server = static_cast<http_server*>(self);
        server->open_.erase(evhttp_request_get_connection(written));
      },
      this);
  requests_.Increment();
  handler_(copy, exchange);
}

void http_server::OnReadable(evhttp_connection* connection) {
  char byte = 0;
  const int fd =
      bufferevent_getfd(evhttp_connection_get_bufferevent(connection));
  const auto got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
    event_add(open_.at(connection)->readable, nullptr);
    return;
  }
  // More bytes are the next request, which stays in the socket until the
  // response is sent.
  if (got > 0)
    return;
  // Frees the request as well; Close runs from it.
  evhttp_connection_free(connection);
}

void http_server::Close(evhttp_connection* connection) {
  const auto found = open_.find(connection);
  if (found == open_.end())
    return;
  const std::unique_ptr<open_request> closed = std::move(found->second);
  open_.erase(found);
  closed->StopWatching();
  const auto exchange = closed->exchange.lock();
  if (exchange == nullptr || exchange->request_ == nullptr)
    return;
  exchange->request_ = nullptr;
  gone_.Increment();
  // The connection is half closed here, so the handler runs later.
  if (exchange->on_gone_)
    loop_->RunAfter(duration::zero(), std::move(exchange->on_gone_));
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
                            const char* phrase,
                            evbuffer* body) {
  sending_ = true;
  evhttp_send_reply(request, status, phrase, body);
  sending_ = false;
}

void http_server::Respond(http_exchange& exchange,
                          const http_response& response) {
  evhttp_request* request = std::exchange(exchange.request_, nullptr);
  evhttp_connection* connection = evhttp_request_get_connection(request);
  open_.at(connection)->StopWatching();
  evkeyvalq* fields = evhttp_request_get_output_headers(request);
  AddFields(response.headers, fields);
  if (socket_ == nullptr)
    evhttp_add_header(fields, "Connection", "close");
  evbuffer* body = evbuffer_new();
  if (evhttp_request_get_command(request) == EVHTTP_REQ_HEAD) {
    // evhttp would send the body.
    const std::string* length = response.headers.Find("Content-Length");
    evhttp_add_header(fields, "Content-Length",
                      length != nullptr
                          ? length->c_str()
                          : std::to_string(response.body.size()).c_str());
  } else {
    evbuffer_add(body, response.body.data(), response.body.size());
  }
  SendReply(request, response.status, nullptr, body);
  evbuffer_free(body);
}

void http_server::Drop(http_exchange& exchange) {
  evhttp_request* request = std::exchange(exchange.request_, nullptr);
  evhttp_connection* connection = evhttp_request_get_connection(request);
  open_.at(connection)->StopWatching();
  // The request's own handler may be on the stack, with evhttp below it.
  loop_->RunAfter(duration::zero(),
                  [this, connection, id = open_.at(connection)->id,
                   alive = std::weak_ptr<bool>(alive_)] {
                    if (alive.expired())
                      return;
                    const auto found = open_.find(connection);
                    if (found != open_.end() && found->second->id == id)
                      evhttp_connection_free(connection);
                  });
}

// evhttp writes an HTML page when it refuses a request by itself, in several
// pieces that begin with the status line. After each piece, the whole is
// replaced by one response in the form of all other refusals. evhttp closes the
// connection once it is written.
void http_server::ReplaceErrorPage(evbuffer* output, size_t added) {
  constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
  constexpr size_t kStatusEnd = std::string_view("HTTP/1.1 400").size();
  std::array<char, kContinue.size() + kStatusEnd> bytes{};
  // A bufferevent keeps others from reading and draining its output.
  evbuffer_unfreeze(output, 1);
  const auto copied = evbuffer_copyout(output, bytes.data(), bytes.size());
  evbuffer_freeze(output, 1);
  std::string_view start(bytes.data(),
                         static_cast<size_t>(std::max<ev_ssize_t>(copied, 0)));
  size_t skipped = 0;
  if (start.substr(0, kContinue.size()) == kContinue) {
    skipped = kContinue.size();
    start.remove_prefix(skipped);
  }
  if (start.size() < kStatusEnd)
    return;
  const std::string status(start.substr(kStatusEnd - 3, 3));
  if (status == "100")
    return;
  const bool too_large = status == "413";
  if (evbuffer_get_length(output) - skipped == added)
    (too_large ? body_too_large_ : bad_request_).Increment();
  const std::string_view reason = too_large ? "body_too_large" : "bad_request";
  const std::string body = RefusalBody(reason);
  std::string response = "HTTP/1.1 " + status + " Refused\r\n";
  response += "Connection: close\r\nContent-Type: application/json\r\n";
  response += "Skylark-Ran: no\r\nSkylark-Reason: ";
  response += reason;
  response += "\r\nContent-Length: " + std::to_string(body.size());
  response += "\r\n\r\n" + body;
  sending_ = true;
  evbuffer_unfreeze(output, 1);
  evbuffer_drain(output, evbuffer_get_length(output));
  evbuffer_freeze(output, 1);
  evbuffer_add(output, response.data(), response.size());
  sending_ = false;
}

}  // namespace skylarkhoist
