#include "decisions/dedup_types.h"

#include <algorithm>

namespace skylarkhoist {

dedup_group DedupGroupOf(const roster_view& roster, uint32_t shard) {
  dedup_group group;
  for (const roster_member& member :
       GroupOf(roster, "dedup/" + std::to_string(shard)))
    group.push_back({member.incarnation, member.peer_address});
  std::sort(group.begin(), group.end(),
            [](const dedup_member& a, const dedup_member& b) {
              return a.incarnation < b.incarnation;
            });
  return group;
}

uint64_t UuidV7UnixMs(const std::string& text) {
  // xxxxxxxx-xxxx-7xxx-[89ab]xxx-xxxxxxxxxxxx
  if (text.size() != 36 || text[14] != '7')
    return 0;
  uint64_t time = 0;
  for (size_t i = 0; i < text.size(); ++i) {
    const char digit = text[i];
    if (i == 8 || i == 13 || i == 18 || i == 23) {
      if (digit != '-')
        return 0;
      continue;
    }
    uint64_t bits = 0;
    if (digit >= '0' && digit <= '9')
      bits = static_cast<uint64_t>(digit - '0');
    else if (digit >= 'a' && digit <= 'f')
      bits = static_cast<uint64_t>(digit - 'a') + 10;
    else if (digit >= 'A' && digit <= 'F')
      bits = static_cast<uint64_t>(digit - 'A') + 10;
    else
      return 0;
    // Byte 8 begins with the variant bits 10.
    if (i == 19 && (bits & 12) != 8)
      return 0;
    if (i < 13)
      time = (time << 4) | bits;
  }
  return time;
}

}  // namespace skylarkhoist
