#include "testing/log_stand_in.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace skylarkhoist {
namespace {

constexpr std::string_view kStreamPathPrefix = "/v1/streams/";
constexpr std::string_view kRecordsPathSuffix = "/records";
constexpr uint64_t kMaxRecordsPerRead = 10'000;

// Each unanswered request keeps a connection open, so their number is bounded.
constexpr size_t kMaxUnansweredRequests = 1000;

http_server_settings ServerSettings(const log_stand_in_settings& settings) {
  http_server_settings result;
  result.listen_address = settings.listen_address;
  result.name = "log";
  return result;
}

std::optional<uint64_t> QueryNumber(const std::string& query,
                                    const std::string& name) {
  size_t start = 0;
  while (start < query.size()) {
    const size_t end = std::min(query.find('&', start), query.size());
    const std::string parameter = query.substr(start, end - start);
    start = end + 1;
    if (parameter.rfind(name + "=", 0) != 0)
      continue;
    uint64_t value = 0;
    const char* last = parameter.data() + parameter.size();
    const auto parsed =
        std::from_chars(parameter.data() + name.size() + 1, last, value);
    if (parsed.ec == std::errc() && parsed.ptr == last)
      return value;
  }
  return std::nullopt;
}

bool IsUtf8(const std::string& text) {
  try {
    (void)json(text).dump();
    return true;
  } catch (const json::exception&) {
    return false;
  }
}

// Returns whether the fault with this count applies, and decrements a positive
// count.
bool ConsumeFault(int64_t& count) {
  if (count == 0)
    return false;
  if (count > 0)
    --count;
  return true;
}

}  // namespace

log_stand_in::log_stand_in(event_loop* loop, log_stand_in_settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      server_(
          loop,
          ServerSettings(settings_),
          [this](const http_request& request, const auto& exchange) {
            Handle(request, exchange);
          },
          &metrics_) {}

log_stand_in::~log_stand_in() {
  loop_->Cancel(faults_timer_);
  for (const auto& [id, timer] : response_timers_)
    loop_->Cancel(timer);
}

uint64_t log_stand_in::EndOffset(const std::string& stream_name) const {
  const auto found = streams_.find(stream_name);
  return found == streams_.end() ? 1 : found->second.end_offset();
}

void log_stand_in::Handle(const http_request& request,
                          const exchange_pointer& exchange) {
  const size_t query_start =
      std::min(request.path.find('?'), request.path.size());
  const std::string path = request.path.substr(0, query_start);
  if (path == "/admin/faults" && request.method == "POST")
    return HandleFaults(request, exchange);
  if (path == "/admin/state") {
    json streams = json::object();
    for (const auto& [name, stream] : streams_)
      streams[name] = stream.end_offset();
    http_response response;
    response.status = 200;
    response.body = json{
        {"appends", accepted_appends_},
        {"refused", refused_appends_},
        {"streams",
         streams}}.dump();
    return exchange->Respond(response);
  }
  if (faults_.outage)
    return exchange->DropConnection();
  if (faults_.silent) {
    if (unanswered_.size() < kMaxUnansweredRequests)
      unanswered_.push_back(exchange);
    else
      exchange->DropConnection();
    return;
  }
  const bool is_records_path =
      path.size() > kStreamPathPrefix.size() + kRecordsPathSuffix.size() &&
      path.compare(0, kStreamPathPrefix.size(), kStreamPathPrefix) == 0 &&
      path.compare(path.size() - kRecordsPathSuffix.size(),
                   kRecordsPathSuffix.size(), kRecordsPathSuffix) == 0;
  if (!is_records_path)
    return RespondWithDelay(exchange, 404, {{"error", "no such path"}});
  log_stream& stream = streams_[path.substr(
      kStreamPathPrefix.size(),
      path.size() - kStreamPathPrefix.size() - kRecordsPathSuffix.size())];
  if (request.method == "POST") {
    HandleAppend(stream, request, exchange);
  } else if (request.method == "GET") {
    const std::string query = query_start < request.path.size()
                                  ? request.path.substr(query_start + 1)
                                  : "";
    HandleRead(stream, query, exchange);
  } else {
    RespondWithDelay(exchange, 405, {{"error", "no such method"}});
  }
}

void log_stand_in::HandleFaults(const http_request& request,
                                const exchange_pointer& exchange) {
  http_response response;
  response.status = 200;
  response.body = "{}";
  try {
    const json body = json::parse(request.body);
    log_faults faults;
    faults.outage = body.value("outage", false);
    faults.silent = body.value("silent", false);
    faults.response_delay =
        std::chrono::milliseconds(body.value("slow_ms", int64_t{0}));
    faults.lose_answers = body.value("lose_answers", int64_t{0});
    faults.refuse_appends = body.value("refuse_appends", int64_t{0});
    faults_ = faults;
    loop_->Cancel(std::exchange(faults_timer_, 0));
    const auto duration_ms = body.value("for_ms", int64_t{0});
    if (duration_ms > 0) {
      faults_timer_ =
          loop_->RunAfter(std::chrono::milliseconds(duration_ms), [this] {
            faults_timer_ = 0;
            faults_ = {};
          });
    }
  } catch (const json::exception&) {
    response.status = 400;
    response.body = R"({"error":"not a valid list of faults"})";
  }
  exchange->Respond(response);
}

bool log_stand_in::AdmitAppend() {
  if (ConsumeFault(faults_.refuse_appends))
    return false;
  if (settings_.max_appends_per_second == 0)
    return true;
  const time_point now = loop_->Now();
  while (!recent_appends_.empty() &&
         now - recent_appends_.front() >= std::chrono::seconds(1))
    recent_appends_.pop_front();
  if (recent_appends_.size() >=
      static_cast<size_t>(settings_.max_appends_per_second))
    return false;
  recent_appends_.push_back(now);
  return true;
}

void log_stand_in::HandleAppend(log_stream& stream,
                                const http_request& request,
                                const exchange_pointer& exchange) {
  if (!IsUtf8(request.body))
    return RespondWithDelay(exchange, 400, {{"error", "data must be UTF-8"}});
  if (!AdmitAppend()) {
    ++refused_appends_;
    return RespondWithDelay(exchange, 429, {{"error", "too many appends"}});
  }
  ++accepted_appends_;
  const uint64_t offset = stream.end_offset();
  stream.records.push_back(request.body);
  while (stream.records.size() > settings_.retention) {
    stream.records.pop_front();
    ++stream.first_offset;
  }
  if (ConsumeFault(faults_.lose_answers))
    return exchange->DropConnection();
  RespondWithDelay(exchange, 200, {{"offset", offset}});
}

void log_stand_in::HandleRead(const log_stream& stream,
                              const std::string& query,
                              const exchange_pointer& exchange) {
  const auto from = QueryNumber(query, "from");
  const auto max_records = QueryNumber(query, "max");
  if (!from || *from == 0 || !max_records)
    return RespondWithDelay(exchange, 400,
                            {{"error", "from and max are needed"}});
  if (*from < stream.first_offset)
    return RespondWithDelay(exchange, 410, {{"first", stream.first_offset}});
  json records = json::array();
  const uint64_t end = std::min(
      stream.end_offset(), *from + std::min(*max_records, kMaxRecordsPerRead));
  for (uint64_t offset = *from; offset < end; ++offset) {
    records.push_back({{"offset", offset},
                       {"data", stream.records[offset - stream.first_offset]}});
  }
  RespondWithDelay(exchange, 200,
                   {{"end", stream.end_offset()}, {"records", records}});
}

void log_stand_in::RespondWithDelay(const exchange_pointer& exchange,
                                    int status,
                                    const json& body) {
  http_response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = body.dump();
  if (faults_.response_delay <= duration::zero()) {
    exchange->Respond(response);
    return;
  }
  const uint64_t id = next_response_id_++;
  response_timers_[id] =
      loop_->RunAfter(faults_.response_delay,
                      [this, id, exchange, response = std::move(response)] {
                        exchange->Respond(response);
                        response_timers_.erase(id);
                      });
}

}  // namespace skylarkhoist
