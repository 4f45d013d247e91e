#ifndef DECISIONS_CONTEXT_TOKENS_H_
#define DECISIONS_CONTEXT_TOKENS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include "decisions/request_types.h"
#include "decisions/retry_credit.h"
#include "kernel/random.h"
#include "kernel/time.h"

namespace skylarkhoist {

// Values that a child call inherits from its parent.
struct call_context {
  request_id parent;
  std::string customer;
  std::string key_id;
  time_point deadline;
  // Child calls borrow from this credit. What is left is returned with the
  // answer.
  retry_credit credit;
  priority_class priority = priority_class::kNormal;
  // Number of calls above this one in the chain.
  int depth = 0;
  double weight = 1.0;
};

// Issues the tokens that a target presents with its child calls instead of the
// customer's key, which it never sees. A token is 128 random bits, written as
// 32 hex digits, and is valid only while the parent is in progress.
//
//   headers.Add("Skylark-Context", tokens.Issue(context));
//   if (call_context* context = tokens.Find(header)) { ... }
//   call_context ended = tokens.Revoke(id);  // when the parent ends
class context_tokens {
 public:
  // `random` must be unpredictable (system_random) outside of tests: a caller
  // that guesses a token can act for its customer.
  explicit context_tokens(random_source* random) : random_(random) {}

  // Issues one token for each parent. A second call for the same parent
  // replaces its token.
  std::string Issue(call_context context);

  // Returns null for a token that is malformed or unknown, or whose parent has
  // ended. The pointer is valid until the next Issue or Revoke.
  call_context* Find(std::string_view token);

  // Revokes the token of `parent` and returns its context with the remaining
  // credit, or a context without credit when `parent` has no token.
  call_context Revoke(const request_id& parent);

  size_t size() const { return contexts_.size(); }

 private:
  using token_bits = std::pair<uint64_t, uint64_t>;

  random_source* random_;
  std::map<token_bits, call_context> contexts_;
  std::unordered_map<request_id, token_bits, request_id_hash> by_parent_;
};

}  // namespace skylarkhoist

#endif  // DECISIONS_CONTEXT_TOKENS_H_
