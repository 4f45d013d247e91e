#include "node/dedup_service.h"

#include <openssl/sha.h>

#include <algorithm>
#include <cstring>
#include <limits>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// Parts of a sync answer stay well below the frame limit of 8 MB.
constexpr size_t kChunkRecords = 1000;
constexpr size_t kChunkBytes = size_t{1} << 20;
constexpr duration kFirstReport = std::chrono::milliseconds(100);
constexpr duration kLongestReport = std::chrono::seconds(2);

// The last round of a claim: its end outweighs all its grants.
constexpr uint32_t kLastRound = std::numeric_limits<uint32_t>::max();

constexpr std::array<const char*, 4> kVerdictLabels = {
    "run", "answered", "unknown", "unavailable"};

std::unique_ptr<fbs::request_id> ToWire(const request_id& id) {
  return std::make_unique<fbs::request_id>(id.incarnation, id.sequence);
}

request_id FromWire(const std::unique_ptr<fbs::request_id>& id) {
  return id ? request_id{id->incarnation(), id->sequence()} : request_id{};
}

fbs::outcome ToWire(dedup_outcome outcome) {
  switch (outcome) {
    case dedup_outcome::kRunning:
      return fbs::outcome::kNone;
    case dedup_outcome::kReleased:
      return fbs::outcome::kRefused;
    case dedup_outcome::kAnswered:
      return fbs::outcome::kAnswered;
    case dedup_outcome::kUnknown:
      return fbs::outcome::kFailed;
  }
  return fbs::outcome::kFailed;
}

dedup_outcome FromWire(fbs::outcome outcome) {
  switch (outcome) {
    case fbs::outcome::kNone:
      return dedup_outcome::kRunning;
    case fbs::outcome::kRefused:
      return dedup_outcome::kReleased;
    case fbs::outcome::kAnswered:
      return dedup_outcome::kAnswered;
    default:
      return dedup_outcome::kUnknown;
  }
}

size_t SizeOf(const fbs::call_answerT& answer) {
  size_t bytes = sizeof(answer) + answer.body.size();
  for (const auto& field : answer.headers)
    bytes += sizeof(*field) + field->name.size() + field->value.size();
  return bytes;
}

std::unique_ptr<fbs::call_answerT> ToWire(const stored_answer& answer) {
  if (!answer)
    return nullptr;
  return std::make_unique<fbs::call_answerT>(
      *std::static_pointer_cast<const fbs::call_answerT>(answer));
}

// Returns the answer and its size.
std::pair<stored_answer, size_t> FromWire(
    const std::unique_ptr<fbs::call_answerT>& answer) {
  if (!answer)
    return {nullptr, 0};
  auto copy = std::make_shared<const fbs::call_answerT>(*answer);
  const size_t bytes = SizeOf(*copy);
  return {std::move(copy), bytes};
}

}  // namespace

dedup_key DedupKeyOf(const std::string& customer, const std::string& key) {
  // The length separates the two parts, so that no other pair has this text.
  const std::string text =
      std::to_string(customer.size()) + ":" + customer + key;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  dedup_key hash;
  std::memcpy(&hash.high, digest.data(), sizeof(hash.high));
  std::memcpy(&hash.low, digest.data() + sizeof(hash.high), sizeof(hash.low));
  return hash;
}

dedup_service::dedup_service(loop* run_loop,
                             peer_transport* transport,
                             const dedup_options& options,
                             const wall_clock* wall,
                             metrics* counters)
    : loop_(run_loop),
      transport_(transport),
      options_(options),
      wall_(wall),
      replica_(options.incarnation, options.replica) {
  for (size_t i = 0; i < kVerdictLabels.size(); ++i) {
    verdicts_[i] = &counters->Counter("skylarkhoist_dedup_claims_total",
                                      "Claims of idempotency keys by verdict",
                                      {{"verdict", kVerdictLabels[i]}});
  }
  double_runs_ = &counters->Counter(
      "skylarkhoist_dedup_double_runs_total",
      "Keys for which two copies reported an answer; must stay 0");
  malformed_ = &counters->Counter("skylarkhoist_dedup_malformed_total",
                                  "Dedup messages dropped as malformed");
  records_ = &counters->Gauge("skylarkhoist_dedup_records",
                              "Records kept for replica groups");
  tick_ = loop_->RunAfter(options_.tick, [this] { OnTick(); });
}

dedup_service::~dedup_service() {
  *alive_ = false;
  loop_->Cancel(tick_);
  for (auto& [id, open] : claims_)
    loop_->Cancel(open.timer);
}

void dedup_service::After(duration delay, std::function<void()> action) {
  loop_->RunAfter(delay, [alive = alive_, action = std::move(action)] {
    if (*alive)
      action();
  });
}

void dedup_service::Send(const std::string& address,
                         const fbs::envelopeT& message) {
  if (address != options_.address) {
    transport_->Send(address, message);
    return;
  }
  After(duration::zero(), [this, message] {
    peer_info self;
    self.address = options_.address;
    self.incarnation = options_.incarnation;
    OnPeerMessage(self, message);
  });
}

void dedup_service::SetRoster(const roster_view& roster) {
  replica_.SetRoster(roster, loop_->Now());
  peer_versions_.clear();
  std::vector<request_id> open;
  for (auto& [id, claim] : claims_) {
    claim.claim.SetGroup(replica_.roster_version(),
                         replica_.GroupInForce(claim.claim.request().shard),
                         loop_->Now());
    open.push_back(id);
  }
  for (const request_id& id : open)
    Pump(id);
  for (auto& [id, end] : ends_)
    end.next_send = loop_->Now();
}

void dedup_service::OnPeerVersion(uint64_t incarnation, uint64_t version) {
  uint64_t& known = peer_versions_[incarnation];
  const bool reached = known != version && version == replica_.roster_version();
  known = version;
  if (!reached)
    return;
  replica_.AskAgain(loop_->Now());
  for (auto& [id, end] : ends_) {
    if (end.confirmed.count(incarnation) == 0)
      end.next_send = std::min(end.next_send, loop_->Now());
  }
}

void dedup_service::OnPeerGone(const std::string& address,
                               uint64_t incarnation) {
  if (incarnation == 0 || incarnation == options_.incarnation)
    return;
  LogStateChange("dedup", "peer_gone", {{"peer", address}});
  replica_.OnOriginGone(incarnation);
  peer_versions_.erase(incarnation);
  std::vector<request_id> open;
  for (auto& [id, claim] : claims_) {
    claim.claim.OnMemberGone(incarnation, loop_->Now());
    open.push_back(id);
  }
  for (const request_id& id : open)
    Pump(id);
}

void dedup_service::Claim(const std::string& customer,
                          const std::string& key,
                          const request_id& id,
                          time_point deadline,
                          claim_callback done) {
  dedup_request request;
  request.id = id;
  request.key = DedupKeyOf(customer, key);
  request.shard =
      static_cast<uint32_t>(request.key.low % options_.replica.shards);
  request.created_unix_ms = UuidV7UnixMs(key);
  const time_point now = loop_->Now();
  open_claim open{dedup_claim(request, deadline, options_.claim, now),
                  std::move(done), 0};
  open.claim.SetGroup(replica_.roster_version(),
                      replica_.GroupInForce(request.shard), now);
  claims_.insert_or_assign(id, std::move(open));
  // Never calls `done` here: a new claim has no replies yet, and the deadline
  // is checked by the timer that Pump sets.
  Pump(id);
}

void dedup_service::Pump(const request_id& id) {
  const auto found = claims_.find(id);
  if (found == claims_.end())
    return;
  open_claim& open = found->second;
  loop_->Cancel(open.timer);
  if (!open.claim.resolution()) {
    for (const auto& [to, request] : open.claim.TakeMessages()) {
      fbs::dedup_claimT message;
      message.id = ToWire(request.id);
      message.shard = request.shard;
      message.roster_version = request.roster_version;
      message.key_hash_high = request.key.high;
      message.key_hash_low = request.key.low;
      message.created_unix_ms = request.created_unix_ms;
      message.round = request.round;
      message.query_only = request.query_only;
      Send(to.address, Envelope(std::move(message)));
    }
    open.timer =
        loop_->RunAfter(open.claim.next_wake() - loop_->Now(), [this, id] {
          const auto due = claims_.find(id);
          if (due == claims_.end())
            return;
          due->second.claim.OnTick(loop_->Now());
          Pump(id);
        });
    return;
  }
  const dedup_resolution resolution = *open.claim.resolution();
  const dedup_request request = open.claim.request();
  const claim_callback done = std::move(open.done);
  claims_.erase(found);
  verdicts_[static_cast<size_t>(resolution.verdict)]->Increment();
  if (resolution.verdict != dedup_verdict::kRun) {
    Report({request.id, kLastRound, request.shard, request.key,
            dedup_outcome::kReleased, nullptr, 0});
  }
  dedup_decision decision;
  decision.verdict = resolution.verdict;
  decision.answer =
      std::static_pointer_cast<const fbs::call_answerT>(resolution.answer);
  decision.valid_until = resolution.valid_until;
  done(decision);
}

void dedup_service::Finish(const std::string& customer,
                           const std::string& key,
                           const request_id& id,
                           fbs::outcome outcome,
                           std::shared_ptr<const fbs::call_answerT> answer) {
  dedup_end end;
  end.id = id;
  end.round = kLastRound;
  end.key = DedupKeyOf(customer, key);
  end.shard = static_cast<uint32_t>(end.key.low % options_.replica.shards);
  end.outcome = outcome == fbs::outcome::kNone ? dedup_outcome::kUnknown
                                               : FromWire(outcome);
  if (end.outcome == dedup_outcome::kAnswered && answer) {
    end.answer_bytes = SizeOf(*answer);
    end.answer = std::move(answer);
  }
  Report(end);
}

void dedup_service::Report(const dedup_end& end) {
  const time_point now = loop_->Now();
  open_end open;
  open.end = end;
  open.until = now + options_.report;
  open.interval = kFirstReport;
  const auto placed = ends_.insert_or_assign(end.id, std::move(open)).first;
  SendEnds(placed->second);
}

void dedup_service::SendEnds(open_end& open) {
  open.next_send = loop_->Now() + open.interval;
  open.interval = std::min(2 * open.interval, kLongestReport);
  for (const dedup_member& member : replica_.GroupInForce(open.end.shard)) {
    if (open.confirmed.count(member.incarnation) != 0)
      continue;
    fbs::dedup_resultT message;
    message.id = ToWire(open.end.id);
    message.shard = open.end.shard;
    message.key_hash_high = open.end.key.high;
    message.key_hash_low = open.end.key.low;
    message.outcome = ToWire(open.end.outcome);
    message.answer = ToWire(open.end.answer);
    message.round = open.end.round;
    Send(member.address, Envelope(std::move(message)));
  }
}

bool dedup_service::IsReported(const open_end& open) const {
  const dedup_group group = replica_.GroupInForce(open.end.shard);
  return std::all_of(group.begin(), group.end(), [&](const auto& member) {
    return open.confirmed.count(member.incarnation) != 0;
  });
}

void dedup_service::OnTick() {
  tick_ = loop_->RunAfter(options_.tick, [this] { OnTick(); });
  const time_point now = loop_->Now();
  for (const dedup_sync_request& request : replica_.OnTick(now, wall_->Now())) {
    fbs::dedup_syncT message;
    message.shard = request.shard;
    message.roster_version = replica_.roster_version();
    message.request = true;
    message.round = ++sync_round_;
    Send(request.to.address, Envelope(std::move(message)));
  }
  bool reported = true;
  for (auto each = ends_.begin(); each != ends_.end();) {
    open_end& open = each->second;
    if (open.until <= now) {
      each = ends_.erase(each);
      continue;
    }
    if (!IsReported(open)) {
      reported = false;
      if (open.next_send <= now)
        SendEnds(open);
    }
    ++each;
  }
  records_->Set(static_cast<double>(replica_.records()));
  if (!drained_)
    return;
  if ((reported && hand_overs_.empty()) || drain_until_ <= now) {
    const auto done = std::exchange(drained_, nullptr);
    done();
    return;
  }
  for (const auto& [key, open] : hand_overs_)
    SendState(open.to, open.state, 0, true);
}

void dedup_service::Drain(std::function<void()> done) {
  drained_ = std::move(done);
  drain_until_ = loop_->Now() + options_.drain;
  for (auto& [to, state] : replica_.HandOver(loop_->Now())) {
    const std::pair<uint64_t, uint32_t> key{to.incarnation, state.shard};
    const auto placed =
        hand_overs_.insert_or_assign(key, open_hand_over{to, std::move(state)})
            .first;
    SendState(to, placed->second.state, 0, true);
  }
}

void dedup_service::SendState(const dedup_member& to,
                              const dedup_sync_state& state,
                              uint32_t round,
                              bool hand_over) {
  std::vector<fbs::dedup_syncT> parts(1);
  size_t bytes = 0;
  for (const auto& [key, record] : state.records) {
    if (parts.back().records.size() >= kChunkRecords || bytes > kChunkBytes) {
      parts.emplace_back();
      bytes = 0;
    }
    auto item = std::make_unique<fbs::dedup_recordT>();
    item->shard = state.shard;
    item->key_hash_high = key.high;
    item->key_hash_low = key.low;
    item->id = ToWire(record.id);
    item->outcome = ToWire(record.outcome);
    item->age_ms =
        static_cast<uint32_t>(ToMilliseconds(loop_->Now() - record.since));
    item->answer = ToWire(record.answer);
    item->round = record.round;
    bytes += record.answer_bytes;
    parts.back().records.push_back(std::move(item));
  }
  for (size_t i = 0; i < parts.size(); ++i) {
    fbs::dedup_syncT& part = parts[i];
    part.shard = state.shard;
    part.roster_version = state.roster_version;
    part.sighted_through = state.sighted_through;
    part.hand_over = hand_over;
    part.round = round;
    part.chunk = static_cast<uint32_t>(i);
    part.chunks = static_cast<uint32_t>(parts.size());
    part.last = i + 1 == parts.size();
    if (i == 0) {
      for (const auto& [version, group] : state.groups) {
        auto item = std::make_unique<fbs::dedup_groupT>();
        item->version = version;
        for (const dedup_member& member : group) {
          item->incarnations.push_back(member.incarnation);
          item->addresses.push_back(member.address);
        }
        part.groups.push_back(std::move(item));
      }
    }
    Send(to.address, Envelope(std::move(part)));
  }
}

bool dedup_service::OnPeerMessage(const peer_info& from,
                                  const fbs::envelopeT& message) {
  if (const auto* claim = message.body.Asdedup_claim())
    OnClaimMessage(from, *claim);
  else if (const auto* verdict = message.body.Asdedup_verdict())
    OnVerdictMessage(from, *verdict);
  else if (const auto* result = message.body.Asdedup_result())
    OnResultMessage(from, *result);
  else if (const auto* sync = message.body.Asdedup_sync())
    OnSyncMessage(from, *sync);
  else
    return false;
  return true;
}

void dedup_service::OnClaimMessage(const peer_info& from,
                                   const fbs::dedup_claimT& message) {
  dedup_request request;
  request.id = FromWire(message.id);
  request.round = message.round;
  request.query_only = message.query_only;
  request.shard = message.shard;
  request.key = {message.key_hash_high, message.key_hash_low};
  request.roster_version = message.roster_version;
  request.created_unix_ms = message.created_unix_ms;
  if (!message.id || request.shard >= options_.replica.shards) {
    malformed_->Increment();
    return;
  }
  const auto reply = replica_.OnClaim(request, loop_->Now());
  if (!reply)
    return;
  fbs::dedup_verdictT verdict;
  verdict.id = ToWire(reply->id);
  // Both enums list the same states in the same order.
  verdict.state = static_cast<fbs::dedup_state>(reply->state);
  verdict.first_id = ToWire(reply->first_id);
  verdict.roster_version = reply->roster_version;
  verdict.answer = ToWire(reply->answer);
  verdict.round = reply->round;
  verdict.outcome = ToWire(reply->outcome);
  Send(from.address, Envelope(std::move(verdict)));
}

void dedup_service::OnVerdictMessage(const peer_info& from,
                                     const fbs::dedup_verdictT& message) {
  if (message.state > fbs::dedup_state::kFree) {
    malformed_->Increment();
    return;
  }
  dedup_reply reply;
  reply.id = FromWire(message.id);
  reply.round = message.round;
  reply.state = static_cast<dedup_state>(message.state);
  reply.roster_version = message.roster_version;
  reply.first_id = FromWire(message.first_id);
  reply.outcome = FromWire(message.outcome);
  const auto claim = claims_.find(reply.id);
  if (claim != claims_.end()) {
    std::tie(reply.answer, reply.answer_bytes) = FromWire(message.answer);
    claim->second.claim.OnReply(from.incarnation, reply, loop_->Now());
    Pump(reply.id);
    return;
  }
  const auto end = ends_.find(reply.id);
  if (end == ends_.end())
    return;
  if (reply.state == dedup_state::kKnownFinished &&
      reply.first_id == reply.id) {
    end->second.confirmed.insert(from.incarnation);
  } else if (reply.state == dedup_state::kGranted) {
    // Granted after the end, by a claim message that was overtaken.
    end->second.confirmed.erase(from.incarnation);
    end->second.next_send = loop_->Now();
  }
}

void dedup_service::OnResultMessage(const peer_info& from,
                                    const fbs::dedup_resultT& message) {
  dedup_end end;
  end.id = FromWire(message.id);
  end.round = message.round;
  end.shard = message.shard;
  end.key = {message.key_hash_high, message.key_hash_low};
  end.outcome = FromWire(message.outcome);
  std::tie(end.answer, end.answer_bytes) = FromWire(message.answer);
  if (!message.id || end.shard >= options_.replica.shards) {
    malformed_->Increment();
    return;
  }
  if (!replica_.OnEnd(end, loop_->Now())) {
    double_runs_->Increment();
    LogWarning("dedup", "double_run", {{"origin", from.address}});
  }
  fbs::dedup_verdictT confirmation;
  confirmation.id = ToWire(end.id);
  confirmation.first_id = ToWire(end.id);
  confirmation.state = fbs::dedup_state::kKnownFinished;
  confirmation.roster_version = replica_.roster_version();
  confirmation.outcome = message.outcome;
  confirmation.round = end.round;
  Send(from.address, Envelope(std::move(confirmation)));
}

void dedup_service::OnSyncMessage(const peer_info& from,
                                  const fbs::dedup_syncT& message) {
  const time_point now = loop_->Now();
  const std::pair<uint64_t, uint32_t> source{from.incarnation, message.shard};
  if (message.request) {
    if (message.hand_over) {
      hand_overs_.erase(source);
    } else if (const auto state = replica_.OnSyncRequest(
                   message.shard, message.roster_version, now)) {
      SendState({from.incarnation, from.address}, *state, message.round, false);
    }
    return;
  }
  if (message.shard >= options_.replica.shards ||
      message.chunk >= message.chunks) {
    malformed_->Increment();
    return;
  }
  partial_state& partial = partial_[source];
  if (partial.round != message.round ||
      partial.state.roster_version != message.roster_version) {
    partial = partial_state();
    partial.round = message.round;
    partial.state.shard = message.shard;
    partial.state.roster_version = message.roster_version;
  }
  if (!partial.chunks.insert(message.chunk).second)
    return;
  partial.state.sighted_through = message.sighted_through;
  for (const auto& group : message.groups) {
    dedup_group members;
    const size_t count =
        std::min(group->incarnations.size(), group->addresses.size());
    for (size_t i = 0; i < count; ++i)
      members.push_back({group->incarnations[i], group->addresses[i]});
    partial.state.groups[group->version] = std::move(members);
  }
  for (const auto& item : message.records) {
    dedup_record record;
    record.id = FromWire(item->id);
    record.round = item->round;
    record.outcome = FromWire(item->outcome);
    record.since = now - std::chrono::milliseconds(item->age_ms);
    std::tie(record.answer, record.answer_bytes) = FromWire(item->answer);
    partial.state.records.emplace_back(
        dedup_key{item->key_hash_high, item->key_hash_low}, std::move(record));
  }
  if (partial.chunks.size() < message.chunks)
    return;
  const dedup_sync_state state = std::move(partial.state);
  partial_.erase(source);
  if (!message.hand_over) {
    replica_.OnSyncState(from.incarnation, state, now);
    return;
  }
  replica_.OnHandOver(from.incarnation, state, now);
  fbs::dedup_syncT confirmation;
  confirmation.shard = message.shard;
  confirmation.roster_version = message.roster_version;
  confirmation.request = true;
  confirmation.hand_over = true;
  Send(from.address, Envelope(std::move(confirmation)));
}

}  // namespace skylarkhoist
