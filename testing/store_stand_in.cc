#include "testing/store_stand_in.h"

#include <openssl/evp.h>

#include <cstdio>
#include <cstdlib>
#include <utility>

#include "kernel/json.h"
#include "platform/platform_store.h"

namespace skylarkhoist {
namespace {

std::string EncodeBase64(const std::string& text) {
  std::string encoded(4 * ((text.size() + 2) / 3) + 1, '\0');
  const int size =
      EVP_EncodeBlock(reinterpret_cast<unsigned char*>(encoded.data()),
                      reinterpret_cast<const unsigned char*>(text.data()),
                      static_cast<int>(text.size()));
  encoded.resize(static_cast<size_t>(size));
  return encoded;
}

std::string EncodeBigEndian(uint64_t value) {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8)
    bytes += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
  return bytes;
}

http_response JsonResponse(int status, const json& body) {
  http_response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = body.dump();
  return response;
}

// Returns the query parameters of `path`. Percent-encoding is not decoded.
std::map<std::string, std::string> ParseQuery(const std::string& path) {
  std::map<std::string, std::string> parameters;
  size_t separator = path.find('?');
  while (separator != std::string::npos) {
    const size_t next = path.find('&', separator + 1);
    const std::string parameter = path.substr(
        separator + 1, next == std::string::npos ? next : next - separator - 1);
    const size_t equals = parameter.find('=');
    if (equals != std::string::npos)
      parameters[parameter.substr(0, equals)] = parameter.substr(equals + 1);
    separator = next;
  }
  return parameters;
}

http_server_settings ServerSettings(const std::string& address) {
  http_server_settings settings;
  settings.listen_address = address;
  settings.name = "store";
  return settings;
}

}  // namespace

store_stand_in::store_stand_in(event_loop* loop,
                               const std::string& listen_address)
    : loop_(loop),
      server_(
          loop,
          ServerSettings(listen_address),
          [this](const http_request& request,
                 const std::shared_ptr<http_exchange>& exchange) {
            Handle(request, exchange);
          },
          &counters_) {
  if (const auto listening = server_.Listen(); !listening) {
    std::fputs(listening.error().ToText().c_str(), stderr);
    std::abort();
  }
}

store_stand_in::~store_stand_in() = default;

uint64_t store_stand_in::AppendRecord(const std::string& topic,
                                      const std::string& key,
                                      const std::optional<std::string>& value) {
  topic_log& log = topics_[topic];
  const uint64_t offset = log.end_offset();
  log.records.push_back({key, value});
  if (value)
    log.newest_by_key[key] = {offset, log.records.back()};
  else
    log.newest_by_key.erase(key);
  for (auto& [id, read] : std::exchange(log.waiting_reads, {}))
    Respond(MakeReadResponse(log, read.from_offset), read.exchange.get());
  return offset;
}

void store_stand_in::Compact(const std::string& topic) {
  topic_log& log = topics_[topic];
  log.first_offset = log.end_offset();
  log.records.clear();
}

void store_stand_in::Handle(const http_request& request,
                            const std::shared_ptr<http_exchange>& exchange) {
  if (unavailable_) {
    Respond(JsonResponse(503, json::object()), exchange.get());
    return;
  }
  const query_parameters parameters = ParseQuery(request.path);
  const auto topic = parameters.find("topic");
  const std::string operation = request.path.substr(0, request.path.find('?'));
  if (topic == parameters.end()) {
    Respond(JsonResponse(400, json::object()), exchange.get());
  } else if (operation == "/log-append") {
    HandleAppend(topic->second, request.body, exchange.get());
  } else if (const auto log = topics_.find(topic->second);
             log != topics_.end() && operation == "/log-newest") {
    HandleReadNewest(log->second, exchange.get());
  } else if (log != topics_.end() && operation == "/log-read") {
    HandleRead(&log->second, parameters, exchange);
  } else {
    Respond(JsonResponse(404, json::object()), exchange.get());
  }
}

void store_stand_in::Restore() {
  // The timers of waiting reads keep the addresses of their topics, so topics
  // are emptied but not removed.
  for (auto& [topic, log] : topics_) {
    for (const auto& [id, read] : log.waiting_reads)
      read.exchange->DropConnection();
    const auto copy = backup_.find(topic);
    log = copy == backup_.end() ? topic_log() : copy->second;
    log.waiting_reads.clear();
  }
  ++era_;
}

void store_stand_in::Respond(http_response response,
                             http_exchange* exchange) const {
  response.headers.Add("Store-Era", std::to_string(era_));
  exchange->Respond(response);
}

http_response store_stand_in::MakeReadResponse(const topic_log& log,
                                               uint64_t from_offset) {
  http_response response;
  response.status = 200;
  response.body =
      EncodeBigEndian(log.end_offset()) + EncodeBigEndian(log.first_offset);
  for (uint64_t offset = from_offset; offset < log.end_offset(); ++offset) {
    const record& appended = log.records[offset - log.first_offset];
    response.body += EncodeKeyedRecord(appended.key, appended.value);
  }
  return response;
}

void store_stand_in::HandleRead(
    topic_log* log,
    const query_parameters& parameters,
    const std::shared_ptr<http_exchange>& exchange) {
  const auto parameter_value = [&](const char* name) {
    const auto found = parameters.find(name);
    return found == parameters.end() ? uint64_t{0} : std::stoull(found->second);
  };
  const uint64_t from_offset = parameter_value("from");
  if (from_offset < log->first_offset || from_offset > log->end_offset()) {
    Respond(JsonResponse(410, {{"first", log->first_offset}}), exchange.get());
    return;
  }
  if (from_offset < log->end_offset()) {
    Respond(MakeReadResponse(*log, from_offset), exchange.get());
    return;
  }
  const uint64_t read_id = next_read_id_++;
  log->waiting_reads[read_id] = {from_offset, exchange};
  loop_->RunAfter(std::chrono::milliseconds(parameter_value("waitMs")),
                  [this, alive = std::weak_ptr<bool>(alive_), log, read_id] {
                    if (alive.expired())
                      return;
                    const auto waiting = log->waiting_reads.find(read_id);
                    if (waiting == log->waiting_reads.end())
                      return;
                    const waiting_read expired = waiting->second;
                    log->waiting_reads.erase(waiting);
                    Respond(MakeReadResponse(*log, expired.from_offset),
                            expired.exchange.get());
                  });
}

void store_stand_in::HandleReadNewest(const topic_log& log,
                                      http_exchange* exchange) {
  json items = json::array();
  for (const auto& [key, newest] : log.newest_by_key)
    items.push_back({{"key", key},
                     {"value", EncodeBase64(*newest.second.value)},
                     {"offset", newest.first}});
  Respond(JsonResponse(200, {{"items", items},
                             {"hasMore", false},
                             {"end", log.end_offset()}}),
          exchange);
}

void store_stand_in::HandleAppend(const std::string& topic,
                                  const std::string& body,
                                  http_exchange* exchange) {
  // The body has the record format of a log-read response without the two
  // offsets at its start, so zeros are put in their place.
  const auto batch =
      DecodeKeyedRecords(EncodeBigEndian(0) + EncodeBigEndian(0) + body, 0);
  if (!batch) {
    Respond(JsonResponse(400, json::object()), exchange);
    return;
  }
  const uint64_t offset = topics_[topic].end_offset();
  for (const keyed_record& appended : batch->records)
    AppendRecord(topic, appended.key, appended.value);
  if (drop_append_responses_)
    exchange->DropConnection();
  else
    Respond(JsonResponse(200, {{"offset", offset},
                               {"end", topics_[topic].end_offset()}}),
            exchange);
}

}  // namespace skylarkhoist
