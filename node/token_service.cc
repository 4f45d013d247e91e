#include "node/token_service.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>
#include <vector>

#include "kernel/log.h"

namespace skylarkhoist {
namespace {

// A request waits this long for a token from the owner, some times the way
// there and back between zones.
constexpr duration kLongestWait = std::chrono::milliseconds(60);

// Two requests to the same owner have at least this time between them; it
// bounds the messages that a customer above its rate causes.
constexpr duration kAskInterval = std::chrono::milliseconds(10);

// Pause after an owner that did not answer.
constexpr duration kAwayInterval = std::chrono::milliseconds(250);

uint64_t Weight(const std::string& customer, const std::string& node) {
  const uint64_t seed = XXH64(customer.data(), customer.size(), 0);
  return XXH64(node.data(), node.size(), seed);
}

}  // namespace

token_service::token_service(loop* loop,
                             peer_transport* transport,
                             std::string own_address,
                             std::string own_name,
                             metrics* counters)
    : loop_(loop),
      transport_(transport),
      own_address_(std::move(own_address)),
      own_name_(std::move(own_name)),
      granted_(counters->Counter("skylarkhoist_tokens_total",
                                 "Rate tokens taken by requests",
                                 {{"result", "granted"}})),
      refused_(counters->Counter("skylarkhoist_tokens_total",
                                 "Rate tokens taken by requests",
                                 {{"result", "refused"}})),
      blind_(counters->Counter("skylarkhoist_tokens_total",
                               "Rate tokens taken by requests",
                               {{"result", "granted_without_mint"}})) {
  names_ = {{own_address_, own_name_}};
}

token_service::~token_service() {
  for (auto& [address, each] : lenders_)
    loop_->Cancel(each.timer);
}

void token_service::SetConfig(std::shared_ptr<const config_view> config) {
  config_ = std::move(config);
  const time_point now = loop_->Now();
  for (auto each = mints_.begin(); each != mints_.end();) {
    const auto rate = config_->rates.find(each->first);
    if (rate == config_->rates.end()) {
      each = mints_.erase(each);
      continue;
    }
    each->second.SetRate(rate->second.per_second, rate->second.burst, now);
    ++each;
  }
  AssignOwners();
}

void token_service::SetMembers(const std::map<std::string, std::string>& names,
                               bool has_majority) {
  names_ = names;
  has_majority_ = has_majority;
  for (auto each = lenders_.begin(); each != lenders_.end();) {
    if (names_.count(each->first) > 0) {
      ++each;
      continue;
    }
    loop_->Cancel(each->second.timer);
    each = lenders_.erase(each);
  }
  AssignOwners();
}

std::string token_service::OwnerOf(const std::string& customer) const {
  const std::string* best = nullptr;
  uint64_t best_weight = 0;
  for (const auto& [address, name] : names_) {
    const uint64_t weight = Weight(customer, name);
    if (best == nullptr || weight > best_weight) {
      best = &address;
      best_weight = weight;
    }
  }
  return best == nullptr ? std::string() : *best;
}

void token_service::AssignOwners() {
  for (auto& [customer, each] : accounts_) {
    const auto rate = config_->rates.find(customer);
    if (rate != config_->rates.end()) {
      each.purse.SetRate(
          rate->second.per_second,
          rate->second.per_second / static_cast<double>(names_.size()));
    }
    std::string owner = OwnerOf(customer);
    if (owner == each.owner)
      continue;
    // What this node minted before another one did is not its own any more.
    if (each.owner == own_address_)
      mints_.erase(customer);
    each.owner = std::move(owner);
    Serve(each);
    if (!each.waiters.empty())
      AskSoon(each.owner);
  }
}

token_service::account* token_service::FindAccount(
    const std::string& customer) {
  const auto rate = config_->rates.find(customer);
  if (rate == config_->rates.end())
    return nullptr;
  const auto [found, inserted] = accounts_.try_emplace(customer);
  if (inserted) {
    found->second.owner = OwnerOf(customer);
    found->second.purse.SetRate(
        rate->second.per_second,
        rate->second.per_second / static_cast<double>(names_.size()));
  }
  return &found->second;
}

bool token_service::IsReachable(const account& checked) const {
  if (checked.owner == own_address_)
    return has_majority_;
  const auto found = lenders_.find(checked.owner);
  return !checked.owner.empty() &&
         (found == lenders_.end() || !found->second.away);
}

int64_t token_service::MintHere(const std::string& customer,
                                int64_t wanted,
                                bool* is_short) {
  const time_point now = loop_->Now();
  const rate_config& rate = config_->rates.at(customer);
  token_mint& mint =
      mints_.try_emplace(customer, rate.per_second, rate.burst, now)
          .first->second;
  const int64_t granted = mint.Grant(wanted, now);
  *is_short = mint.is_short();
  return granted;
}

void token_service::Acquire(const std::string& customer,
                            std::function<void(reason)> done) {
  const time_point now = loop_->Now();
  account* found = FindAccount(customer);
  if (found == nullptr) {
    done(reason::kOk);
    return;
  }
  found->purse.NoteDemand(now);
  const bool reachable = IsReachable(*found);
  if (found->owner == own_address_ && reachable && found->purse.held() == 0) {
    bool is_short = false;
    found->purse.OnGrant(MintHere(customer, 1, &is_short), is_short, now);
  }
  if (found->purse.Take(reachable, now)) {
    (reachable ? granted_ : blind_).Increment();
    if (found->owner != own_address_ && found->purse.IsLow(now) &&
        !found->purse.IsShort(now))
      AskSoon(found->owner);
    done(reason::kOk);
    return;
  }
  if (!reachable || found->owner == own_address_ || found->purse.IsShort(now)) {
    if (!reachable && found->owner != own_address_)
      AskSoon(found->owner);
    refused_.Increment();
    done(reason::kRateLimited);
    return;
  }
  found->waiters.push_back({std::move(done), now + kLongestWait});
  AskSoon(found->owner);
}

void token_service::Return(const std::string& customer) {
  const auto found = accounts_.find(customer);
  if (found != accounts_.end())
    found->second.purse.Return();
}

void token_service::AskSoon(const std::string& owner) {
  if (owner == own_address_ || owner.empty())
    return;
  lender& asked = lenders_[owner];
  if (asked.timer != 0)
    return;
  const duration pause = asked.away ? kAwayInterval : kAskInterval;
  const time_point next = asked.asked_at + pause;
  const duration delay = std::max(next - loop_->Now(), duration::zero());
  asked.timer = loop_->RunAfter(delay, [this, owner] {
    lenders_.at(owner).timer = 0;
    Ask(owner);
  });
}

void token_service::Ask(const std::string& owner) {
  const time_point now = loop_->Now();
  lender& asked = lenders_.at(owner);
  fbs::token_requestT request;
  request.round = ++asked.round;
  for (auto& [customer, each] : accounts_) {
    if (each.owner != owner)
      continue;
    const int64_t wanted =
        each.purse.Wanted(static_cast<int64_t>(each.waiters.size()), now);
    if (wanted <= 0)
      continue;
    auto want = std::make_unique<fbs::token_wantT>();
    want->customer = customer;
    want->wanted = static_cast<uint64_t>(wanted);
    request.wants.push_back(std::move(want));
  }
  if (request.wants.empty())
    return;
  asked.asked = true;
  asked.asked_at = now;
  asked.timer = loop_->RunAfter(kLongestWait, [this, owner] {
    lenders_.at(owner).timer = 0;
    OnSilence(owner);
  });
  transport_->Send(owner, Envelope(std::move(request)));
}

void token_service::SetAway(const std::string& owner,
                            bool away,
                            const char* cause) {
  lender& changed = lenders_[owner];
  if (changed.away == away)
    return;
  changed.away = away;
  const auto name = names_.find(owner);
  LogStateChange("tokens", away ? "mint_lost" : "mint_regained",
                 {{"owner", name == names_.end() ? owner : name->second},
                  {"cause", cause}});
}

void token_service::OnSilence(const std::string& owner) {
  lenders_.at(owner).asked = false;
  SetAway(owner, true, "no_answer");
  FailWaiters(owner);
}

void token_service::FailWaiters(const std::string& owner) {
  std::vector<account*> affected;
  for (auto& [customer, each] : accounts_) {
    if (each.owner == owner)
      affected.push_back(&each);
  }
  for (account* each : affected)
    Serve(*each);
}

// Gives tokens to those who wait, and refuses the rest when none will come.
void token_service::Serve(account& served) {
  const time_point now = loop_->Now();
  const bool reachable = IsReachable(served);
  while (!served.waiters.empty()) {
    const bool taken = served.purse.Take(reachable, now);
    if (!taken && reachable && !served.purse.IsShort(now) &&
        served.waiters.front().until > now)
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
    if (!has_majority_ || OwnerOf(want->customer) != own_address_) {
      grant.not_owner = true;
      continue;
    }
    auto item = std::make_unique<fbs::token_grant_itemT>();
    item->customer = want->customer;
    bool is_short = false;
    item->granted = static_cast<uint64_t>(MintHere(
        want->customer, static_cast<int64_t>(want->wanted), &is_short));
    item->short_ = is_short;
    grant.grants.push_back(std::move(item));
  }
  transport_->Send(from.address, Envelope(std::move(grant)));
}

void token_service::HandleGrant(const peer_info& from,
                                const fbs::token_grantT& grant) {
  const auto found = lenders_.find(from.address);
  if (found == lenders_.end() || found->second.round != grant.round)
    return;
  lender& answered = found->second;
  answered.asked = false;
  loop_->Cancel(std::exchange(answered.timer, 0));
  SetAway(from.address, grant.not_owner && grant.grants.empty(), "not_owner");
  const time_point now = loop_->Now();
  std::vector<account*> served;
  for (const auto& item : grant.grants) {
    const auto account_found =
        item == nullptr ? accounts_.end() : accounts_.find(item->customer);
    if (account_found == accounts_.end() ||
        account_found->second.owner != from.address)
      continue;
    account_found->second.purse.OnGrant(static_cast<int64_t>(item->granted),
                                        item->short_, now);
  }
  FailWaiters(from.address);
  for (auto& [customer, each] : accounts_) {
    if (each.owner == from.address && !each.waiters.empty()) {
      AskSoon(from.address);
      return;
    }
  }
}

}  // namespace skylarkhoist
