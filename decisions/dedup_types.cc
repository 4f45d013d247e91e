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
    const char character = text[i];
    if (i == 8 || i == 13 || i == 18 || i == 23) {
      if (character != '-')
        return 0;
      continue;
    }
    uint64_t nibble = 0;
    if (character >= '0' && character <= '9')
      nibble = static_cast<uint64_t>(character - '0');
    else if (character >= 'a' && character <= 'f')
      nibble = static_cast<uint64_t>(character - 'a') + 10;
    else if (character >= 'A' && character <= 'F')
      nibble = static_cast<uint64_t>(character - 'A') + 10;
    else
      return 0;
    // The two highest bits of byte 8 are the variant, 10.
    if (i == 19 && (nibble & 12) != 8)
      return 0;
    if (i < 13)
      time = (time << 4) | nibble;
  }
  return time;
}

}  // namespace skylarkhoist
