#include "node/rate_service.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Longest wait of a call for a token.
constexpr duration kCallWait = milliseconds(50);
constexpr duration kBusyTick = milliseconds(10);
constexpr duration kIdleTick = milliseconds(50);

// Two rounds between zones take a few milliseconds.
constexpr duration kAttemptLimit = milliseconds(100);
// Members try in the order of the group, this far apart.
constexpr duration kRankDelay = milliseconds(100);
constexpr duration kFirstBackoff = milliseconds(20);
constexpr duration kLongestBackoff = milliseconds(300);
// A renewal without a majority is repeated after this time.
constexpr duration kRenewalRetry = milliseconds(100);
// A holder is probed when its renewal is this late.
constexpr duration kLateRenewal = kLeaseRenewal + milliseconds(100);
constexpr duration kProbeInterval = milliseconds(50);
constexpr duration kConfirmInterval = milliseconds(250);

constexpr duration kRecallRetry = milliseconds(50);
// An owner that does not answer within this time is taken for unreachable.
constexpr duration kAnswerLimit = milliseconds(30);
constexpr duration kReachablePeriod = seconds(1);

// A refused connection was tried at most this long ago (the limit for silent
// links is 1 s); an incarnation that is known for less may be newer than it.
constexpr duration kRefusalAge = seconds(2);
// Members that left are asked for loans for this long, since a former owner
// may not have known of their removal.
constexpr duration kRemovedMemory = std::chrono::minutes(5);
// A process that started less than this ago does not know the members that
// left before, so it waits until all loans have ended.
constexpr duration kHistoryPeriod = seconds(10);

// Bounds the size of lease requests. While a large part of the fleet cannot
// join, the others wait.
constexpr size_t kMaxGuests = 32;

constexpr duration kDrainLimit = milliseconds(500);

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
  ScheduleTick(kIdleTick);
}

rate_service::~rate_service() {
  *alive_ = false;
  loop_->Cancel(tick_);
  for (auto& [name, customer] : customers_)
    loop_->Cancel(customer.timer);
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
    const auto ledger = shard.owned->ledgers.find(name);
    if (ledger != shard.owned->ledgers.end())
      ledger->second.SetRate(rate.per_second, rate.burst, now);
  }
  TickSoon();
}

void rate_service::SetRoster(const roster_view& roster) {
  const time_point now = loop_->Now();
  if (started_at_ && roster.version <= roster_.version)
    return;
  if (!started_at_)
    started_at_ = now;
  roster_ = roster;
  std::set<uint64_t> present;
  for (const roster_member& member : roster.members) {
    present.insert(member.incarnation);
    const auto [known, added] = peers_.try_emplace(member.incarnation);
    if (added) {
      known->second.address = member.peer_address;
      known->second.seen_at = now;
    }
    known->second.removed_at.reset();
    known->second.seen_version =
        std::min(known->second.seen_version, roster.version);
  }
  // This process has the address now, so its predecessors there are gone.
  const auto own = peers_.find(options_.incarnation);
  const uint64_t joined =
      own == peers_.end() ? UINT64_MAX : own->second.seen_version;
  std::vector<uint64_t> predecessors;
  for (const auto& [id, peer] : peers_) {
    if (peer.address == options_.address && peer.seen_version < joined)
      predecessors.push_back(id);
  }
  for (auto peer = peers_.begin(); peer != peers_.end();) {
    known_peer& known = peer->second;
    if (present.count(peer->first) == 0 && !known.removed_at)
      known.removed_at = now;
    const bool forgotten =
        known.removed_at && now - *known.removed_at >= kRemovedMemory;
    peer = forgotten ? peers_.erase(peer) : std::next(peer);
  }
  for (shard_state& shard : shards_) {
    shard.group.SetRoster(roster, now);
    if (options_.fault_skip_lease)
      shard.candidate = options_.incarnation;
    // Borrowers that joined get tokens once the witnesses know this version.
    if (shard.owned != nullptr && HoldsLease(shard, now))
      SendLeaseRound(shard);
  }
  for (const uint64_t id : predecessors)
    MarkGone(id);
  TickSoon();
}

void rate_service::OnPeerVersion(uint64_t incarnation, uint64_t version) {
  const time_point now = loop_->Now();
  for (shard_state& shard : shards_)
    shard.group.OnPeerVersion(incarnation, version, now);
}

void rate_service::OnPeerGone(const std::string& address,
                              uint64_t incarnation) {
  const time_point now = loop_->Now();
  for (auto& [id, peer] : peers_) {
    const bool meant = incarnation != 0 ? id == incarnation
                                        : peer.address == address &&
                                              now - peer.seen_at >= kRefusalAge;
    if (meant)
      MarkGone(id);
  }
  for (shard_state& shard : shards_) {
    if (OwnerAddress(shard) == address)
      NextCandidate(shard);
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
    shard.witness.OnGone(incarnation);
    if (shard.owned == nullptr)
      continue;
    for (auto& [name, ledger] : shard.owned->ledgers)
      ledger.OnBorrowerGone(incarnation);
    MarkReported(shard, incarnation);
  }
}

void rate_service::NoteAlive(const peer_info& peer) {
  uint64_t& last = alive_at_[peer.address];
  if (last == peer.incarnation)
    return;
  last = peer.incarnation;
  const time_point now = loop_->Now();
  const auto speaker = peers_.find(peer.incarnation);
  // Messages of a process may arrive late, after its successor has joined.
  if (speaker != peers_.end() && speaker->second.gone)
    return;
  const uint64_t version =
      speaker == peers_.end() ? UINT64_MAX : speaker->second.seen_version;
  std::vector<uint64_t> older;
  for (const auto& [id, known] : peers_) {
    if (known.address == peer.address && id != peer.incarnation &&
        known.seen_version < version && now - known.seen_at >= kRefusalAge)
      older.push_back(id);
  }
  for (const uint64_t id : older)
    MarkGone(id);
}

void rate_service::OnLinkLost(const std::string& address) {
  Probe(address);
}

void rate_service::HandleLeaseRequest(const peer_info& from,
                                      const fbs::lease_requestT& message) {
  const time_point now = loop_->Now();
  NoteAlive(from);
  OnPeerVersion(from.incarnation, message.roster_version);
  fbs::lease_grantT answer;
  answer.shard = message.shard;
  answer.roster_version = roster_.version;
  answer.round = message.round;
  shard_state* shard = ShardNamed(message.shard);
  if (shard == nullptr) {
    // A question for the roster version only.
    SendTo(from.address, answer);
    return;
  }
  if (message.release) {
    shard->witness.OnRelease(from.incarnation, message.round);
    TickSoon();
    return;
  }
  if (shard->group.Counts(now) && message.group == shard->group.id()) {
    answer.holder_version = shard->witness.roster_version();
    const lease_answer decided =
        shard->witness.OnRequest(from.incarnation, message.round, message.epoch,
                                 message.roster_version, now);
    answer.granted = decided.granted;
    answer.epoch = decided.epoch;
    answer.holder = decided.holder;
    answer.wait_ms = static_cast<uint32_t>(ToMilliseconds(decided.wait));
    answer.young = !shard->group.Counts(now - kLoanPeriod);
    for (const auto& [incarnation, address] : shard->witness.Guests(now)) {
      auto known = std::make_unique<fbs::lease_guestT>();
      known->incarnation = incarnation;
      known->address = address;
      answer.guests.push_back(std::move(known));
    }
    if (decided.granted) {
      shard->free_since.reset();
      std::map<uint64_t, std::string> guests;
      for (const auto& listed : message.guests)
        guests[listed->incarnation] = listed->address;
      shard->witness.OnGuests(guests, now);
    } else if (decided.holder != 0 &&
               now - shard->witness.renewed_at() >= kLateRenewal) {
      Probe(AddressOf(decided.holder));
    }
  }
  SendTo(from.address, std::move(answer));
}

void rate_service::HandleLeaseGrant(const peer_info& from,
                                    const fbs::lease_grantT& message) {
  NoteAlive(from);
  OnPeerVersion(from.incarnation, message.roster_version);
  shard_state* shard = ShardNamed(message.shard);
  if (shard == nullptr)
    return;
  const time_point now = loop_->Now();
  if (!message.granted) {
    if (message.holder != 0 && message.holder != options_.incarnation)
      shard->owner_address = AddressOf(message.holder);
    const auto& members = shard->group.members();
    if (shard->attempting && message.round == shard->holder.last_round() &&
        ++shard->refusals > members.size() - shard->group.Majority())
      FailAttempt(*shard);
    return;
  }
  if (shard->owned == nullptr) {
    for (const auto& former : message.guests)
      shard->former_guests[former->incarnation] = former->address;
    shard->young_witness = shard->young_witness || message.young;
  }
  if (!shard->holder.OnGrant(from.incarnation, message.round, true,
                             message.epoch, message.holder_version, now))
    return;
  shard->granted_round = message.round;
  if (!shard->holder.Holds(now)) {
    if (shard->attempting)
      SendLeaseRound(*shard);
  } else if (shard->owned == nullptr) {
    BecomeOwner(*shard, shard->holder.epoch());
  }
}

void rate_service::HandleRateRequest(const peer_info& from,
                                     const fbs::rate_requestT& message) {
  const time_point now = loop_->Now();
  NoteAlive(from);
  if (message.report) {
    if (message.shard >= kRateShards)
      return;
    shard_state& shard = shards_[message.shard];
    if (!HoldsLease(shard, now) || shard.owned->epoch != message.epoch)
      return;
    std::vector<fbs::rate_loanT> loans;
    for (const auto& loan : message.loans)
      loans.push_back(*loan);
    AdoptReport(shard, from.incarnation, loans);
    MarkReported(shard, from.incarnation);
    return;
  }
  shard_state& shard = shards_[RateShardOf(message.customer)];
  fbs::rate_grantT answer;
  answer.customer = message.customer;
  answer.round = message.round;
  answer.loan = message.loan;
  if (!HoldsLease(shard, now)) {
    answer.not_owner = true;
    const uint64_t holder =
        shard.group.Counts(now) ? shard.witness.HolderAt(now) : 0;
    if (holder != 0 && holder != options_.incarnation)
      answer.owner_address = AddressOf(holder);
    else if (shard.owner_address != options_.address)
      answer.owner_address = shard.owner_address;
    SendTo(from.address, answer);
    return;
  }
  if (!shard.owned->ready || !MayBorrow(shard, from))
    return;
  answer.epoch = shard.owned->epoch;
  if (message.epoch != 0 && message.epoch != shard.owned->epoch) {
    answer.closed = true;
    SendTo(from.address, answer);
    return;
  }
  rate_ledger* ledger = LedgerOf(shard, message.customer);
  if (ledger == nullptr)
    return;
  loan_request request;
  request.borrower = from.incarnation;
  request.loan = message.loan;
  request.known = message.epoch != 0;
  request.round = message.round;
  request.spent = static_cast<token_count>(message.spent);
  request.returned = static_cast<token_count>(message.returned);
  request.wanted = static_cast<token_count>(message.wanted);
  request.urgent = static_cast<token_count>(message.urgent);
  const loan_grant grant = ledger->OnRequest(request, now);
  if (grant.borrower == 0)
    return;
  answer.granted = static_cast<uint64_t>(grant.granted);
  answer.closed = grant.closed;
  answer.ttl_ms = static_cast<uint32_t>(ToMilliseconds(kLoanPeriod));
  SendTo(from.address, answer);
  ServeShortage(shard, message.customer);
}

void rate_service::HandleRateGrant(const peer_info& from,
                                   const fbs::rate_grantT& message) {
  const time_point now = loop_->Now();
  NoteAlive(from);
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
    for (const fbs::rate_loanT& loan : MoveLoans(shard, message.epoch))
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
  shard_state& shard = shards_[customer.shard];
  if (message.want_back) {
    customer.borrower.OnWantBack();
    BorrowTick(customer);
    return;
  }
  if (message.not_owner) {
    if (OwnerAddress(shard) != from.address)
      return;
    if (message.owner_address.empty() || message.owner_address == from.address)
      NextCandidate(shard);
    else
      shard.owner_address = message.owner_address;
    shard.asked_at.reset();
    TickSoon();
    return;
  }
  const bool accepted = customer.borrower.OnGrant(
      message.epoch, message.loan, message.round,
      static_cast<token_count>(message.granted), message.closed, now);
  if (accepted) {
    shard.owner_address = from.address;
    shard.asked_at.reset();
    customer.answered_at = now;
    ServeWaiting(customer);
  }
  BorrowTick(customer);
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
  customer_state& state = CustomerOf(customer);
  state.borrower.OnDemand(now);
  if (state.waiting.empty() && state.borrower.TrySpend(now)) {
    BorrowTick(state);
    granted_.Increment();
    done(reason::kOk);
    return;
  }
  // More calls than this cannot get a token within their wait.
  const double most =
      rate->second.burst + rate->second.per_second *
                               std::chrono::duration<double>(kCallWait).count();
  if (static_cast<double>(state.waiting.size()) > most) {
    limited_.Increment();
    done(reason::kRateLimited);
    return;
  }
  state.waiting.push_back(
      {std::min(deadline, now + kCallWait), std::move(done)});
  ArmTimer(state);
  BorrowTick(state);
  ScheduleTick(kBusyTick);
}

void rate_service::Drain(std::function<void()> done) {
  const time_point now = loop_->Now();
  draining_ = true;
  drained_ = std::move(done);
  drain_until_ = now + kDrainLimit;
  for (shard_state& shard : shards_) {
    if (!HoldsLease(shard, now)) {
      if (shard.attempting)
        FailAttempt(shard);
      continue;
    }
    // The level travels as a loan of this node, which the next owner recalls
    // and gets back.
    for (auto& [name, ledger] : shard.owned->ledgers) {
      customer_state& customer = CustomerOf(name);
      const borrower_request taken =
          customer.borrower.TakeAllRequest(ledger.Level(now), now);
      loan_request request;
      request.borrower = options_.incarnation;
      request.loan = taken.loan;
      request.known = taken.epoch != 0;
      request.round = taken.round;
      request.spent = taken.spent;
      request.returned = taken.returned;
      request.wanted = taken.wanted;
      request.urgent = taken.urgent;
      const loan_grant grant = ledger.OnRequest(request, now);
      if (grant.borrower != 0)
        customer.borrower.OnGrant(shard.owned->epoch, grant.loan, grant.round,
                                  grant.granted, grant.closed, now);
    }
    shard.owned.reset();
    shard.owner_address.clear();
    ReleaseLease(shard);
  }
  for (auto& [name, customer] : customers_) {
    // A customer whose shard this node owned waits for the recall.
    if (shards_[customer.shard].owner_address.empty())
      continue;
    if (const auto last = customer.borrower.TakeFinalRequest(now))
      SendBorrow(customer, *last);
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
  if (now - confirm_probed_at_ >= kConfirmInterval) {
    confirm_probed_at_ = now;
    std::set<std::string> addresses;
    for (const shard_state& shard : shards_) {
      if (!shard.has_customers)
        continue;
      for (const roster_member& member : shard.group.Unconfirmed())
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
    if (shard.asked_at && now - *shard.asked_at >= kAnswerLimit)
      NextCandidate(shard);
  }
  for (auto& [name, customer] : customers_)
    BorrowTick(customer);
  if (draining_)
    CheckDrained();
  ScheduleTick(Busy(now) ? kBusyTick : kIdleTick);
}

void rate_service::ScheduleTick(duration delay) {
  const time_point at = loop_->Now() + delay;
  if (tick_ != 0 && tick_at_ <= at)
    return;
  loop_->Cancel(tick_);
  tick_at_ = at;
  tick_ = loop_->RunAfter(delay, [this] {
    tick_ = 0;
    Tick();
  });
}

void rate_service::TickSoon() {
  ScheduleTick(duration::zero());
}

bool rate_service::Busy(time_point now) const {
  if (draining_)
    return true;
  for (const auto& [name, customer] : customers_) {
    if (!customer.waiting.empty())
      return true;
  }
  return std::any_of(
      shards_.begin(), shards_.end(), [now](const shard_state& shard) {
        if (shard.attempting || shard.asked_at)
          return true;
        if (shard.owned == nullptr)
          return shard.free_since.has_value();
        if (!shard.owned->ready)
          return true;
        return std::any_of(
            shard.owned->ledgers.begin(), shard.owned->ledgers.end(),
            [now](const auto& entry) { return entry.second.HasUnmet(now); });
      });
}

void rate_service::LeaseTick(shard_state& shard, time_point now) {
  if (options_.fault_skip_lease) {
    if (shard.owned == nullptr && shard.group.IsMember()) {
      BecomeOwner(shard, shard.group.id() >> 1);
      StartMinting(shard, false);
    }
    return;
  }
  if (HoldsLease(shard, now)) {
    const bool answered = shard.granted_round >= shard.holder.last_round();
    if (now - shard.holder.sent_at() >=
        (answered ? kLeaseRenewal : kRenewalRetry))
      SendLeaseRound(shard);
    return;
  }
  if (shard.attempting) {
    if (now - shard.attempt_at >= kAttemptLimit)
      FailAttempt(shard);
    return;
  }
  if (draining_ || !shard.group.IsMember() || !shard.has_customers)
    return;
  const bool counts = shard.group.Counts(now);
  const uint64_t holder = counts ? shard.witness.HolderAt(now) : 0;
  if (holder != 0 && holder != options_.incarnation) {
    shard.free_since.reset();
    shard.backoff = duration::zero();
    if (now - shard.witness.renewed_at() >= kLateRenewal)
      Probe(AddressOf(holder));
    return;
  }
  if (!shard.free_since)
    shard.free_since = now;
  // Members that are gone do not delay the others.
  const auto& members = shard.group.members();
  int rank = 0;
  for (const roster_member& member : members) {
    if (member.incarnation == options_.incarnation)
      break;
    const auto peer = peers_.find(member.incarnation);
    if (peer == peers_.end() || !peer->second.gone)
      ++rank;
  }
  if (now < *shard.free_since + rank * kRankDelay || now < shard.next_attempt)
    return;
  shard.attempting = true;
  shard.attempt_at = now;
  shard.former_guests.clear();
  shard.young_witness = false;
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
  for (auto& [incarnation, guest] : shard.guests) {
    if (guest.round == 0)
      guest.round = round.round;
    auto listed = std::make_unique<fbs::lease_guestT>();
    listed->incarnation = incarnation;
    listed->address = AddressOf(incarnation);
    request.guests.push_back(std::move(listed));
  }
  for (const roster_member& member : shard.group.members())
    SendTo(member.peer_address, request);
}

void rate_service::FailAttempt(shard_state& shard) {
  shard.attempting = false;
  ReleaseLease(shard);
  shard.backoff = shard.backoff == duration::zero()
                      ? kFirstBackoff
                      : std::min(2 * shard.backoff, kLongestBackoff);
  shard.next_attempt = loop_->Now() + shard.backoff;
}

void rate_service::ReleaseLease(shard_state& shard) {
  fbs::lease_requestT request;
  request.shard = shard.name;
  request.roster_version = roster_.version;
  request.round = shard.holder.last_round();
  request.release = true;
  shard.holder.Drop();
  for (const roster_member& member : shard.group.members())
    SendTo(member.peer_address, request);
}

void rate_service::BecomeOwner(shard_state& shard, uint64_t epoch) {
  const time_point now = loop_->Now();
  shard.attempting = false;
  shard.backoff = duration::zero();
  shard.free_since.reset();
  shard.owner_address = options_.address;
  shard.asked_at.reset();
  shard.owned = std::make_unique<owned_shard>();
  owned_shard& owned = *shard.owned;
  owned.epoch = epoch;
  owned.ready_at = now + kLoanPeriod;
  shard.guests.clear();
  for (const auto& [incarnation, address] : shard.former_guests) {
    const auto [known, added] = peers_.try_emplace(incarnation);
    if (added) {
      known->second.address = address;
      known->second.seen_at = now;
      known->second.removed_at = now;
    }
  }
  for (const auto& [id, peer] : peers_) {
    if (!peer.gone && id != options_.incarnation)
      owned.pending[id] = peer.address;
  }
  // A former owner with a newer roster may have lent to members that this node
  // does not know yet.
  owned.early_start = now - *started_at_ >= kHistoryPeriod &&
                      !shard.young_witness &&
                      roster_.version >= shard.holder.former_version();
  LogStateChange("rate", "lease_taken",
                 {{"shard", shard.name}, {"epoch", std::to_string(epoch)}});
  AdoptReport(shard, options_.incarnation, MoveLoans(shard, epoch));
  SendRecalls(shard);
  MarkReported(shard, options_.incarnation);
}

void rate_service::LoseLease(shard_state& shard) {
  LogStateChange("rate", "lease_lost", {{"shard", shard.name}});
  leases_lost_.Increment();
  shard.owned.reset();
  shard.holder.Drop();
  if (shard.owner_address == options_.address)
    shard.owner_address.clear();
}

bool rate_service::HoldsLease(shard_state& shard, time_point now) {
  if (options_.fault_skip_lease)
    return shard.owned != nullptr;
  if (shard.holder.Lapsed(now))
    LoseLease(shard);
  return shard.owned != nullptr && shard.holder.Holds(now);
}

void rate_service::OwnerTick(shard_state& shard, time_point now) {
  if (!HoldsLease(shard, now))
    return;
  if (!shard.owned->ready) {
    if (now >= shard.owned->ready_at)
      StartMinting(shard, false);
    else if (now - shard.owned->recalled_at >= kRecallRetry)
      SendRecalls(shard);
    return;
  }
  for (auto& [name, ledger] : shard.owned->ledgers) {
    if (ledger.HasUnmet(now))
      ServeShortage(shard, name);
  }
}

void rate_service::SendRecalls(shard_state& shard) {
  shard.owned->recalled_at = loop_->Now();
  fbs::rate_grantT recall;
  recall.recall = true;
  recall.shard = shard.index;
  recall.epoch = shard.owned->epoch;
  for (const auto& [id, address] : shard.owned->pending)
    SendTo(address, recall);
}

void rate_service::MarkReported(shard_state& shard, uint64_t incarnation) {
  owned_shard& owned = *shard.owned;
  owned.pending.erase(incarnation);
  if (!owned.ready && owned.pending.empty() && owned.early_start)
    StartMinting(shard, true);
}

void rate_service::StartMinting(shard_state& shard, bool early) {
  owned_shard& owned = *shard.owned;
  owned.ready = true;
  (early ? early_starts_ : waited_starts_).Increment();
  // Minting starts now for customers without reported loans too.
  if (config_ != nullptr) {
    for (const auto& [name, rate] : config_->rates) {
      if (RateShardOf(name) == shard.index)
        LedgerOf(shard, name);
    }
  }
  LogStateChange("rate", "shard_owned",
                 {{"shard", shard.name},
                  {"start", early ? "early" : "waited"},
                  {"unreported", std::to_string(owned.pending.size())},
                  {"early_allowed", owned.early_start ? "yes" : "no"}});
}

void rate_service::AdoptReport(shard_state& shard,
                               uint64_t borrower,
                               const std::vector<fbs::rate_loanT>& loans) {
  for (const fbs::rate_loanT& loan : loans) {
    if (rate_ledger* ledger = LedgerOf(shard, loan.customer))
      ledger->Adopt(borrower, loan.loan, static_cast<token_count>(loan.held),
                    loop_->Now());
  }
}

bool rate_service::MayBorrow(shard_state& shard, const peer_info& borrower) {
  if (options_.fault_skip_lease)
    return true;
  const time_point now = loop_->Now();
  const auto [known, added] = peers_.try_emplace(borrower.incarnation);
  if (added) {
    known->second.address = borrower.address;
    known->second.seen_at = now;
    known->second.removed_at = now;
  }
  if (known->second.gone)
    return false;
  if (!known->second.removed_at &&
      known->second.seen_version <= shard.holder.recorded_version()) {
    shard.guests.erase(borrower.incarnation);
    return true;
  }
  for (auto item = shard.guests.begin(); item != shard.guests.end();) {
    const bool idle = now - item->second.asked_at >= kHistoryPeriod;
    item = idle ? shard.guests.erase(item) : std::next(item);
  }
  const auto found = shard.guests.find(borrower.incarnation);
  if (found == shard.guests.end()) {
    if (shard.guests.size() < kMaxGuests) {
      shard.guests[borrower.incarnation].asked_at = now;
      SendLeaseRound(shard);
    }
    return false;
  }
  found->second.asked_at = now;
  return found->second.round != 0 && found->second.round <= shard.granted_round;
}

void rate_service::ServeShortage(shard_state& shard,
                                 const std::string& customer) {
  const time_point now = loop_->Now();
  rate_ledger* ledger = LedgerOf(shard, customer);
  if (ledger == nullptr)
    return;
  fbs::rate_grantT message;
  message.customer = customer;
  message.epoch = shard.owned->epoch;
  for (const loan_grant& grant : ledger->TakeLateGrants(now)) {
    message.round = grant.round;
    message.loan = grant.loan;
    message.granted = static_cast<uint64_t>(grant.granted);
    SendTo(AddressOf(grant.borrower), message);
  }
  fbs::rate_grantT recall;
  recall.customer = customer;
  recall.epoch = shard.owned->epoch;
  recall.want_back = true;
  for (const uint64_t borrower : ledger->TakeRecalls(now))
    SendTo(AddressOf(borrower), recall);
}

rate_ledger* rate_service::LedgerOf(shard_state& shard,
                                    const std::string& customer) {
  const auto found = shard.owned->ledgers.find(customer);
  if (found != shard.owned->ledgers.end())
    return &found->second;
  if (config_ == nullptr)
    return nullptr;
  const auto rate = config_->rates.find(customer);
  if (rate == config_->rates.end())
    return nullptr;
  return &shard.owned->ledgers
              .emplace(customer, rate_ledger(rate->second.per_second,
                                             rate->second.burst, loop_->Now()))
              .first->second;
}

rate_service::customer_state& rate_service::CustomerOf(
    const std::string& name) {
  const auto [found, added] = customers_.try_emplace(name);
  if (added) {
    found->second.name = name;
    found->second.shard = RateShardOf(name);
    const uint64_t epoch = shards_[found->second.shard].report_epoch;
    if (epoch != 0)
      found->second.borrower.MoveTo(epoch, loop_->Now());
  }
  return found->second;
}

void rate_service::BorrowTick(customer_state& customer) {
  const time_point now = loop_->Now();
  shard_state& shard = shards_[customer.shard];
  if (draining_) {
    if (!shard.owner_address.empty() &&
        shard.owner_address != options_.address) {
      if (const auto last = customer.borrower.TakeFinalRequest(now))
        SendBorrow(customer, *last);
    }
    return;
  }
  if (OwnerAddress(shard).empty())
    return;
  if (const auto request =
          customer.borrower.NextRequest(customer.waiting.size(), now))
    SendBorrow(customer, *request);
}

void rate_service::SendBorrow(customer_state& customer,
                              const borrower_request& request) {
  shard_state& shard = shards_[customer.shard];
  fbs::rate_requestT message;
  message.customer = customer.name;
  message.epoch = request.epoch;
  message.round = request.round;
  message.spent = static_cast<uint64_t>(request.spent);
  message.returned = static_cast<uint64_t>(request.returned);
  message.held = static_cast<uint64_t>(request.held);
  message.wanted = static_cast<uint64_t>(request.wanted);
  message.urgent = static_cast<uint64_t>(request.urgent);
  message.loan = request.loan;
  if (!shard.asked_at)
    shard.asked_at = loop_->Now();
  SendTo(OwnerAddress(shard), std::move(message));
}

void rate_service::ServeWaiting(customer_state& customer) {
  const time_point now = loop_->Now();
  ExpireWaiting(customer);
  while (!customer.waiting.empty() && customer.borrower.TrySpend(now)) {
    const auto done = std::move(customer.waiting.front().done);
    customer.waiting.pop_front();
    granted_.Increment();
    done(reason::kOk);
  }
}

void rate_service::ExpireWaiting(customer_state& customer) {
  const time_point now = loop_->Now();
  std::vector<std::function<void(reason)>> refused;
  for (auto item = customer.waiting.begin(); item != customer.waiting.end();) {
    if (now < item->until) {
      ++item;
      continue;
    }
    refused.push_back(std::move(item->done));
    item = customer.waiting.erase(item);
  }
  const bool reachable = now - customer.answered_at < kReachablePeriod;
  for (const auto& done : refused) {
    (reachable ? limited_ : unavailable_).Increment();
    done(reachable ? reason::kRateLimited : reason::kRateUnavailable);
  }
}

void rate_service::ArmTimer(customer_state& customer) {
  if (customer.timer != 0 || customer.waiting.empty())
    return;
  time_point first = time_point::max();
  for (const waiter& item : customer.waiting)
    first = std::min(first, item.until);
  customer.timer = loop_->RunAfter(first - loop_->Now(), [this, &customer] {
    customer.timer = 0;
    ExpireWaiting(customer);
    ArmTimer(customer);
  });
}

const std::vector<fbs::rate_loanT>& rate_service::MoveLoans(shard_state& shard,
                                                            uint64_t epoch) {
  if (epoch <= shard.report_epoch)
    return shard.report;
  shard.report_epoch = epoch;
  shard.report.clear();
  for (auto& [name, customer] : customers_) {
    if (customer.shard != shard.index)
      continue;
    const auto moved = customer.borrower.MoveTo(epoch, loop_->Now());
    if (moved.held <= 0)
      continue;
    fbs::rate_loanT loan;
    loan.customer = name;
    loan.loan = moved.loan;
    loan.held = static_cast<uint64_t>(moved.held);
    shard.report.push_back(std::move(loan));
  }
  return shard.report;
}

std::string rate_service::OwnerAddress(const shard_state& shard) const {
  if (!shard.owner_address.empty())
    return shard.owner_address;
  const auto& members = shard.group.members();
  if (members.empty())
    return {};
  return members[shard.candidate % members.size()].peer_address;
}

void rate_service::NextCandidate(shard_state& shard) {
  shard.asked_at.reset();
  if (shard.owned != nullptr)
    return;
  if (shard.owner_address.empty())
    ++shard.candidate;
  else
    shard.owner_address.clear();
}

void rate_service::CheckDrained() {
  const time_point now = loop_->Now();
  const bool empty = std::all_of(
      customers_.begin(), customers_.end(),
      [now](const auto& entry) { return entry.second.borrower.Settled(now); });
  if ((!empty && now < drain_until_) || drained_ == nullptr)
    return;
  const auto done = std::exchange(drained_, nullptr);
  done();
}

template <typename table>
void rate_service::SendTo(const std::string& address, table message) {
  if (address.empty())
    return;
  if (address != options_.address) {
    transport_->Send(address, Envelope(std::move(message)));
    return;
  }
  // In the next round, as with a real link.
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
  if (now - last < kProbeInterval)
    return;
  last = now;
  fbs::lease_requestT probe;
  probe.roster_version = roster_.version;
  SendTo(address, probe);
}

rate_service::shard_state* rate_service::ShardNamed(const std::string& name) {
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
