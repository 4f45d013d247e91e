#include "decisions/context_tokens.h"

#include <optional>

namespace skylarkhoist {
namespace {

constexpr size_t kDigitsPerWord = 16;

std::string ToHex(uint64_t value) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text(kDigitsPerWord, '0');
  for (size_t i = kDigitsPerWord; i-- > 0; value >>= 4)
    text[i] = kDigits[value & 15];
  return text;
}

std::optional<uint64_t> FromHex(std::string_view text) {
  uint64_t value = 0;
  for (char digit : text) {
    uint64_t bits = 0;
    if (digit >= '0' && digit <= '9')
      bits = static_cast<uint64_t>(digit - '0');
    else if (digit >= 'a' && digit <= 'f')
      bits = static_cast<uint64_t>(digit - 'a') + 10;
    else
      return std::nullopt;
    value = (value << 4) | bits;
  }
  return value;
}

}  // namespace

std::string context_tokens::Issue(call_context context) {
  Revoke(context.parent);
  const token_bits bits{random_->Next(), random_->Next()};
  by_parent_[context.parent] = bits;
  contexts_.insert_or_assign(bits, std::move(context));
  return ToHex(bits.first) + ToHex(bits.second);
}

call_context* context_tokens::Find(std::string_view token) {
  if (token.size() != 2 * kDigitsPerWord)
    return nullptr;
  const auto high = FromHex(token.substr(0, kDigitsPerWord));
  const auto low = FromHex(token.substr(kDigitsPerWord));
  if (!high || !low)
    return nullptr;
  const auto found = contexts_.find({*high, *low});
  return found == contexts_.end() ? nullptr : &found->second;
}

call_context context_tokens::Revoke(const request_id& parent) {
  call_context ended;
  ended.credit = retry_credit(0);
  const auto found = by_parent_.find(parent);
  if (found == by_parent_.end())
    return ended;
  const auto context = contexts_.find(found->second);
  ended = std::move(context->second);
  contexts_.erase(context);
  by_parent_.erase(found);
  return ended;
}

}  // namespace skylarkhoist
