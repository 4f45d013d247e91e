#include "node/store_records.h"

#include <set>
#include <tuple>

namespace skylarkhoist {

bool store_records::Add(const era_record& added) {
  const auto [found, inserted] = newest_.try_emplace(added.record.key, added);
  if (inserted)
    return true;
  era_record& known = found->second;
  if (std::tie(known.era, known.record.offset) >=
      std::tie(added.era, added.record.offset))
    return false;
  known = added;
  return true;
}

std::vector<keyed_record> store_records::Since(uint64_t era,
                                               uint64_t from) const {
  std::vector<keyed_record> found;
  for (const auto& [key, known] : newest_) {
    if (known.era == era && known.record.offset >= from)
      found.push_back(known.record);
  }
  return found;
}

std::vector<keyed_record> store_records::DeletedBy(
    const keyed_batch& full_read) const {
  std::set<std::string> present_keys;
  for (const keyed_record& record : full_read.records)
    present_keys.insert(record.key);
  std::vector<keyed_record> deleted;
  for (const auto& [key, known] : newest_) {
    if (known.era == full_read.era && known.record.value &&
        known.record.offset < full_read.end_offset &&
        present_keys.count(key) == 0)
      deleted.push_back({key, std::nullopt, full_read.end_offset - 1});
  }
  return deleted;
}

std::vector<era_record> store_records::Unconfirmed(uint64_t era) const {
  std::vector<era_record> found;
  for (const auto& [key, known] : newest_) {
    if (known.era < era && known.record.value)
      found.push_back(known);
  }
  return found;
}

}  // namespace skylarkhoist
