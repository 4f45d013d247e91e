#include "node/dedup_service.h"

#include <openssl/sha.h>

#include <algorithm>
#include <cstring>
#include <limits>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// A sync state is sent in chunks that stay well below the frame limit of 8 MB.
constexpr size_t kMaxChunkRecords = 1000;
constexpr size_t kMaxChunkBytes = size_t{1} << 20;

// Interval between reports of the end of a request to a replica that has not
// confirmed it; doubles from the minimum to the maximum.
constexpr duration kMinReportInterval = std::chrono::milliseconds(100);
constexpr duration kMaxReportInterval = std::chrono::seconds(2);

// Round of the end of a request: higher than the rounds of its claims, so that
// the end overrides them all.
constexpr uint32_t kFinalRound = std::numeric_limits<uint32_t>::max();

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
  // The length of the customer makes the text different for each pair.
  const std::string hash_input =
      std::to_string(customer.size()) + ":" + customer + key;
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(hash_input.data()),
         hash_input.size(), digest.data());
  dedup_key key_hash;
  std::memcpy(&key_hash.high, digest.data(), sizeof(key_hash.high));
  std::memcpy(&key_hash.low, digest.data() + sizeof(key_hash.high),
              sizeof(key_hash.low));
  return key_hash;
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
    verdict_counters_[i] =
        &counters->Counter("skylarkhoist_dedup_claims_total",
                           "Claims of idempotency keys by verdict",
                           {{"verdict", kVerdictLabels[i]}});
  }
  double_runs_ = &counters->Counter(
      "skylarkhoist_dedup_double_runs_total",
      "Keys for which two copies reported an answer; must stay 0");
  malformed_messages_ =
      &counters->Counter("skylarkhoist_dedup_malformed_total",
                         "Dedup messages dropped as malformed");
  record_gauge_ = &counters->Gauge("skylarkhoist_dedup_records",
                                   "Records kept for replica groups");
  tick_timer_ = loop_->RunAfter(options_.tick_interval, [this] { OnTick(); });
}

dedup_service::~dedup_service() {
  *alive_ = false;
  loop_->Cancel(tick_timer_);
  for (auto& [id, pending] : pending_claims_)
    loop_->Cancel(pending.timer);
}

void dedup_service::RunLater(duration delay, std::function<void()> action) {
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
  RunLater(duration::zero(), [this, message] {
    peer_info self;
    self.address = options_.address;
    self.incarnation = options_.incarnation;
    OnPeerMessage(self, message);
  });
}

void dedup_service::SetRoster(const roster_view& roster) {
  replica_.SetRoster(roster, loop_->Now());
  peer_versions_.clear();
  std::vector<request_id> ids;
  for (auto& [id, pending] : pending_claims_) {
    pending.claim.SetGroup(replica_.roster_version(),
                           replica_.CurrentGroup(pending.claim.request().shard),
                           loop_->Now());
    ids.push_back(id);
  }
  for (const request_id& id : ids)
    AdvanceClaim(id);
  for (auto& [id, pending] : pending_results_)
    pending.next_send = loop_->Now();
}

void dedup_service::OnPeerRosterVersion(uint64_t incarnation,
                                        uint64_t version) {
  uint64_t& last_version = peer_versions_[incarnation];
  const bool has_reached_version =
      last_version != version && version == replica_.roster_version();
  last_version = version;
  if (!has_reached_version)
    return;
  replica_.RetrySync(loop_->Now());
  for (auto& [id, pending] : pending_results_) {
    if (pending.confirmed.count(incarnation) == 0)
      pending.next_send = std::min(pending.next_send, loop_->Now());
  }
}

void dedup_service::OnPeerGone(const std::string& address,
                               uint64_t incarnation) {
  if (incarnation == 0 || incarnation == options_.incarnation)
    return;
  LogStateChange("dedup", "peer_gone", {{"peer", address}});
  replica_.OnNodeGone(incarnation);
  peer_versions_.erase(incarnation);
  std::vector<request_id> ids;
  for (auto& [id, pending] : pending_claims_) {
    pending.claim.OnMemberGone(incarnation, loop_->Now());
    ids.push_back(id);
  }
  for (const request_id& id : ids)
    AdvanceClaim(id);
}

void dedup_service::Claim(const std::string& customer,
                          const std::string& key,
                          const request_id& id,
                          time_point deadline,
                          claim_callback done) {
  dedup_claim_request request;
  request.id = id;
  request.key = DedupKeyOf(customer, key);
  request.shard =
      static_cast<uint32_t>(request.key.low % options_.replica.shards);
  request.created_unix_ms = UuidV7UnixMs(key);
  const time_point now = loop_->Now();
  pending_claim pending{dedup_claim(request, deadline, options_.claim, now),
                        std::move(done), 0};
  pending.claim.SetGroup(replica_.roster_version(),
                         replica_.CurrentGroup(request.shard), now);
  pending_claims_.insert_or_assign(id, std::move(pending));
  // Does not call `done`: a new claim has no replies yet, and the deadline is
  // checked by the timer that AdvanceClaim sets.
  AdvanceClaim(id);
}

void dedup_service::AdvanceClaim(const request_id& id) {
  const auto found = pending_claims_.find(id);
  if (found == pending_claims_.end())
    return;
  pending_claim& pending = found->second;
  loop_->Cancel(pending.timer);
  if (!pending.claim.resolution()) {
    for (const auto& [to, request] : pending.claim.TakeMessages()) {
      fbs::dedup_claimT message;
      message.id = ToWire(request.id);
      message.shard = request.shard;
      message.roster_version = request.roster_version;
      message.key_hash_high = request.key.high;
      message.key_hash_low = request.key.low;
      message.created_unix_ms = request.created_unix_ms;
      message.round = request.round;
      message.query_only = request.query_only;
      Send(to.address, MakeEnvelope(std::move(message)));
    }
    pending.timer =
        loop_->RunAfter(pending.claim.next_wake() - loop_->Now(), [this, id] {
          const auto claim = pending_claims_.find(id);
          if (claim == pending_claims_.end())
            return;
          claim->second.claim.OnTick(loop_->Now());
          AdvanceClaim(id);
        });
    return;
  }
  const dedup_resolution resolution = *pending.claim.resolution();
  const dedup_claim_request request = pending.claim.request();
  const claim_callback done = std::move(pending.done);
  pending_claims_.erase(found);
  verdict_counters_[static_cast<size_t>(resolution.verdict)]->Increment();
  if (resolution.verdict != dedup_verdict::kRun) {
    ReportResult({request.id, kFinalRound, request.shard, request.key,
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
  dedup_result result;
  result.id = id;
  result.round = kFinalRound;
  result.key = DedupKeyOf(customer, key);
  result.shard =
      static_cast<uint32_t>(result.key.low % options_.replica.shards);
  result.outcome = outcome == fbs::outcome::kNone ? dedup_outcome::kUnknown
                                                  : FromWire(outcome);
  if (result.outcome == dedup_outcome::kAnswered && answer) {
    result.answer_bytes = SizeOf(*answer);
    result.answer = std::move(answer);
  }
  ReportResult(result);
}

void dedup_service::ReportResult(const dedup_result& result) {
  const time_point now = loop_->Now();
  pending_result pending;
  pending.result = result;
  pending.give_up_at = now + options_.report_timeout;
  pending.report_interval = kMinReportInterval;
  const auto inserted =
      pending_results_.insert_or_assign(result.id, std::move(pending)).first;
  SendResult(inserted->second);
}

void dedup_service::SendResult(pending_result& pending) {
  pending.next_send = loop_->Now() + pending.report_interval;
  pending.report_interval =
      std::min(2 * pending.report_interval, kMaxReportInterval);
  for (const dedup_member& member :
       replica_.CurrentGroup(pending.result.shard)) {
    if (pending.confirmed.count(member.incarnation) != 0)
      continue;
    fbs::dedup_resultT message;
    message.id = ToWire(pending.result.id);
    message.shard = pending.result.shard;
    message.key_hash_high = pending.result.key.high;
    message.key_hash_low = pending.result.key.low;
    message.outcome = ToWire(pending.result.outcome);
    message.answer = ToWire(pending.result.answer);
    message.round = pending.result.round;
    Send(member.address, MakeEnvelope(std::move(message)));
  }
}

bool dedup_service::IsConfirmedByAll(const pending_result& pending) const {
  const dedup_group group = replica_.CurrentGroup(pending.result.shard);
  return std::all_of(group.begin(), group.end(), [&](const auto& member) {
    return pending.confirmed.count(member.incarnation) != 0;
  });
}

void dedup_service::OnTick() {
  tick_timer_ = loop_->RunAfter(options_.tick_interval, [this] { OnTick(); });
  const time_point now = loop_->Now();
  for (const dedup_sync_request& request : replica_.OnTick(now, wall_->Now())) {
    fbs::dedup_syncT message;
    message.shard = request.shard;
    message.roster_version = replica_.roster_version();
    message.request = true;
    message.round = ++last_sync_round_;
    Send(request.to.address, MakeEnvelope(std::move(message)));
  }
  bool all_confirmed = true;
  for (auto it = pending_results_.begin(); it != pending_results_.end();) {
    pending_result& pending = it->second;
    if (pending.give_up_at <= now) {
      it = pending_results_.erase(it);
      continue;
    }
    if (!IsConfirmedByAll(pending)) {
      all_confirmed = false;
      if (pending.next_send <= now)
        SendResult(pending);
    }
    ++it;
  }
  record_gauge_->Set(static_cast<double>(replica_.records()));
  if (!drain_done_)
    return;
  if ((all_confirmed && pending_hand_overs_.empty()) ||
      drain_deadline_ <= now) {
    const auto done = std::exchange(drain_done_, nullptr);
    done();
    return;
  }
  for (const auto& [key, pending] : pending_hand_overs_)
    SendSyncState(pending.to, pending.state, 0, true);
}

void dedup_service::Drain(std::function<void()> done) {
  drain_done_ = std::move(done);
  drain_deadline_ = loop_->Now() + options_.drain_timeout;
  for (auto& [to, state] : replica_.HandOver(loop_->Now())) {
    const std::pair<uint64_t, uint32_t> key{to.incarnation, state.shard};
    const auto inserted =
        pending_hand_overs_
            .insert_or_assign(key, pending_hand_over{to, std::move(state)})
            .first;
    SendSyncState(to, inserted->second.state, 0, true);
  }
}

void dedup_service::SendSyncState(const dedup_member& to,
                                  const dedup_sync_state& state,
                                  uint32_t round,
                                  bool hand_over) {
  std::vector<fbs::dedup_syncT> chunks(1);
  size_t bytes = 0;
  for (const auto& [key, record] : state.records) {
    if (chunks.back().records.size() >= kMaxChunkRecords ||
        bytes > kMaxChunkBytes) {
      chunks.emplace_back();
      bytes = 0;
    }
    auto item = std::make_unique<fbs::dedup_recordT>();
    item->shard = state.shard;
    item->key_hash_high = key.high;
    item->key_hash_low = key.low;
    item->id = ToWire(record.id);
    item->outcome = ToWire(record.outcome);
    item->age_ms = static_cast<uint32_t>(
        ToMilliseconds(loop_->Now() - record.recorded_at));
    item->answer = ToWire(record.answer);
    item->round = record.round;
    bytes += record.answer_bytes;
    chunks.back().records.push_back(std::move(item));
  }
  for (size_t i = 0; i < chunks.size(); ++i) {
    fbs::dedup_syncT& chunk = chunks[i];
    chunk.shard = state.shard;
    chunk.roster_version = state.roster_version;
    chunk.sighted_through = state.complete_through;
    chunk.hand_over = hand_over;
    chunk.round = round;
    chunk.chunk = static_cast<uint32_t>(i);
    chunk.chunks = static_cast<uint32_t>(chunks.size());
    chunk.last = i + 1 == chunks.size();
    if (i == 0) {
      for (const auto& [version, group] : state.earlier_groups) {
        auto item = std::make_unique<fbs::dedup_groupT>();
        item->version = version;
        for (const dedup_member& member : group) {
          item->incarnations.push_back(member.incarnation);
          item->addresses.push_back(member.address);
        }
        chunk.groups.push_back(std::move(item));
      }
    }
    Send(to.address, MakeEnvelope(std::move(chunk)));
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
  dedup_claim_request request;
  request.id = FromWire(message.id);
  request.round = message.round;
  request.query_only = message.query_only;
  request.shard = message.shard;
  request.key = {message.key_hash_high, message.key_hash_low};
  request.roster_version = message.roster_version;
  request.created_unix_ms = message.created_unix_ms;
  if (!message.id || request.shard >= options_.replica.shards) {
    malformed_messages_->Increment();
    return;
  }
  const auto reply = replica_.OnClaim(request, loop_->Now());
  if (!reply)
    return;
  fbs::dedup_verdictT verdict;
  verdict.id = ToWire(reply->id);
  // Both enums have the same states in the same order.
  verdict.state = static_cast<fbs::dedup_state>(reply->state);
  verdict.first_id = ToWire(reply->holder_id);
  verdict.roster_version = reply->roster_version;
  verdict.answer = ToWire(reply->answer);
  verdict.round = reply->round;
  verdict.outcome = ToWire(reply->outcome);
  Send(from.address, MakeEnvelope(std::move(verdict)));
}

void dedup_service::OnVerdictMessage(const peer_info& from,
                                     const fbs::dedup_verdictT& message) {
  if (message.state > fbs::dedup_state::kFree) {
    malformed_messages_->Increment();
    return;
  }
  dedup_claim_reply reply;
  reply.id = FromWire(message.id);
  reply.round = message.round;
  reply.state = static_cast<dedup_state>(message.state);
  reply.roster_version = message.roster_version;
  reply.holder_id = FromWire(message.first_id);
  reply.outcome = FromWire(message.outcome);
  const auto claim = pending_claims_.find(reply.id);
  if (claim != pending_claims_.end()) {
    std::tie(reply.answer, reply.answer_bytes) = FromWire(message.answer);
    claim->second.claim.OnReply(from.incarnation, reply, loop_->Now());
    AdvanceClaim(reply.id);
    return;
  }
  const auto pending = pending_results_.find(reply.id);
  if (pending == pending_results_.end())
    return;
  if (reply.state == dedup_state::kKnownFinished &&
      reply.holder_id == reply.id) {
    pending->second.confirmed.insert(from.incarnation);
  } else if (reply.state == dedup_state::kGranted) {
    // The replica received a delayed claim message after the end of the request
    // and granted it.
    pending->second.confirmed.erase(from.incarnation);
    pending->second.next_send = loop_->Now();
  }
}

void dedup_service::OnResultMessage(const peer_info& from,
                                    const fbs::dedup_resultT& message) {
  dedup_result result;
  result.id = FromWire(message.id);
  result.round = message.round;
  result.shard = message.shard;
  result.key = {message.key_hash_high, message.key_hash_low};
  result.outcome = FromWire(message.outcome);
  std::tie(result.answer, result.answer_bytes) = FromWire(message.answer);
  if (!message.id || result.shard >= options_.replica.shards) {
    malformed_messages_->Increment();
    return;
  }
  if (!replica_.OnResult(result, loop_->Now())) {
    double_runs_->Increment();
    LogWarning("dedup", "double_run", {{"origin", from.address}});
  }
  fbs::dedup_verdictT confirmation;
  confirmation.id = ToWire(result.id);
  confirmation.first_id = ToWire(result.id);
  confirmation.state = fbs::dedup_state::kKnownFinished;
  confirmation.roster_version = replica_.roster_version();
  confirmation.outcome = message.outcome;
  confirmation.round = result.round;
  Send(from.address, MakeEnvelope(std::move(confirmation)));
}

void dedup_service::OnSyncMessage(const peer_info& from,
                                  const fbs::dedup_syncT& message) {
  const time_point now = loop_->Now();
  const std::pair<uint64_t, uint32_t> source{from.incarnation, message.shard};
  if (message.request) {
    if (message.hand_over) {
      pending_hand_overs_.erase(source);
    } else if (const auto state = replica_.OnSyncRequest(
                   message.shard, message.roster_version, now)) {
      SendSyncState({from.incarnation, from.address}, *state, message.round,
                    false);
    }
    return;
  }
  if (message.shard >= options_.replica.shards ||
      message.chunk >= message.chunks) {
    malformed_messages_->Increment();
    return;
  }
  partial_sync_state& partial = partial_sync_states_[source];
  if (partial.round != message.round ||
      partial.state.roster_version != message.roster_version) {
    partial = partial_sync_state();
    partial.round = message.round;
    partial.state.shard = message.shard;
    partial.state.roster_version = message.roster_version;
  }
  if (!partial.chunks.insert(message.chunk).second)
    return;
  partial.state.complete_through = message.sighted_through;
  for (const auto& group : message.groups) {
    dedup_group members;
    const size_t count =
        std::min(group->incarnations.size(), group->addresses.size());
    for (size_t i = 0; i < count; ++i)
      members.push_back({group->incarnations[i], group->addresses[i]});
    partial.state.earlier_groups[group->version] = std::move(members);
  }
  for (const auto& item : message.records) {
    dedup_record record;
    record.id = FromWire(item->id);
    record.round = item->round;
    record.outcome = FromWire(item->outcome);
    record.recorded_at = now - std::chrono::milliseconds(item->age_ms);
    std::tie(record.answer, record.answer_bytes) = FromWire(item->answer);
    partial.state.records.emplace_back(
        dedup_key{item->key_hash_high, item->key_hash_low}, std::move(record));
  }
  if (partial.chunks.size() < message.chunks)
    return;
  const dedup_sync_state state = std::move(partial.state);
  partial_sync_states_.erase(source);
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
  Send(from.address, MakeEnvelope(std::move(confirmation)));
}

}  // namespace skylarkhoist
