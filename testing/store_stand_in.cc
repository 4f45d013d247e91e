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

std::string BigEndian(uint64_t value) {
  std::string bytes;
  for (int shift = 56; shift >= 0; shift -= 8)
    bytes += static_cast<char>(value >> static_cast<unsigned>(shift) & 0xffU);
  return bytes;
}

http_response Respond(int status, const json& body) {
  http_response response;
  response.status = status;
  response.headers.Add("Content-Type", "application/json");
  response.body = body.dump();
  return response;
}

// Fields of a query without escapes.
std::map<std::string, std::string> FieldsOf(const std::string& path) {
  std::map<std::string, std::string> fields;
  size_t at = path.find('?');
  while (at != std::string::npos) {
    const size_t next = path.find('&', at + 1);
    const std::string field =
        path.substr(at + 1, next == std::string::npos ? next : next - at - 1);
    const size_t equals = field.find('=');
    if (equals != std::string::npos)
      fields[field.substr(0, equals)] = field.substr(equals + 1);
    at = next;
  }
  return fields;
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

uint64_t store_stand_in::Write(const std::string& topic,
                               const std::string& key,
                               const std::optional<std::string>& value) {
  topic_log& log = topics_[topic];
  const uint64_t offset = log.end();
  log.records.push_back({key, value});
  if (value)
    log.newest[key] = {offset, log.records.back()};
  else
    log.newest.erase(key);
  for (auto& [number, read] : std::exchange(log.waiting, {}))
    read.exchange->Respond(RecordsFrom(log, read.from));
  return offset;
}

void store_stand_in::Compact(const std::string& topic) {
  topic_log& log = topics_[topic];
  log.first = log.end();
  log.records.clear();
}

void store_stand_in::Handle(const http_request& request,
                            const std::shared_ptr<http_exchange>& exchange) {
  if (down_) {
    exchange->Respond(Respond(503, json::object()));
    return;
  }
  const query fields = FieldsOf(request.path);
  const auto topic = fields.find("topic");
  const std::string call = request.path.substr(0, request.path.find('?'));
  if (topic == fields.end()) {
    exchange->Respond(Respond(400, json::object()));
  } else if (call == "/log-append") {
    Append(topic->second, request.body, exchange.get());
  } else if (const auto log = topics_.find(topic->second);
             log != topics_.end() && call == "/log-newest") {
    ReadNewest(log->second, exchange.get());
  } else if (log != topics_.end() && call == "/log-read") {
    Read(&log->second, fields, exchange);
  } else {
    exchange->Respond(Respond(404, json::object()));
  }
}

http_response store_stand_in::RecordsFrom(const topic_log& log, uint64_t from) {
  http_response response;
  response.status = 200;
  response.body = BigEndian(log.end()) + BigEndian(log.first);
  for (uint64_t at = from; at < log.end(); ++at) {
    const record& each = log.records[at - log.first];
    response.body += WriteKeyedRecord(each.key, each.value);
  }
  return response;
}

void store_stand_in::Read(topic_log* log,
                          const query& fields,
                          const std::shared_ptr<http_exchange>& exchange) {
  const auto number = [&](const char* name) {
    const auto found = fields.find(name);
    return found == fields.end() ? uint64_t{0} : std::stoull(found->second);
  };
  const uint64_t from = number("from");
  if (from < log->first) {
    exchange->Respond(Respond(410, {{"first", log->first}}));
    return;
  }
  if (from < log->end()) {
    exchange->Respond(RecordsFrom(*log, from));
    return;
  }
  const uint64_t read = next_read_++;
  log->waiting[read] = {from, exchange};
  loop_->RunAfter(std::chrono::milliseconds(number("waitMs")),
                  [this, alive = std::weak_ptr<bool>(alive_), log, read] {
                    if (alive.expired())
                      return;
                    const auto waiting = log->waiting.find(read);
                    if (waiting == log->waiting.end())
                      return;
                    const waiting_read ended = waiting->second;
                    log->waiting.erase(waiting);
                    ended.exchange->Respond(RecordsFrom(*log, ended.from));
                  });
}

void store_stand_in::ReadNewest(const topic_log& log, http_exchange* exchange) {
  json items = json::array();
  for (const auto& [key, newest] : log.newest)
    items.push_back({{"key", key},
                     {"value", EncodeBase64(*newest.second.value)},
                     {"offset", newest.first}});
  exchange->Respond(
      Respond(200, {{"items", items}, {"hasMore", false}, {"end", log.end()}}));
}

void store_stand_in::Append(const std::string& topic,
                            const std::string& body,
                            http_exchange* exchange) {
  // Records of a call are framed like those of a read, without its offsets.
  const auto batch = ReadKeyedRecords(BigEndian(0) + BigEndian(0) + body, 0);
  if (!batch) {
    exchange->Respond(Respond(400, json::object()));
    return;
  }
  const uint64_t offset = topics_[topic].end();
  for (const keyed_record& each : batch->records)
    Write(topic, each.key, each.value);
  if (lose_answers_)
    exchange->Drop();
  else
    exchange->Respond(
        Respond(200, {{"offset", offset}, {"end", topics_[topic].end()}}));
}

}  // namespace skylarkhoist
