#include "node/rate_service.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Maximum time for which a call waits for a token.
constexpr duration kMaxTokenWait = milliseconds(50);
constexpr duration kBusyTickInterval = milliseconds(10);
constexpr duration kIdleTickInterval = milliseconds(50);

// The two rounds of an acquisition take a few milliseconds between zones.
constexpr duration kAcquisitionTimeout = milliseconds(100);
// Each group member waits this long per member before it in the group, so that
// they do not compete for a free lease.
constexpr duration kDelayPerRank = milliseconds(100);
constexpr duration kMinBackoff = milliseconds(20);
constexpr duration kMaxBackoff = milliseconds(300);
// A renewal that no majority has granted is repeated after this time.
constexpr duration kRenewalRetryInterval = milliseconds(100);
// A holder that has not renewed its lease for this time is probed.
constexpr duration kLateRenewalThreshold =
    kLeaseRenewalInterval + milliseconds(100);
constexpr duration kMinProbeInterval = milliseconds(50);
constexpr duration kConfirmationProbeInterval = milliseconds(250);

constexpr duration kRecallRetryInterval = milliseconds(50);
// An owner that does not answer within this time is considered unreachable.
constexpr duration kOwnerResponseTimeout = milliseconds(30);
// A call that gets no token in time fails with kRateLimited if a grant arrived
// within this time, otherwise with kRateUnavailable.
constexpr duration kOwnerReachablePeriod = seconds(1);

// A refused connection is reported at most this long after the attempt (links
// are closed after 1 s of silence). An incarnation that has been known for less
// time may have started after the attempt.
constexpr duration kMaxRefusalAge = seconds(2);
// A new owner recalls loans from members that left the roster within this time,
// since a previous owner may not have known of their removal.
constexpr duration kRemovedMemberRetention = std::chrono::minutes(5);
// A process that started within this time does not know the members that left
// before its start, so as a new owner it waits until all loans have expired.
constexpr duration kMembershipHistoryPeriod = seconds(10);

// Bounds the size of lease requests. When more nodes cannot join the roster,
// the remaining ones cannot borrow.
constexpr size_t kMaxNonmemberBorrowers = 32;

constexpr duration kDrainTimeout = milliseconds(500);

}  // namespace

unsigned RateShardOf(const std::string& customer) {
  return XXH64(customer.data(), customer.size(), 0) % kRateShards;
}

std::string RateShardName(unsigned shard) {
  return "rate-" + std::to_string(shard);
}

rate_service::shard_state::shard_state(unsigned number, uint64_t incarnation)
    : index(number),
      name(RateShardName(number)),
      group(RateShardName(number), incarnation) {}

rate_service::rate_service(loop* run_loop,
                           peer_transport* transport,
                           rate_service_options options,
                           metrics* counters)
    : loop_(run_loop),
      transport_(transport),
      options_(std::move(options)),
      granted_(counters->Counter("skylarkhoist_rate_decisions_total",
                                 "Decisions of the rate limit by result",
                                 {{"result", "ok"}})),
      limited_(counters->Counter("skylarkhoist_rate_decisions_total",
                                 "Decisions of the rate limit by result",
                                 {{"result", "rate_limited"}})),
      unavailable_(counters->Counter("skylarkhoist_rate_decisions_total",
                                     "Decisions of the rate limit by result",
                                     {{"result", "rate_unavailable"}})),
      early_starts_(counters->Counter("skylarkhoist_rate_takeovers_total",
                                      "Shards taken over by kind of start",
                                      {{"start", "early"}})),
      waited_starts_(counters->Counter("skylarkhoist_rate_takeovers_total",
                                       "Shards taken over by kind of start",
                                       {{"start", "waited"}})),
      leases_lost_(counters->Counter("skylarkhoist_rate_leases_lost_total",
                                     "Leases that ended without release")) {
  shards_.reserve(kRateShards);
  for (unsigned shard = 0; shard < kRateShards; ++shard)
    shards_.emplace_back(shard, options_.incarnation);
  ScheduleTick(kIdleTickInterval);
}

rate_service::~rate_service() {
  *alive_ = false;
  loop_->Cancel(tick_timer_);
  for (auto& [name, customer] : customers_)
    loop_->Cancel(customer.wait_timer);
}

void rate_service::SetConfig(std::shared_ptr<const config_view> config) {
  config_ = std::move(config);
  for (shard_state& shard : shards_)
    shard.has_customers = false;
  const time_point now = loop_->Now();
  for (const auto& [name, rate] : config_->rates) {
    shard_state& shard = shards_[RateShardOf(name)];
    shard.has_customers = true;
    if (shard.owned == nullptr)
      continue;
    const auto bucket = shard.owned->buckets.find(name);
    if (bucket != shard.owned->buckets.end())
      bucket->second.SetRate(rate.per_second, rate.burst, now);
  }
  TickSoon();
}

void rate_service::SetRoster(const roster_view& roster) {
  const time_point now = loop_->Now();
  if (first_roster_at_ && roster.version <= roster_.version)
    return;
  if (!first_roster_at_)
    first_roster_at_ = now;
  roster_ = roster;
  std::set<uint64_t> current_members;
  for (const roster_member& member : roster.members) {
    current_members.insert(member.incarnation);
    const auto [known, added] = peers_.try_emplace(member.incarnation);
    if (added) {
      known->second.address = member.peer_address;
      known->second.first_seen_at = now;
    }
    known->second.removed_at.reset();
    known->second.first_roster_version =
        std::min(known->second.first_roster_version, roster.version);
  }
  // This process has the address now, so earlier processes there have exited.
  const auto own = peers_.find(options_.incarnation);
  const uint64_t own_first_version =
      own == peers_.end() ? UINT64_MAX : own->second.first_roster_version;
  std::vector<uint64_t> predecessors;
  for (const auto& [id, peer] : peers_) {
    if (peer.address == options_.address &&
        peer.first_roster_version < own_first_version)
      predecessors.push_back(id);
  }
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    known_peer& known = peer->second;
    if (current_members.count(peer->first) == 0 && !known.removed_at)
      known.removed_at = now;
    const bool expired =
        known.removed_at && now - *known.removed_at >= kRemovedMemberRetention;
    peer = expired ? peers_.erase(peer) : std::next(peer);
  }
  for (shard_state& shard : shards_) {
    shard.group.SetRoster(roster, now);
    if (options_.fault_skip_lease)
      shard.candidate_index = options_.incarnation;
    // Borrowers that joined may borrow once a majority of the witnesses knows
    // this version.
    if (shard.owned != nullptr && HoldsLease(shard, now))
      SendLeaseRound(shard);
  }
  for (const uint64_t id : predecessors)
    MarkGone(id);
  TickSoon();
}

void rate_service::OnPeerRosterVersion(uint64_t incarnation, uint64_t version) {
  const time_point now = loop_->Now();
  for (shard_state& shard : shards_)
    shard.group.OnPeerRosterVersion(incarnation, version, now);
}

void rate_service::OnPeerGone(const std::string& address,
                              uint64_t incarnation) {
  const time_point now = loop_->Now();
  for (auto& [id, peer] : peers_) {
    const bool matches = incarnation != 0
                             ? id == incarnation
                             : peer.address == address &&
                                   now - peer.first_seen_at >= kMaxRefusalAge;
    if (matches)
      MarkGone(id);
  }
  for (shard_state& shard : shards_) {
    if (RequestDestination(shard) == address)
      TryNextCandidate(shard);
  }
  TickSoon();
}

void rate_service::MarkGone(uint64_t incarnation) {
  known_peer& peer = peers_[incarnation];
  if (peer.gone || incarnation == options_.incarnation)
    return;
  peer.gone = true;
  for (shard_state& shard : shards_) {
    shard.group.OnPeerGone(incarnation, loop_->Now());
    shard.witness.OnHolderGone(incarnation);
    if (shard.owned == nullptr)
      continue;
    for (auto& [name, bucket] : shard.owned->buckets)
      bucket.OnBorrowerGone(incarnation);
    MarkReported(shard, incarnation);
  }
}

void rate_service::MarkPredecessorsGone(const peer_info& peer) {
  uint64_t& last_incarnation = incarnation_by_address_[peer.address];
  if (last_incarnation == peer.incarnation)
    return;
  last_incarnation = peer.incarnation;
  const time_point now = loop_->Now();
  const auto sender = peers_.find(peer.incarnation);
  // A message may arrive late, after a newer process has joined at the address.
  if (sender != peers_.end() && sender->second.gone)
    return;
  const uint64_t version =
      sender == peers_.end() ? UINT64_MAX : sender->second.first_roster_version;
  std::vector<uint64_t> predecessors;
  for (const auto& [id, known] : peers_) {
    if (known.address == peer.address && id != peer.incarnation &&
        known.first_roster_version < version &&
        now - known.first_seen_at >= kMaxRefusalAge)
      predecessors.push_back(id);
  }
  for (const uint64_t id : predecessors)
    MarkGone(id);
}

void rate_service::OnLinkLost(const std::string& address) {
  Probe(address);
}

void rate_service::HandleLeaseRequest(const peer_info& from,
                                      const fbs::lease_requestT& message) {
  const time_point now = loop_->Now();
  MarkPredecessorsGone(from);
  OnPeerRosterVersion(from.incarnation, message.roster_version);
  fbs::lease_grantT response;
  response.shard = message.shard;
  response.roster_version = roster_.version;
  response.round = message.round;
  shard_state* shard = FindShard(message.shard);
  if (shard == nullptr) {
    // A probe, which asks for the roster version only.
    SendTo(from.address, response);
    return;
  }
  if (message.release) {
    shard->witness.OnRelease(from.incarnation, message.round);
    TickSoon();
    return;
  }
  if (shard->group.IsActiveMember(now) && message.group == shard->group.id()) {
    response.holder_version = shard->witness.holder_roster_version();
    const lease_response decision =
        shard->witness.OnRequest(from.incarnation, message.round, message.epoch,
                                 message.roster_version, now);
    response.granted = decision.granted;
    response.epoch = decision.epoch;
    response.holder = decision.holder;
    response.wait_ms =
        static_cast<uint32_t>(ToMilliseconds(decision.remaining));
    response.young = !shard->group.IsActiveMember(now - kLoanPeriod);
    for (const auto& [incarnation, address] :
         shard->witness.NonmemberBorrowers(now)) {
      auto guest = std::make_unique<fbs::lease_guestT>();
      guest->incarnation = incarnation;
      guest->address = address;
      response.guests.push_back(std::move(guest));
    }
    if (decision.granted) {
      shard->lease_free_since.reset();
      std::map<uint64_t, std::string> borrowers;
      for (const auto& listed : message.guests)
        borrowers[listed->incarnation] = listed->address;
      shard->witness.RecordNonmemberBorrowers(borrowers, now);
    } else if (decision.holder != 0 &&
               now - shard->witness.renewed_at() >= kLateRenewalThreshold) {
      Probe(AddressOf(decision.holder));
    }
  }
  SendTo(from.address, std::move(response));
}

void rate_service::HandleLeaseGrant(const peer_info& from,
                                    const fbs::lease_grantT& message) {
  MarkPredecessorsGone(from);
  OnPeerRosterVersion(from.incarnation, message.roster_version);
  shard_state* shard = FindShard(message.shard);
  if (shard == nullptr)
    return;
  const time_point now = loop_->Now();
  if (!message.granted) {
    if (message.holder != 0 && message.holder != options_.incarnation)
      shard->owner_address = AddressOf(message.holder);
    const auto& members = shard->group.members();
    if (shard->acquiring && message.round == shard->holder.last_round() &&
        ++shard->refusals > members.size() - shard->group.Majority())
      AbandonAcquisition(*shard);
    return;
  }
  if (shard->owned == nullptr) {
    for (const auto& previous : message.guests)
      shard->previous_nonmember_borrowers[previous->incarnation] =
          previous->address;
    shard->witness_lacks_history =
        shard->witness_lacks_history || message.young;
  }
  if (!shard->holder.OnGrant(from.incarnation, message.round, true,
                             message.epoch, message.holder_version, now))
    return;
  shard->granted_round = message.round;
  if (!shard->holder.Holds(now)) {
    if (shard->acquiring)
      SendLeaseRound(*shard);
  } else if (shard->owned == nullptr) {
    BecomeOwner(*shard, shard->holder.epoch());
  }
}

void rate_service::HandleRateRequest(const peer_info& from,
                                     const fbs::rate_requestT& message) {
  const time_point now = loop_->Now();
  MarkPredecessorsGone(from);
  if (message.report) {
    if (message.shard >= kRateShards)
      return;
    shard_state& shard = shards_[message.shard];
    if (!HoldsLease(shard, now) || shard.owned->epoch != message.epoch)
      return;
    std::vector<fbs::rate_loanT> loans;
    for (const auto& loan : message.loans)
      loans.push_back(*loan);
    AdoptReportedLoans(shard, from.incarnation, loans);
    MarkReported(shard, from.incarnation);
    return;
  }
  shard_state& shard = shards_[RateShardOf(message.customer)];
  fbs::rate_grantT response;
  response.customer = message.customer;
  response.round = message.round;
  response.loan = message.loan;
  if (!HoldsLease(shard, now)) {
    response.not_owner = true;
    const uint64_t holder =
        shard.group.IsActiveMember(now) ? shard.witness.CurrentHolder(now) : 0;
    if (holder != 0 && holder != options_.incarnation)
      response.owner_address = AddressOf(holder);
    else if (shard.owner_address != options_.address)
      response.owner_address = shard.owner_address;
    SendTo(from.address, response);
    return;
  }
  if (!shard.owned->ready || !MayBorrow(shard, from))
    return;
  response.epoch = shard.owned->epoch;
  if (message.epoch != 0 && message.epoch != shard.owned->epoch) {
    response.closed = true;
    SendTo(from.address, response);
    return;
  }
  rate_bucket* bucket = BucketFor(shard, message.customer);
  if (bucket == nullptr)
    return;
  loan_request request;
  request.borrower = from.incarnation;
  request.loan_id = message.loan;
  request.established = message.epoch != 0;
  request.request_number = message.round;
  request.spent = static_cast<token_count>(message.spent);
  request.returned = static_cast<token_count>(message.returned);
  request.wanted = static_cast<token_count>(message.wanted);
  request.urgent = static_cast<token_count>(message.urgent);
  const loan_grant grant = bucket->OnRequest(request, now);
  if (grant.borrower == 0)
    return;
  response.granted = static_cast<uint64_t>(grant.granted);
  response.closed = grant.closed;
  response.ttl_ms = static_cast<uint32_t>(ToMilliseconds(kLoanPeriod));
  SendTo(from.address, response);
  ServeUnmetDemand(shard, message.customer);
}

void rate_service::HandleRateGrant(const peer_info& from,
                                   const fbs::rate_grantT& message) {
  const time_point now = loop_->Now();
  MarkPredecessorsGone(from);
  if (message.recall) {
    if (message.shard >= kRateShards)
      return;
    shard_state& shard = shards_[message.shard];
    if (message.epoch < shard.report_epoch)
      return;
    fbs::rate_requestT report;
    report.report = true;
    report.shard = message.shard;
    report.epoch = message.epoch;
    for (const fbs::rate_loanT& loan : MoveLoansToEpoch(shard, message.epoch))
      report.loans.push_back(std::make_unique<fbs::rate_loanT>(loan));
    shard.owner_address = from.address;
    SendTo(from.address, std::move(report));
    if (draining_)
      TickSoon();
    return;
  }
  const auto found = customers_.find(message.customer);
  if (found == customers_.end())
    return;
  customer_state& customer = found->second;
  shard_state& shard = shards_[customer.shard_index];
  if (message.want_back) {
    customer.borrower.OnReturnRequested();
    SendDueRequest(customer);
    return;
  }
  if (message.not_owner) {
    if (RequestDestination(shard) != from.address)
      return;
    if (message.owner_address.empty() || message.owner_address == from.address)
      TryNextCandidate(shard);
    else
      shard.owner_address = message.owner_address;
    shard.unanswered_since.reset();
    TickSoon();
    return;
  }
  const bool accepted = customer.borrower.OnGrant(
      message.epoch, message.loan, message.round,
      static_cast<token_count>(message.granted), message.closed, now);
  if (accepted) {
    shard.owner_address = from.address;
    shard.unanswered_since.reset();
    customer.owner_answered_at = now;
    ServeWaitingCalls(customer);
  }
  SendDueRequest(customer);
}

void rate_service::Acquire(const std::string& customer,
                           time_point deadline,
                           std::function<void(reason)> done) {
  if (config_ == nullptr || draining_) {
    unavailable_.Increment();
    done(reason::kRateUnavailable);
    return;
  }
  const auto rate = config_->rates.find(customer);
  if (rate == config_->rates.end()) {
    granted_.Increment();
    done(reason::kOk);
    return;
  }
  const time_point now = loop_->Now();
  customer_state& state = CustomerFor(customer);
  state.borrower.RecordDemand(now);
  if (state.waiting_calls.empty() && state.borrower.TrySpend(now)) {
    SendDueRequest(state);
    granted_.Increment();
    done(reason::kOk);
    return;
  }
  // More waiting calls than this cannot get a token within kMaxTokenWait.
  const double max_waiting_calls =
      rate->second.burst +
      rate->second.per_second *
          std::chrono::duration<double>(kMaxTokenWait).count();
  if (static_cast<double>(state.waiting_calls.size()) > max_waiting_calls) {
    limited_.Increment();
    done(reason::kRateLimited);
    return;
  }
  state.waiting_calls.push_back(
      {std::min(deadline, now + kMaxTokenWait), std::move(done)});
  ArmWaitTimer(state);
  SendDueRequest(state);
  ScheduleTick(kBusyTickInterval);
}

void rate_service::Drain(std::function<void()> done) {
  const time_point now = loop_->Now();
  draining_ = true;
  on_drained_ = std::move(done);
  drain_deadline_ = now + kDrainTimeout;
  for (shard_state& shard : shards_) {
    if (!HoldsLease(shard, now)) {
      if (shard.acquiring)
        AbandonAcquisition(shard);
      continue;
    }
    // Hands the level over as a loan of this node, which the next owner recalls
    // and this node then returns.
    for (auto& [name, bucket] : shard.owned->buckets) {
      customer_state& customer = CustomerFor(name);
      const borrower_request taken =
          customer.borrower.MakeBorrowAllRequest(bucket.Level(now), now);
      loan_request request;
      request.borrower = options_.incarnation;
      request.loan_id = taken.loan_id;
      request.established = taken.epoch != 0;
      request.request_number = taken.request_number;
      request.spent = taken.spent;
      request.returned = taken.returned;
      request.wanted = taken.wanted;
      request.urgent = taken.urgent;
      const loan_grant grant = bucket.OnRequest(request, now);
      if (grant.borrower != 0)
        customer.borrower.OnGrant(shard.owned->epoch, grant.loan_id,
                                  grant.request_number, grant.granted,
                                  grant.closed, now);
    }
    shard.owned.reset();
    shard.owner_address.clear();
    ReleaseLease(shard);
  }
  for (auto& [name, customer] : customers_) {
    // The tokens of shards that this node owned are returned after the recall
    // of the next owner.
    if (shards_[customer.shard_index].owner_address.empty())
      continue;
    if (const auto last = customer.borrower.MakeFinalRequest(now))
      SendBorrowRequest(customer, *last);
  }
  TickSoon();
}

bool rate_service::Owns(const std::string& customer) const {
  const shard_state& shard = shards_[RateShardOf(customer)];
  return shard.owned != nullptr && shard.owned->ready &&
         (shard.holder.Holds(loop_->Now()) || options_.fault_skip_lease);
}

void rate_service::Tick() {
  const time_point now = loop_->Now();
  if (now - confirmations_probed_at_ >= kConfirmationProbeInterval) {
    confirmations_probed_at_ = now;
    std::set<std::string> addresses;
    for (const shard_state& shard : shards_) {
      if (!shard.has_customers)
        continue;
      for (const roster_member& member : shard.group.UnconfirmedMembers())
        addresses.insert(member.peer_address);
    }
    for (const std::string& address : addresses)
      Probe(address);
  }
  for (shard_state& shard : shards_) {
    if (!shard.has_customers && shard.owned == nullptr)
      continue;
    LeaseTick(shard, now);
    OwnerTick(shard, now);
    if (shard.unanswered_since &&
        now - *shard.unanswered_since >= kOwnerResponseTimeout)
      TryNextCandidate(shard);
  }
  for (auto& [name, customer] : customers_)
    SendDueRequest(customer);
  if (draining_)
    FinishDrainIfDone();
  ScheduleTick(IsBusy(now) ? kBusyTickInterval : kIdleTickInterval);
}

void rate_service::ScheduleTick(duration delay) {
  const time_point at = loop_->Now() + delay;
  if (tick_timer_ != 0 && tick_at_ <= at)
    return;
  loop_->Cancel(tick_timer_);
  tick_at_ = at;
  tick_timer_ = loop_->RunAfter(delay, [this] {
    tick_timer_ = 0;
    Tick();
  });
}

void rate_service::TickSoon() {
  ScheduleTick(duration::zero());
}

bool rate_service::IsBusy(time_point now) const {
  if (draining_)
    return true;
  for (const auto& [name, customer] : customers_) {
    if (!customer.waiting_calls.empty())
      return true;
  }
  return std::any_of(
      shards_.begin(), shards_.end(), [now](const shard_state& shard) {
        if (shard.acquiring || shard.unanswered_since)
          return true;
        if (shard.owned == nullptr)
          return shard.lease_free_since.has_value();
        if (!shard.owned->ready)
          return true;
        return std::any_of(shard.owned->buckets.begin(),
                           shard.owned->buckets.end(),
                           [now](const auto& entry) {
                             return entry.second.HasUnmetDemand(now);
                           });
      });
}

void rate_service::LeaseTick(shard_state& shard, time_point now) {
  if (options_.fault_skip_lease) {
    if (shard.owned == nullptr && shard.group.IsMember()) {
      BecomeOwner(shard, shard.group.id() >> 1);
      StartServing(shard, false);
    }
    return;
  }
  if (HoldsLease(shard, now)) {
    const bool renewed = shard.granted_round >= shard.holder.last_round();
    if (now - shard.holder.last_round_at() >=
        (renewed ? kLeaseRenewalInterval : kRenewalRetryInterval))
      SendLeaseRound(shard);
    return;
  }
  if (shard.acquiring) {
    if (now - shard.acquisition_started_at >= kAcquisitionTimeout)
      AbandonAcquisition(shard);
    return;
  }
  if (draining_ || !shard.group.IsMember() || !shard.has_customers)
    return;
  const bool counts = shard.group.IsActiveMember(now);
  const uint64_t holder = counts ? shard.witness.CurrentHolder(now) : 0;
  if (holder != 0 && holder != options_.incarnation) {
    shard.lease_free_since.reset();
    shard.backoff = duration::zero();
    if (now - shard.witness.renewed_at() >= kLateRenewalThreshold)
      Probe(AddressOf(holder));
    return;
  }
  if (!shard.lease_free_since)
    shard.lease_free_since = now;
  // Members whose process has exited do not delay the others.
  const auto& members = shard.group.members();
  int rank = 0;
  for (const roster_member& member : members) {
    if (member.incarnation == options_.incarnation)
      break;
    const auto peer = peers_.find(member.incarnation);
    if (peer == peers_.end() || !peer->second.gone)
      ++rank;
  }
  if (now < *shard.lease_free_since + rank * kDelayPerRank ||
      now < shard.next_acquisition_at)
    return;
  shard.acquiring = true;
  shard.acquisition_started_at = now;
  shard.previous_nonmember_borrowers.clear();
  shard.witness_lacks_history = false;
  SendLeaseRound(shard);
}

void rate_service::SendLeaseRound(shard_state& shard) {
  const lease_round round = shard.holder.StartRound(
      shard.group.id(), shard.group.Majority(), roster_.version, loop_->Now());
  shard.refusals = 0;
  fbs::lease_requestT request;
  request.shard = shard.name;
  request.roster_version = roster_.version;
  request.round = round.round;
  request.epoch = round.epoch;
  request.group = shard.group.id();
  for (auto& [incarnation, borrower] : shard.nonmember_borrowers) {
    if (borrower.listed_round == 0)
      borrower.listed_round = round.round;
    auto listed = std::make_unique<fbs::lease_guestT>();
    listed->incarnation = incarnation;
    listed->address = AddressOf(incarnation);
    request.guests.push_back(std::move(listed));
  }
  for (const roster_member& member : shard.group.members())
    SendTo(member.peer_address, request);
}

void rate_service::AbandonAcquisition(shard_state& shard) {
  shard.acquiring = false;
  ReleaseLease(shard);
  shard.backoff = shard.backoff == duration::zero()
                      ? kMinBackoff
                      : std::min(2 * shard.backoff, kMaxBackoff);
  shard.next_acquisition_at = loop_->Now() + shard.backoff;
}

void rate_service::ReleaseLease(shard_state& shard) {
  fbs::lease_requestT request;
  request.shard = shard.name;
  request.roster_version = roster_.version;
  request.round = shard.holder.last_round();
  request.release = true;
  shard.holder.Reset();
  for (const roster_member& member : shard.group.members())
    SendTo(member.peer_address, request);
}

void rate_service::BecomeOwner(shard_state& shard, uint64_t epoch) {
  const time_point now = loop_->Now();
  shard.acquiring = false;
  shard.backoff = duration::zero();
  shard.lease_free_since.reset();
  shard.owner_address = options_.address;
  shard.unanswered_since.reset();
  shard.owned = std::make_unique<owned_shard>();
  owned_shard& owned = *shard.owned;
  owned.epoch = epoch;
  owned.loans_end_at = now + kLoanPeriod;
  shard.nonmember_borrowers.clear();
  for (const auto& [incarnation, address] :
       shard.previous_nonmember_borrowers) {
    const auto [known, added] = peers_.try_emplace(incarnation);
    if (added) {
      known->second.address = address;
      known->second.first_seen_at = now;
      known->second.removed_at = now;
    }
  }
  for (const auto& [id, peer] : peers_) {
    if (!peer.gone && id != options_.incarnation)
      owned.unreported[id] = peer.address;
  }
  // A previous owner with a newer roster may have lent to members that this
  // node does not know yet.
  owned.early_start_allowed =
      now - *first_roster_at_ >= kMembershipHistoryPeriod &&
      !shard.witness_lacks_history &&
      roster_.version >= shard.holder.previous_holder_roster_version();
  LogStateChange("rate", "lease_taken",
                 {{"shard", shard.name}, {"epoch", std::to_string(epoch)}});
  AdoptReportedLoans(shard, options_.incarnation,
                     MoveLoansToEpoch(shard, epoch));
  SendRecalls(shard);
  MarkReported(shard, options_.incarnation);
}

void rate_service::OnLeaseExpired(shard_state& shard) {
  LogStateChange("rate", "lease_lost", {{"shard", shard.name}});
  leases_lost_.Increment();
  shard.owned.reset();
  shard.holder.Reset();
  if (shard.owner_address == options_.address)
    shard.owner_address.clear();
}

bool rate_service::HoldsLease(shard_state& shard, time_point now) {
  if (options_.fault_skip_lease)
    return shard.owned != nullptr;
  if (shard.holder.Expired(now))
    OnLeaseExpired(shard);
  return shard.owned != nullptr && shard.holder.Holds(now);
}

void rate_service::OwnerTick(shard_state& shard, time_point now) {
  if (!HoldsLease(shard, now))
    return;
  if (!shard.owned->ready) {
    if (now >= shard.owned->loans_end_at)
      StartServing(shard, false);
    else if (now - shard.owned->recall_sent_at >= kRecallRetryInterval)
      SendRecalls(shard);
    return;
  }
  for (auto& [name, bucket] : shard.owned->buckets) {
    if (bucket.HasUnmetDemand(now))
      ServeUnmetDemand(shard, name);
  }
}

void rate_service::SendRecalls(shard_state& shard) {
  shard.owned->recall_sent_at = loop_->Now();
  fbs::rate_grantT recall;
  recall.recall = true;
  recall.shard = shard.index;
  recall.epoch = shard.owned->epoch;
  for (const auto& [id, address] : shard.owned->unreported)
    SendTo(address, recall);
}

void rate_service::MarkReported(shard_state& shard, uint64_t incarnation) {
  owned_shard& owned = *shard.owned;
  owned.unreported.erase(incarnation);
  if (!owned.ready && owned.unreported.empty() && owned.early_start_allowed)
    StartServing(shard, true);
}

void rate_service::StartServing(shard_state& shard, bool early) {
  owned_shard& owned = *shard.owned;
  owned.ready = true;
  (early ? early_starts_ : waited_starts_).Increment();
  // Creates the remaining buckets now, so that customers without reported loans
  // get their refill from now on too.
  if (config_ != nullptr) {
    for (const auto& [name, rate] : config_->rates) {
      if (RateShardOf(name) == shard.index)
        BucketFor(shard, name);
    }
  }
  LogStateChange("rate", "shard_owned",
                 {{"shard", shard.name},
                  {"start", early ? "early" : "waited"},
                  {"unreported", std::to_string(owned.unreported.size())},
                  {"early_allowed", owned.early_start_allowed ? "yes" : "no"}});
}

void rate_service::AdoptReportedLoans(
    shard_state& shard,
    uint64_t borrower,
    const std::vector<fbs::rate_loanT>& loans) {
  for (const fbs::rate_loanT& loan : loans) {
    if (rate_bucket* bucket = BucketFor(shard, loan.customer))
      bucket->AdoptLoan(borrower, loan.loan,
                        static_cast<token_count>(loan.held), loop_->Now());
  }
}

bool rate_service::MayBorrow(shard_state& shard, const peer_info& borrower) {
  if (options_.fault_skip_lease)
    return true;
  const time_point now = loop_->Now();
  const auto [known, added] = peers_.try_emplace(borrower.incarnation);
  if (added) {
    known->second.address = borrower.address;
    known->second.first_seen_at = now;
    known->second.removed_at = now;
  }
  if (known->second.gone)
    return false;
  if (!known->second.removed_at &&
      known->second.first_roster_version <=
          shard.holder.committed_roster_version()) {
    shard.nonmember_borrowers.erase(borrower.incarnation);
    return true;
  }
  for (auto item = shard.nonmember_borrowers.begin();
       item != shard.nonmember_borrowers.end();) {
    const bool idle =
        now - item->second.last_request_at >= kMembershipHistoryPeriod;
    item = idle ? shard.nonmember_borrowers.erase(item) : std::next(item);
  }
  const auto found = shard.nonmember_borrowers.find(borrower.incarnation);
  if (found == shard.nonmember_borrowers.end()) {
    if (shard.nonmember_borrowers.size() < kMaxNonmemberBorrowers) {
      shard.nonmember_borrowers[borrower.incarnation].last_request_at = now;
      SendLeaseRound(shard);
    }
    return false;
  }
  found->second.last_request_at = now;
  return found->second.listed_round != 0 &&
         found->second.listed_round <= shard.granted_round;
}

void rate_service::ServeUnmetDemand(shard_state& shard,
                                    const std::string& customer) {
  const time_point now = loop_->Now();
  rate_bucket* bucket = BucketFor(shard, customer);
  if (bucket == nullptr)
    return;
  fbs::rate_grantT message;
  message.customer = customer;
  message.epoch = shard.owned->epoch;
  for (const loan_grant& grant : bucket->TakeDeferredGrants(now)) {
    message.round = grant.request_number;
    message.loan = grant.loan_id;
    message.granted = static_cast<uint64_t>(grant.granted);
    SendTo(AddressOf(grant.borrower), message);
  }
  fbs::rate_grantT return_request;
  return_request.customer = customer;
  return_request.epoch = shard.owned->epoch;
  return_request.want_back = true;
  for (const uint64_t borrower : bucket->TakeReturnRequests(now))
    SendTo(AddressOf(borrower), return_request);
}

rate_bucket* rate_service::BucketFor(shard_state& shard,
                                     const std::string& customer) {
  const auto found = shard.owned->buckets.find(customer);
  if (found != shard.owned->buckets.end())
    return &found->second;
  if (config_ == nullptr)
    return nullptr;
  const auto rate = config_->rates.find(customer);
  if (rate == config_->rates.end())
    return nullptr;
  return &shard.owned->buckets
              .emplace(customer, rate_bucket(rate->second.per_second,
                                             rate->second.burst, loop_->Now()))
              .first->second;
}

rate_service::customer_state& rate_service::CustomerFor(
    const std::string& name) {
  const auto [found, added] = customers_.try_emplace(name);
  if (added) {
    found->second.name = name;
    found->second.shard_index = RateShardOf(name);
    const uint64_t epoch = shards_[found->second.shard_index].report_epoch;
    if (epoch != 0)
      found->second.borrower.MoveToEpoch(epoch, loop_->Now());
  }
  return found->second;
}

void rate_service::SendDueRequest(customer_state& customer) {
  const time_point now = loop_->Now();
  shard_state& shard = shards_[customer.shard_index];
  if (draining_) {
    if (!shard.owner_address.empty() &&
        shard.owner_address != options_.address) {
      if (const auto last = customer.borrower.MakeFinalRequest(now))
        SendBorrowRequest(customer, *last);
    }
    return;
  }
  if (RequestDestination(shard).empty())
    return;
  if (const auto request =
          customer.borrower.NextRequest(customer.waiting_calls.size(), now))
    SendBorrowRequest(customer, *request);
}

void rate_service::SendBorrowRequest(customer_state& customer,
                                     const borrower_request& request) {
  shard_state& shard = shards_[customer.shard_index];
  fbs::rate_requestT message;
  message.customer = customer.name;
  message.epoch = request.epoch;
  message.round = request.request_number;
  message.spent = static_cast<uint64_t>(request.spent);
  message.returned = static_cast<uint64_t>(request.returned);
  message.held = static_cast<uint64_t>(request.held);
  message.wanted = static_cast<uint64_t>(request.wanted);
  message.urgent = static_cast<uint64_t>(request.urgent);
  message.loan = request.loan_id;
  if (!shard.unanswered_since)
    shard.unanswered_since = loop_->Now();
  SendTo(RequestDestination(shard), std::move(message));
}

void rate_service::ServeWaitingCalls(customer_state& customer) {
  const time_point now = loop_->Now();
  ExpireWaitingCalls(customer);
  while (!customer.waiting_calls.empty() && customer.borrower.TrySpend(now)) {
    const auto done = std::move(customer.waiting_calls.front().done);
    customer.waiting_calls.pop_front();
    granted_.Increment();
    done(reason::kOk);
  }
}

void rate_service::ExpireWaitingCalls(customer_state& customer) {
  const time_point now = loop_->Now();
  std::vector<std::function<void(reason)>> refused;
  for (auto item = customer.waiting_calls.begin();
       item != customer.waiting_calls.end();) {
    if (now < item->deadline) {
      ++item;
      continue;
    }
    refused.push_back(std::move(item->done));
    item = customer.waiting_calls.erase(item);
  }
  const bool reachable =
      now - customer.owner_answered_at < kOwnerReachablePeriod;
  for (const auto& done : refused) {
    (reachable ? limited_ : unavailable_).Increment();
    done(reachable ? reason::kRateLimited : reason::kRateUnavailable);
  }
}

void rate_service::ArmWaitTimer(customer_state& customer) {
  if (customer.wait_timer != 0 || customer.waiting_calls.empty())
    return;
  time_point first = time_point::max();
  for (const waiting_call& item : customer.waiting_calls)
    first = std::min(first, item.deadline);
  customer.wait_timer =
      loop_->RunAfter(first - loop_->Now(), [this, &customer] {
        customer.wait_timer = 0;
        ExpireWaitingCalls(customer);
        ArmWaitTimer(customer);
      });
}

const std::vector<fbs::rate_loanT>& rate_service::MoveLoansToEpoch(
    shard_state& shard,
    uint64_t epoch) {
  if (epoch <= shard.report_epoch)
    return shard.reported_loans;
  shard.report_epoch = epoch;
  shard.reported_loans.clear();
  for (auto& [name, customer] : customers_) {
    if (customer.shard_index != shard.index)
      continue;
    const auto moved = customer.borrower.MoveToEpoch(epoch, loop_->Now());
    if (moved.held <= 0)
      continue;
    fbs::rate_loanT loan;
    loan.customer = name;
    loan.loan = moved.loan_id;
    loan.held = static_cast<uint64_t>(moved.held);
    shard.reported_loans.push_back(std::move(loan));
  }
  return shard.reported_loans;
}

std::string rate_service::RequestDestination(const shard_state& shard) const {
  if (!shard.owner_address.empty())
    return shard.owner_address;
  const auto& members = shard.group.members();
  if (members.empty())
    return {};
  return members[shard.candidate_index % members.size()].peer_address;
}

void rate_service::TryNextCandidate(shard_state& shard) {
  shard.unanswered_since.reset();
  if (shard.owned != nullptr)
    return;
  if (shard.owner_address.empty())
    ++shard.candidate_index;
  else
    shard.owner_address.clear();
}

void rate_service::FinishDrainIfDone() {
  const time_point now = loop_->Now();
  const bool all_returned = std::all_of(
      customers_.begin(), customers_.end(), [now](const auto& entry) {
        return entry.second.borrower.ReturnConfirmed(now);
      });
  if ((!all_returned && now < drain_deadline_) || on_drained_ == nullptr)
    return;
  const auto done = std::exchange(on_drained_, nullptr);
  done();
}

template <typename table>
void rate_service::SendTo(const std::string& address, table message) {
  if (address.empty())
    return;
  if (address != options_.address) {
    transport_->Send(address, MakeEnvelope(std::move(message)));
    return;
  }
  // Delivers a message to this node in the next round of the loop, as a link
  // would.
  auto shared = std::make_shared<table>(std::move(message));
  loop_->RunAfter(duration::zero(), [this, alive = alive_, shared] {
    if (!*alive)
      return;
    peer_info self;
    self.address = options_.address;
    self.incarnation = options_.incarnation;
    if constexpr (std::is_same_v<table, fbs::lease_requestT>)
      HandleLeaseRequest(self, *shared);
    else if constexpr (std::is_same_v<table, fbs::lease_grantT>)
      HandleLeaseGrant(self, *shared);
    else if constexpr (std::is_same_v<table, fbs::rate_requestT>)
      HandleRateRequest(self, *shared);
    else
      HandleRateGrant(self, *shared);
  });
}

void rate_service::Probe(const std::string& address) {
  const time_point now = loop_->Now();
  if (address.empty() || address == options_.address)
    return;
  time_point& last = probed_at_[address];
  if (now - last < kMinProbeInterval)
    return;
  last = now;
  fbs::lease_requestT probe;
  probe.roster_version = roster_.version;
  SendTo(address, probe);
}

rate_service::shard_state* rate_service::FindShard(const std::string& name) {
  const auto found = std::find_if(
      shards_.begin(), shards_.end(),
      [&](const shard_state& shard) { return shard.name == name; });
  return found == shards_.end() ? nullptr : &*found;
}

std::string rate_service::AddressOf(uint64_t incarnation) const {
  const auto found = peers_.find(incarnation);
  return found == peers_.end() ? std::string() : found->second.address;
}

}  // namespace skylarkhoist
