#include "testing/log_stand_in.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace skylarkhoist {
namespace {

constexpr std::string_view kPrefix = "/v1/streams/";
constexpr std::string_view kSuffix = "/records";
constexpr uint64_t kMaxBatch = 10'000;

// Held requests keep a connection each, so their number is bounded.
constexpr size_t kMaxHeld = 1000;

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
    const std::string item = query.substr(start, end - start);
    start = end + 1;
    if (item.rfind(name + "=", 0) != 0)
      continue;
    uint64_t value = 0;
    const char* last = item.data() + item.size();
    const auto parsed =
        std::from_chars(item.data() + name.size() + 1, last, value);
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

// Uses up one of `count`; false when none is left.
bool Use(int64_t& count) {
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
  for (const auto& [number, timer] : answers_)
    loop_->Cancel(timer);
}

uint64_t log_stand_in::EndOf(const std::string& stream) const {
  const auto found = streams_.find(stream);
  return found == streams_.end() ? 1 : found->second.end();
}

void log_stand_in::Handle(const http_request& request,
                          const exchange_pointer& exchange) {
  const size_t mark = std::min(request.path.find('?'), request.path.size());
  const std::string path = request.path.substr(0, mark);
  if (path == "/admin/faults" && request.method == "POST")
    return HandleFaults(request, exchange);
  if (path == "/admin/state") {
    json streams = json::object();
    for (const auto& [name, each] : streams_)
      streams[name] = each.end();
    http_response response;
    response.status = 200;
    response.body =
        json{{"appends", appends_}, {"refused", refused_}, {"streams", streams}}
            .dump();
    return exchange->Respond(response);
  }
  if (faults_.outage)
    return exchange->Drop();
  if (faults_.silent) {
    if (held_.size() < kMaxHeld)
      held_.push_back(exchange);
    else
      exchange->Drop();
    return;
  }
  const bool is_stream =
      path.size() > kPrefix.size() + kSuffix.size() &&
      path.compare(0, kPrefix.size(), kPrefix) == 0 &&
      path.compare(path.size() - kSuffix.size(), kSuffix.size(), kSuffix) == 0;
  if (!is_stream)
    return Answer(exchange, 404, {{"error", "no such path"}});
  stream& target = streams_[path.substr(
      kPrefix.size(), path.size() - kPrefix.size() - kSuffix.size())];
  if (request.method == "POST") {
    HandleAppend(target, request, exchange);
  } else if (request.method == "GET") {
    const std::string query =
        mark < request.path.size() ? request.path.substr(mark + 1) : "";
    HandleRead(target, query, exchange);
  } else {
    Answer(exchange, 405, {{"error", "no such method"}});
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
    faults.slow = std::chrono::milliseconds(body.value("slow_ms", int64_t{0}));
    faults.lose_answers = body.value("lose_answers", int64_t{0});
    faults.refuse_appends = body.value("refuse_appends", int64_t{0});
    faults_ = faults;
    loop_->Cancel(std::exchange(faults_timer_, 0));
    const auto time = body.value("for_ms", int64_t{0});
    if (time > 0) {
      faults_timer_ = loop_->RunAfter(std::chrono::milliseconds(time), [this] {
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

bool log_stand_in::TakesAppend() {
  if (Use(faults_.refuse_appends))
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

void log_stand_in::HandleAppend(stream& target,
                                const http_request& request,
                                const exchange_pointer& exchange) {
  if (!IsUtf8(request.body))
    return Answer(exchange, 400, {{"error", "data must be UTF-8"}});
  if (!TakesAppend()) {
    ++refused_;
    return Answer(exchange, 429, {{"error", "too many appends"}});
  }
  ++appends_;
  const uint64_t offset = target.end();
  target.records.push_back(request.body);
  while (target.records.size() > settings_.retention) {
    target.records.pop_front();
    ++target.first;
  }
  if (Use(faults_.lose_answers))
    return exchange->Drop();
  Answer(exchange, 200, {{"offset", offset}});
}

void log_stand_in::HandleRead(const stream& source,
                              const std::string& query,
                              const exchange_pointer& exchange) {
  const auto from = QueryNumber(query, "from");
  const auto max = QueryNumber(query, "max");
  if (!from || *from == 0 || !max)
    return Answer(exchange, 400, {{"error", "from and max are needed"}});
  if (*from < source.first)
    return Answer(exchange, 410, {{"first", source.first}});
  json records = json::array();
  const uint64_t end =
      std::min(source.end(), *from + std::min(*max, kMaxBatch));
  for (uint64_t offset = *from; offset < end; ++offset) {
    records.push_back(
        {{"offset", offset}, {"data", source.records[offset - source.first]}});
  }
  Answer(exchange, 200, {{"end", source.end()}, {"records", records}});
}

void log_stand_in::Answer(const exchange_pointer& exchange,
                          int status,
                          const json& body) {
  http_response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = body.dump();
  if (faults_.slow <= duration::zero()) {
    exchange->Respond(response);
    return;
  }
  const uint64_t number = next_answer_++;
  answers_[number] = loop_->RunAfter(
      faults_.slow, [this, number, exchange, response = std::move(response)] {
        exchange->Respond(response);
        answers_.erase(number);
      });
}

}  // namespace skylarkhoist
