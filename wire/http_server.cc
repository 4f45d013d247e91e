#include "wire/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <event2/listener.h>
#include <malloc.h>
#include <strings.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "kernel/log.h"
#include "wire/address.h"
#include "wire/http_fields.h"

namespace skylarkhoist {
namespace {

// evhttp responds to headers above its own limit with 400 and gives no reason.
// Requests with headers up to this size reach this class, which responds with
// 431.
constexpr size_t kEvhttpMaxHeaderBytes = 256U << 10U;

// Maximum size of one socket write; the default of libevent is 16 KiB. The
// budget limits reads.
constexpr size_t kMaxBytesPerSocketCall = 256U << 10U;

// The body is moved out of evhttp's buffer in parts of this size, so that it is
// not held twice.
constexpr size_t kBodyPartBytes = 256U << 10U;

// Connections are checked for missing progress at this interval.
constexpr auto kBudgetCheckInterval = std::chrono::milliseconds(500);
// A shortage has ended this long after the last closure or refusal.
constexpr auto kShortageEnd = std::chrono::seconds(5);
constexpr char kRetryAfterSeconds[] = "1";

// What a request in progress occupies, in multiples of its body: the entry
// keeps it for further attempts, and the executor or the connection to the
// target holds it until it is sent.
constexpr size_t kBodyCopies = 2;

// libevent receives a body in buffers of 8 KB, which leave holes in the heap
// when they are freed. After a body of this size, the holes are returned to the
// system, since the copies of the body cannot use them.
constexpr size_t kMinBodyToTrim = size_t{1} << 20U;

// Unused part of the buffers that received data is in, besides a share of the
// data. Of a large buffer only the part in use is resident.
constexpr size_t kUnusedBufferMemory = 4096;
constexpr size_t kUnusedBufferShare = 16;
// evhttp moves each complete chunk of a chunked body to another buffer. A chunk
// that arrived alone takes the buffer that it was read into with it, which has
// at least this size.
constexpr size_t kMinChunkMemory = 544;
// evhttp allocates a struct and two strings for each header field.
constexpr size_t kMemoryPerFieldLine = 128;
// The exchange, the strings of the request and the call of the node.
constexpr size_t kMemoryPerRequest = size_t{4} << 10U;

const char* CauseName(closure_cause cause) {
  switch (cause) {
    case closure_cause::kMemory:
      return "memory_short";
    case closure_cause::kConnections:
      return "too_many_connections";
    case closure_cause::kHeadTimeout:
      return "head_timeout";
    default:
      return "body_timeout";
  }
}

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

// An open connection, with what is known of the head that it is sending.
struct http_server::client {
  connection_budget::connection_id id = 0;
  http_server* server = nullptr;
  bufferevent* stream = nullptr;
  evbuffer_cb_entry* input_callback = nullptr;
  // Null until Attach.
  evhttp_connection* connection = nullptr;
  timer_id attach_timer = 0;
  bool in_head = true;
  // Whether the current line has no bytes but a carriage return so far.
  bool line_is_empty = true;
  size_t head_lines = 0;
  size_t head_bytes = 0;
  // What the chunks that evhttp has moved occupy.
  size_t chunk_memory = 0;
  // Whether evhttp moved data since the last read.
  bool moved_data = false;

  void StartHead() {
    in_head = true;
    line_is_empty = true;
    head_lines = 0;
    head_bytes = 0;
    chunk_memory = 0;
    moved_data = false;
  }

  // Memory of the parsed part of the head; a part is copied while it is parsed.
  size_t HeadMemory() const {
    return 2 * head_bytes + head_lines * kMemoryPerFieldLine;
  }

  // Reads part of a head up to its end.
  void ScanHead(std::string_view part) {
    for (const char byte : part) {
      ++head_bytes;
      if (byte == '\n') {
        ++head_lines;
        if (line_is_empty) {
          in_head = false;
          break;
        }
        line_is_empty = true;
      } else if (byte != '\r') {
        line_is_empty = false;
      }
    }
  }
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
      budget_(settings_.budget),
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
          {{"listener", settings_.name}, {"reason", "bad_request"}})),
      memory_short_(counters->Counter(
          "skylarkhoist_http_refused_total",
          "Requests refused before the handler",
          {{"listener", settings_.name}, {"reason", "memory_short"}})),
      held_bytes_(counters->Gauge(
          "skylarkhoist_http_held_bytes",
          "Memory of requests that are being received or in progress",
          {{"listener", settings_.name}})),
      open_connections_(counters->Gauge("skylarkhoist_http_connections",
                                        "Open connections",
                                        {{"listener", settings_.name}})) {
  for (int i = 0; i < static_cast<int>(closure_cause::kCount); ++i)
    closures_.push_back(&counters->Counter(
        "skylarkhoist_http_connections_closed_total",
        "Connections closed because of a limit",
        {{"listener", settings_.name},
         {"cause", CauseName(static_cast<closure_cause>(i))}}));
  evhttp_set_max_headers_size(
      evhttp_, static_cast<ev_ssize_t>(std::min(
                   kEvhttpMaxHeaderBytes, 2 * settings_.max_header_bytes)));
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
      [](event_base*, void* self) {
        return static_cast<http_server*>(self)->CreateStream();
      },
      this);
}

http_server::~http_server() {
  loop_->Cancel(resume_accept_timer_);
  loop_->Cancel(budget_timer_);
  loop_->Cancel(closure_timer_);
  for (auto& [id, each] : clients_) {
    loop_->Cancel(each->attach_timer);
    if (each->connection == nullptr)
      bufferevent_decref(each->stream);
    else
      evhttp_connection_set_closecb(each->connection, nullptr, nullptr);
  }
  for (auto& [connection, request] : open_exchanges_) {
    request->StopWatching();
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
  CloseExcessConnections();
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

bufferevent* http_server::CreateStream() {
  bufferevent* stream = bufferevent_socket_new(loop_->base(), -1, 0);
  auto added = std::make_unique<client>();
  added->id = ++last_client_id_;
  added->server = this;
  added->stream = stream;
  budget_.Add(added->id, loop_->Now());
  bufferevent_set_max_single_read(stream, budget_.ReadLimit(true));
  bufferevent_set_max_single_write(stream, kMaxBytesPerSocketCall);
  evbuffer_add_cb(
      bufferevent_get_output(stream),
      [](evbuffer* output, const evbuffer_cb_info* change, void* owner) {
        auto* server = static_cast<http_server*>(owner);
        if (change->n_added > 0 && !server->writing_response_)
          server->ReplaceErrorPage(output, change->n_added);
      },
      this);
  added->input_callback = evbuffer_add_cb(
      bufferevent_get_input(stream),
      [](evbuffer*, const evbuffer_cb_info* change, void* owner) {
        auto* sender = static_cast<client*>(owner);
        if (change->n_added > 0)
          sender->server->OnBytesReceived(sender, change->n_added);
        if (change->n_deleted > 0 && !sender->in_head) {
          sender->chunk_memory += change->n_deleted;
          sender->moved_data = true;
        }
      },
      added.get());
  // evhttp creates its connection after this call. Until it is known, the
  // stream must not be freed, or Attach could not tell that it was closed.
  bufferevent_incref(stream);
  client* attached = added.get();
  added->attach_timer =
      loop_->RunAfter(duration::zero(), [this, attached] { Attach(attached); });
  clients_.emplace(added->id, std::move(added));
  if (budget_.IsExceeded())
    ScheduleClosures();
  return stream;
}

void http_server::Attach(client* added) {
  loop_->Cancel(added->attach_timer);
  bufferevent* stream = added->stream;
  // evhttp passes its connection to its callbacks, and removes them when it
  // frees the connection.
  void* connection = nullptr;
  bufferevent_getcb(stream, nullptr, nullptr, nullptr, &connection);
  if (connection == nullptr) {
    budget_.Remove(added->id);
    clients_.erase(added->id);
  } else {
    added->connection = static_cast<evhttp_connection*>(connection);
    clients_by_connection_[added->connection] = added;
    evhttp_connection_set_closecb(
        added->connection,
        [](evhttp_connection* closed, void* self) {
          static_cast<http_server*>(self)->OnConnectionClosed(closed);
        },
        this);
  }
  bufferevent_decref(stream);
}

void http_server::OnBytesReceived(client* sender, size_t added) {
  if (sender->connection == nullptr)
    Attach(sender);
  evbuffer* input = bufferevent_get_input(sender->stream);
  const size_t held = evbuffer_get_length(input);
  const bool was_in_head = sender->in_head;
  if (was_in_head) {
    evbuffer_ptr position;
    evbuffer_ptr_set(input, &position, held - added, EVBUFFER_PTR_SET);
    const auto left = static_cast<ev_ssize_t>(added);
    std::vector<evbuffer_iovec> parts(
        static_cast<size_t>(evbuffer_peek(input, left, &position, nullptr, 0)));
    evbuffer_peek(input, left, &position, parts.data(),
                  static_cast<int>(parts.size()));
    for (const evbuffer_iovec& part : parts) {
      if (sender->in_head)
        sender->ScanHead(
            {static_cast<const char*>(part.iov_base), part.iov_len});
    }
  }
  if (std::exchange(sender->moved_data, false))
    sender->chunk_memory += kMinChunkMemory;
  const size_t memory = sender->HeadMemory() + sender->chunk_memory + held +
                        held / kUnusedBufferShare + kUnusedBufferMemory;
  budget_.OnReceived(sender->id, added, memory, loop_->Now());
  if (was_in_head && !sender->in_head)
    budget_.OnHeadComplete(sender->id, loop_->Now());
  bufferevent_set_max_single_read(sender->stream,
                                  budget_.ReadLimit(sender->in_head));
  if (budget_.IsExceeded())
    ScheduleClosures();
}

bool http_server::TryStart(evhttp_connection* connection,
                           evhttp_request* request) {
  const client& sender = *clients_by_connection_.at(connection);
  const size_t body_size =
      evbuffer_get_length(evhttp_request_get_input_buffer(request));
  // evhttp keeps the fields, and the node has a copy of them.
  const size_t memory =
      kMemoryPerRequest + kBodyCopies * body_size + 2 * sender.HeadMemory();
  const bool started = budget_.TryStart(sender.id, memory);
  if (budget_.IsExceeded())
    ScheduleClosures();
  return started;
}

// The data of the next request may have been received already.
void http_server::OnRequestEnded(evhttp_connection* connection) {
  const auto found = clients_by_connection_.find(connection);
  if (found == clients_by_connection_.end())
    return;
  client* sender = found->second;
  budget_.OnRequestEnded(sender->id, loop_->Now());
  sender->StartHead();
  bufferevent_set_max_single_read(sender->stream, budget_.ReadLimit(true));
  const size_t waiting =
      evbuffer_get_length(bufferevent_get_input(sender->stream));
  if (waiting > 0)
    OnBytesReceived(sender, waiting);
}

// Connections are not closed in callbacks of evhttp, which still uses them.
void http_server::ScheduleClosures() {
  if (closure_timer_ != 0)
    return;
  closure_timer_ =
      loop_->RunAfter(duration::zero(), [this] { CloseExcessConnections(); });
}

void http_server::CloseExcessConnections() {
  loop_->Cancel(std::exchange(closure_timer_, 0));
  loop_->Cancel(budget_timer_);
  budget_timer_ = loop_->RunAfter(kBudgetCheckInterval,
                                  [this] { CloseExcessConnections(); });
  const size_t held_before = budget_.held_bytes();
  for (const auto& each : budget_.TakeClosures(loop_->Now())) {
    closures_[static_cast<size_t>(each.cause)]->Increment();
    if (each.cause == closure_cause::kMemory ||
        each.cause == closure_cause::kConnections)
      OnShortage(CauseName(each.cause));
    client* excess = clients_.at(each.id).get();
    if (excess->connection == nullptr)
      Attach(excess);
    const auto found = clients_.find(each.id);
    // Calls OnConnectionClosed.
    if (found != clients_.end())
      evhttp_connection_free(found->second->connection);
  }
  if (held_before - budget_.held_bytes() >= kMinBodyToTrim)
    malloc_trim(0);
  if (is_short_ && loop_->Now() - last_shortage_at_ >= kShortageEnd) {
    is_short_ = false;
    LogStateChange("http_server", "shortage_ended",
                   {{"listener", settings_.name}});
  }
  UpdateGauges();
}

void http_server::OnShortage(const char* cause) {
  last_shortage_at_ = loop_->Now();
  if (is_short_)
    return;
  is_short_ = true;
  LogWarning("http_server", "shortage",
             {{"listener", settings_.name},
              {"cause", cause},
              {"held_bytes", std::to_string(budget_.held_bytes())},
              {"connections", std::to_string(budget_.connections())}});
}

void http_server::UpdateGauges() {
  held_bytes_.Set(static_cast<double>(budget_.held_bytes()));
  open_connections_.Set(static_cast<double>(budget_.connections()));
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
  if (!TryStart(connection, request)) {
    memory_short_.Increment();
    OnShortage("memory_short");
    evhttp_add_header(evhttp_request_get_output_headers(request), "Retry-After",
                      kRetryAfterSeconds);
    RefuseRequest(request, 503, "memory_short");
    return;
  }
  http_request received_request;
  received_request.method = MethodName(evhttp_request_get_command(request));
  received_request.path = PathAndQuery(evhttp_request_get_uri(request));
  received_request.headers =
      ReadEndToEndFields(evhttp_request_get_input_headers(request));
  evbuffer* body = evhttp_request_get_input_buffer(request);
  received_request.body.reserve(evbuffer_get_length(body));
  while (evbuffer_get_length(body) > 0) {
    const size_t part = std::min(kBodyPartBytes, evbuffer_get_length(body));
    const size_t moved = received_request.body.size();
    received_request.body.resize(moved + part);
    evbuffer_remove(body, received_request.body.data() + moved, part);
  }
  if (received_request.body.size() >= kMinBodyToTrim)
    malloc_trim(0);

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
  evhttp_request_set_on_complete_cb(
      request,
      [](evhttp_request* written, void* self) {
        auto* server = static_cast<http_server*>(self);
        evhttp_connection* answered = evhttp_request_get_connection(written);
        server->open_exchanges_.erase(answered);
        server->OnRequestEnded(answered);
      },
      this);
  requests_.Increment();
  handler_(std::move(received_request), exchange);
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
  const auto client_found = clients_by_connection_.find(connection);
  if (client_found != clients_by_connection_.end()) {
    const connection_budget::connection_id id = client_found->second->id;
    evbuffer_remove_cb_entry(
        bufferevent_get_input(client_found->second->stream),
        client_found->second->input_callback);
    clients_by_connection_.erase(client_found);
    clients_.erase(id);
    budget_.Remove(id);
  }
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
  evbuffer* refused_body = evhttp_request_get_input_buffer(request);
  const size_t body_size = evbuffer_get_length(refused_body);
  evbuffer_drain(refused_body, body_size);
  if (body_size >= kMinBodyToTrim)
    malloc_trim(0);
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
