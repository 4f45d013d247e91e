#include "node/token_service.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// Longest wait of a request for a token from the owner; several times the round
// trip between zones.
constexpr duration kMaxTokenWait = std::chrono::milliseconds(60);

// Minimum time between two token requests to the same owner. Limits the
// messages that a customer above its rate causes.
constexpr duration kMinRequestInterval = std::chrono::milliseconds(10);

// Time between two token requests to an owner that does not grant tokens.
constexpr duration kUnavailableRetryInterval = std::chrono::milliseconds(250);

// Number of nodes that may own buckets, in a small fleet and as a share of a
// large one.
constexpr size_t kMinOwnerCandidates = 12;
constexpr size_t kNodesPerOwnerCandidate = 16;

// Differs from the seeds of other choices among the nodes, so that not all of
// them fall on the same nodes.
constexpr uint64_t kOwnerSeed = 1;

// Share of a node that uses little of a customer's rate, as a part of the even
// share of all nodes.
constexpr double kMinShareOfEvenShare = 0.25;

// An owner counts a share that was used within this time.
constexpr duration kMaxShareAge =
    fallback_shares::kMaxIdleTime + fallback_shares::kDetectionTime;

std::unique_ptr<fbs::token_wantT> MakeWant(const std::string& customer,
                                           int64_t wanted,
                                           const token_cache& tokens) {
  auto want = std::make_unique<fbs::token_wantT>();
  want->customer = customer;
  want->wanted = static_cast<uint64_t>(wanted);
  const fallback_share& share = tokens.share();
  want->share_per_second = share.per_second;
  want->total_shares_per_second = share.total_per_second;
  want->share_granted_by = share.granted_by;
  want->generated = tokens.generated();
  return want;
}

// Number of a request that only tells shares; its answer grants nothing.
constexpr uint64_t kShareRound = 0;

// A rate from a message, which may be damaged.
double ValidRate(double per_second) {
  return std::isfinite(per_second) && per_second > 0 ? per_second : 0;
}

uint64_t RendezvousWeight(const std::string& customer,
                          const std::string& node) {
  const uint64_t seed = XXH64(customer.data(), customer.size(), 0);
  return XXH64(node.data(), node.size(), seed);
}

}  // namespace

token_service::token_service(loop* loop,
                             peer_transport* transport,
                             std::string own_address,
                             std::string own_name,
                             uint64_t incarnation,
                             metrics* counters)
    : loop_(loop),
      transport_(transport),
      own_address_(std::move(own_address)),
      own_name_(std::move(own_name)),
      incarnation_(incarnation),
      history_(own_address_),
      granted_(counters->Counter("skylarkhoist_tokens_total",
                                 "Requests for rate tokens by result",
                                 {{"result", "granted"}})),
      refused_(counters->Counter("skylarkhoist_tokens_total",
                                 "Requests for rate tokens by result",
                                 {{"result", "refused"}})),
      granted_without_owner_(
          counters->Counter("skylarkhoist_tokens_total",
                            "Requests for rate tokens by result",
                            {{"result", "granted_without_mint"}})),
      reserved_(counters->Counter(
          "skylarkhoist_tokens_reserved_total",
          "Rate tokens taken from buckets for nodes out of contact")) {
  members_.names = {{own_address_, own_name_}};
  ChooseOwnerCandidates();
}

token_service::~token_service() {
  for (auto& [address, each] : owner_sessions_)
    loop_->Cancel(each.timer);
  loop_->Cancel(keep_timer_);
}

void token_service::SetConfig(std::shared_ptr<const config_view> config) {
  config_ = std::move(config);
  const time_point now = loop_->Now();
  for (auto each = owned_rates_.begin(); each != owned_rates_.end();) {
    const auto rate = config_->rates.find(each->first);
    if (rate == config_->rates.end()) {
      each = owned_rates_.erase(each);
      continue;
    }
    each->second.bucket.SetRate(rate->second.per_second, rate->second.burst,
                                now);
    ++each;
  }
  AssignOwners();
}

void token_service::SetMembers(const token_members& members) {
  members_ = members;
  std::set<std::string> live;
  for (const auto& [address, name] : members_.names)
    live.insert(address);
  history_.Update(live, members_.out_of_reach, loop_->Now());
  // Another node grants tokens until this one has a majority again.
  if (!members_.has_majority)
    owned_rates_.clear();
  ChooseOwnerCandidates();
  for (auto each = owner_sessions_.begin(); each != owner_sessions_.end();) {
    if (members_.names.count(each->first) > 0) {
      ++each;
      continue;
    }
    loop_->Cancel(each->second.timer);
    each = owner_sessions_.erase(each);
  }
  AssignOwners();
}

// Chooses the nodes whose names have the lowest hashes. A node that comes or
// goes changes at most one of them.
void token_service::ChooseOwnerCandidates() {
  owner_candidates_ = members_.names;
  const size_t count = std::max(
      kMinOwnerCandidates, members_.names.size() / kNodesPerOwnerCandidate);
  if (!members_.all_limit_owners || members_.names.size() <= count)
    return;
  std::vector<std::pair<uint64_t, std::string>> ranked;
  for (const auto& [address, name] : members_.names)
    ranked.emplace_back(XXH64(name.data(), name.size(), kOwnerSeed), address);
  std::sort(ranked.begin(), ranked.end());
  for (size_t i = count; i < ranked.size(); ++i)
    owner_candidates_.erase(ranked[i].second);
}

std::string token_service::OwnerOf(const std::string& customer) const {
  const std::string* best = nullptr;
  uint64_t best_weight = 0;
  for (const auto& [address, name] : owner_candidates_) {
    const uint64_t weight = RendezvousWeight(customer, name);
    if (best == nullptr || weight > best_weight) {
      best = &address;
      best_weight = weight;
    }
  }
  return best == nullptr ? std::string() : *best;
}

void token_service::AssignOwners() {
  const time_point now = loop_->Now();
  std::map<std::string, std::vector<std::string>> shares_by_owner;
  for (auto& [customer, each] : accounts_) {
    const auto rate = config_->rates.find(customer);
    if (rate != config_->rates.end()) {
      each.tokens.SetRate(rate->second.per_second);
      each.tokens.SetMinShare(MinShare(customer));
    }
    std::string owner = OwnerOf(customer);
    if (owner == each.owner)
      continue;
    // Another node owns the bucket now, so the level of this one is outdated.
    if (each.owner == own_address_)
      owned_rates_.erase(customer);
    each.owner = std::move(owner);
    each.must_tell_share = false;
    if (each.tokens.share().per_second > 0 &&
        now - each.tokens.last_used_at() < kMaxShareAge)
      shares_by_owner[each.owner].push_back(customer);
    ServeWaiters(each);
    if (!each.waiters.empty())
      ScheduleRequest(each.owner);
  }
  for (const auto& [owner, customers] : shares_by_owner)
    TellShares(owner, customers);
}

void token_service::TellShares(const std::string& owner,
                               const std::vector<std::string>& customers) {
  if (owner.empty() || owner == own_address_)
    return;
  fbs::token_requestT request;
  request.round = kShareRound;
  for (const std::string& customer : customers) {
    account& told = accounts_.at(customer);
    told.share_told_at = loop_->Now();
    request.wants.push_back(MakeWant(customer, 0, told.tokens));
  }
  transport_->Send(owner, MakeEnvelope(std::move(request)));
}

void token_service::ScheduleKeepShares() {
  if (keep_timer_ == 0)
    keep_timer_ = loop_->RunAfter(fallback_shares::kContactInterval, [this] {
      keep_timer_ = 0;
      KeepShares();
    });
}

void token_service::KeepShares() {
  const time_point now = loop_->Now();
  std::map<std::string, std::vector<std::string>> shares_by_owner;
  bool continues = false;
  for (auto& [customer, each] : accounts_) {
    const bool was_watched =
        each.tokens.share().per_second >= fallback_shares::kMinWatchedShare;
    if (!was_watched && !each.must_tell_share)
      continue;
    const bool gave_up = each.tokens.GiveUpIdleShare(now);
    continues = continues || (was_watched && !gave_up);
    if (each.must_tell_share || gave_up ||
        now - each.share_told_at >= fallback_shares::kContactInterval / 2)
      shares_by_owner[each.owner].push_back(customer);
    each.must_tell_share = false;
  }
  for (const auto& [owner, customers] : shares_by_owner)
    TellShares(owner, customers);
  if (continues)
    ScheduleKeepShares();
}

token_service::account* token_service::FindAccount(
    const std::string& customer) {
  const auto rate = config_->rates.find(customer);
  if (rate == config_->rates.end())
    return nullptr;
  const auto [found, inserted] = accounts_.try_emplace(customer);
  if (inserted) {
    found->second.owner = OwnerOf(customer);
    found->second.tokens.SetRate(rate->second.per_second);
    found->second.tokens.SetMinShare(MinShare(customer));
  }
  return &found->second;
}

bool token_service::IsOwnerReachable(const account& checked) const {
  if (checked.owner == own_address_)
    return members_.has_majority;
  const auto found = owner_sessions_.find(checked.owner);
  return !checked.owner.empty() &&
         (found == owner_sessions_.end() || !found->second.unavailable);
}

double token_service::MinShare(const std::string& customer) const {
  const size_t known = history_.Counts(loop_->Now()).known;
  return config_->rates.at(customer).per_second / static_cast<double>(known) *
         kMinShareOfEvenShare;
}

token_service::owned_rate& token_service::OwnedRate(
    const std::string& customer) {
  const auto found = owned_rates_.find(customer);
  if (found != owned_rates_.end())
    return found->second;
  const time_point now = loop_->Now();
  const rate_config& rate = config_->rates.at(customer);
  owned_rate& added =
      owned_rates_
          .emplace(customer,
                   owned_rate{token_bucket(rate.per_second, rate.burst, now),
                              fallback_shares(incarnation_, now)})
          .first->second;
  // The share of this node under the former owner.
  const auto own = accounts_.find(customer);
  if (own != accounts_.end())
    added.shares.OnContact(own_address_, incarnation_,
                           own->second.tokens.share(),
                           own->second.tokens.generated(), now);
  return added;
}

void token_service::TakeReserved(const std::string& customer,
                                 owned_rate* from) {
  const time_point now = loop_->Now();
  const double taken = from->shares.TakeReserved(
      [this, now](const std::string& address) {
        return history_.ReachOf(address, now);
      },
      history_.Counts(now), config_->rates.at(customer).per_second,
      MinShare(customer), now);
  if (taken > 0) {
    from->bucket.Charge(taken, now);
    reserved_.Increment(taken);
  }
  const bool has_reserved = from->shares.reserved_per_second() > 0;
  if (std::exchange(from->has_reserved, has_reserved) != has_reserved)
    LogStateChange(
        "tokens", has_reserved ? "shares_reserved" : "shares_returned",
        {{"customer", customer},
         {"per_second", std::to_string(from->shares.reserved_per_second())}});
}

token_service::grant_result token_service::Grant(const std::string& customer,
                                                 const peer_info& node,
                                                 int64_t wanted,
                                                 const fallback_share& held,
                                                 uint64_t generated) {
  const time_point now = loop_->Now();
  const rate_config& rate = config_->rates.at(customer);
  owned_rate& owned = OwnedRate(customer);
  token_bucket& bucket = owned.bucket;
  fallback_shares& shares = owned.shares;
  bucket.Charge(
      shares.OnContact(node.address, node.incarnation, held, generated, now),
      now);
  TakeReserved(customer, &owned);
  grant_result result;
  result.granted = bucket.Grant(wanted, now);
  result.is_short = bucket.rate_exceeded();
  result.share = shares.ShareAfterGrant(
      node.address, result.granted, rate.per_second, MinShare(customer), now);
  return result;
}

void token_service::Acquire(const std::string& customer,
                            std::function<void(reason)> done) {
  const time_point now = loop_->Now();
  account* found = FindAccount(customer);
  if (found == nullptr) {
    done(reason::kOk);
    return;
  }
  found->tokens.RecordDemand(now);
  const bool reachable = IsOwnerReachable(*found);
  if (found->owner == own_address_ && reachable && found->tokens.held() == 0) {
    token_cache& tokens = found->tokens;
    const grant_result result =
        Grant(customer, {own_address_, own_name_, "", incarnation_}, 1,
              tokens.share(), tokens.generated());
    tokens.OnGrant(result.granted, result.is_short, now);
    tokens.SetShare(result.share, now);
  }
  if (found->tokens.Take(reachable, now)) {
    (reachable ? granted_ : granted_without_owner_).Increment();
    if (found->owner != own_address_ && found->tokens.NeedsRefill(now) &&
        !found->tokens.IsRateExceeded(now))
      ScheduleRequest(found->owner);
    done(reason::kOk);
    return;
  }
  if (!reachable || found->owner == own_address_ ||
      found->tokens.IsRateExceeded(now)) {
    if (!reachable && found->owner != own_address_)
      ScheduleRequest(found->owner);
    refused_.Increment();
    done(reason::kRateLimited);
    return;
  }
  found->waiters.push_back({std::move(done), now + kMaxTokenWait});
  ScheduleRequest(found->owner);
}

void token_service::Return(const std::string& customer) {
  const auto found = accounts_.find(customer);
  if (found != accounts_.end())
    found->second.tokens.Return();
}

void token_service::ScheduleRequest(const std::string& owner) {
  if (owner == own_address_ || owner.empty())
    return;
  owner_session& session = owner_sessions_[owner];
  if (session.timer != 0)
    return;
  const duration pause =
      session.unavailable ? kUnavailableRetryInterval : kMinRequestInterval;
  const time_point next = session.requested_at + pause;
  const duration delay = std::max(next - loop_->Now(), duration::zero());
  session.timer = loop_->RunAfter(delay, [this, owner] {
    owner_sessions_.at(owner).timer = 0;
    SendRequest(owner);
  });
}

void token_service::SendRequest(const std::string& owner) {
  const time_point now = loop_->Now();
  owner_session& session = owner_sessions_.at(owner);
  fbs::token_requestT request;
  request.round = ++session.round;
  for (auto& [customer, each] : accounts_) {
    if (each.owner != owner)
      continue;
    const int64_t wanted = each.tokens.TokensToRequest(
        static_cast<int64_t>(each.waiters.size()), now);
    if (wanted <= 0)
      continue;
    each.share_told_at = now;
    request.wants.push_back(MakeWant(customer, wanted, each.tokens));
  }
  if (request.wants.empty())
    return;
  session.request_pending = true;
  session.requested_at = now;
  session.timer = loop_->RunAfter(kMaxTokenWait, [this, owner] {
    owner_sessions_.at(owner).timer = 0;
    OnRequestTimeout(owner);
  });
  transport_->Send(owner, MakeEnvelope(std::move(request)));
}

void token_service::SetUnavailable(const std::string& owner,
                                   bool unavailable,
                                   const char* cause) {
  owner_session& session = owner_sessions_[owner];
  if (session.unavailable == unavailable)
    return;
  session.unavailable = unavailable;
  const auto name = members_.names.find(owner);
  LogStateChange(
      "tokens", unavailable ? "mint_lost" : "mint_regained",
      {{"owner", name == members_.names.end() ? owner : name->second},
       {"cause", cause}});
}

void token_service::OnRequestTimeout(const std::string& owner) {
  owner_sessions_.at(owner).request_pending = false;
  SetUnavailable(owner, true, "no_answer");
  ServeWaitersOf(owner);
}

void token_service::ServeWaitersOf(const std::string& owner) {
  std::vector<account*> affected;
  for (auto& [customer, each] : accounts_) {
    if (each.owner == owner)
      affected.push_back(&each);
  }
  for (account* each : affected)
    ServeWaiters(*each);
}

// Gives tokens to waiting requests in order of arrival. Refuses requests that
// have waited for too long or can expect no token.
void token_service::ServeWaiters(account& served) {
  const time_point now = loop_->Now();
  const bool reachable = IsOwnerReachable(served);
  while (!served.waiters.empty()) {
    const bool taken = served.tokens.Take(reachable, now);
    if (!taken && reachable && !served.tokens.IsRateExceeded(now) &&
        served.waiters.front().deadline > now)
      return;
    const waiter first = std::move(served.waiters.front());
    served.waiters.pop_front();
    (taken ? granted_ : refused_).Increment();
    first.done(taken ? reason::kOk : reason::kRateLimited);
  }
}

void token_service::HandleRequest(const peer_info& from,
                                  const fbs::token_requestT& request) {
  fbs::token_grantT grant;
  grant.round = request.round;
  for (const auto& want : request.wants) {
    if (want == nullptr || config_->rates.count(want->customer) == 0)
      continue;
    if (!members_.has_majority || OwnerOf(want->customer) != own_address_) {
      grant.not_owner = true;
      continue;
    }
    const fallback_share held = {ValidRate(want->share_per_second),
                                 ValidRate(want->total_shares_per_second),
                                 want->share_granted_by};
    if (request.round == kShareRound) {
      owned_rate& owned = OwnedRate(want->customer);
      owned.bucket.Charge(
          owned.shares.OnContact(from.address, from.incarnation, held,
                                 want->generated, loop_->Now()),
          loop_->Now());
      continue;
    }
    auto item = std::make_unique<fbs::token_grant_itemT>();
    item->customer = want->customer;
    const grant_result result =
        Grant(want->customer, from, static_cast<int64_t>(want->wanted), held,
              want->generated);
    item->granted = static_cast<uint64_t>(result.granted);
    item->short_ = result.is_short;
    item->share_per_second = result.share.per_second;
    item->total_shares_per_second = result.share.total_per_second;
    grant.grants.push_back(std::move(item));
  }
  transport_->Send(from.address, MakeEnvelope(std::move(grant)));
}

void token_service::HandleGrant(const peer_info& from,
                                const fbs::token_grantT& grant) {
  if (grant.round == kShareRound) {
    // The node does not know yet that it is the owner.
    for (auto& [customer, each] : accounts_) {
      if (grant.not_owner && each.owner == from.address &&
          each.tokens.share().per_second > 0) {
        each.must_tell_share = true;
        ScheduleKeepShares();
      }
    }
    return;
  }
  const auto found = owner_sessions_.find(from.address);
  if (found == owner_sessions_.end() || found->second.round != grant.round)
    return;
  owner_session& session = found->second;
  session.request_pending = false;
  loop_->Cancel(std::exchange(session.timer, 0));
  SetUnavailable(from.address, grant.not_owner && grant.grants.empty(),
                 "not_owner");
  const time_point now = loop_->Now();
  std::vector<account*> served;
  for (const auto& item : grant.grants) {
    const auto account_found =
        item == nullptr ? accounts_.end() : accounts_.find(item->customer);
    if (account_found == accounts_.end() ||
        account_found->second.owner != from.address)
      continue;
    token_cache& tokens = account_found->second.tokens;
    tokens.OnGrant(static_cast<int64_t>(item->granted), item->short_, now);
    tokens.SetShare(
        {ValidRate(item->share_per_second),
         ValidRate(item->total_shares_per_second), from.incarnation},
        now);
    if (tokens.share().per_second >= fallback_shares::kMinWatchedShare)
      ScheduleKeepShares();
  }
  ServeWaitersOf(from.address);
  for (auto& [customer, each] : accounts_) {
    if (each.owner == from.address && !each.waiters.empty()) {
      ScheduleRequest(from.address);
      return;
    }
  }
}

}  // namespace skylarkhoist
