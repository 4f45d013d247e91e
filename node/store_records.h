#ifndef NODE_STORE_RECORDS_H_
#define NODE_STORE_RECORDS_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "wire/keyed_store.h"

namespace skylarkhoist {

// A record and the era of the store that its offset belongs to.
struct era_record {
  keyed_record record;
  uint64_t era = 0;
};

// The newest record of each key of a topic, in the order of (era, offset).
// Records of earlier eras than the present one are unconfirmed: the store was
// restored from a copy, and may lack them for good or only until they are
// written again.
class store_records {
 public:
  // Returns whether the record is newer than the known one of its key.
  bool Add(const era_record& added);
  void Remove(const std::string& key) { newest_.erase(key); }

  // Returns the records of `era` from the offset `from` on, with deletions.
  std::vector<keyed_record> Since(uint64_t era, uint64_t from) const;

  // Returns the deletions that a full read implies, which does not contain the
  // keys that were deleted since the last read. Unconfirmed records are not
  // among them.
  std::vector<keyed_record> DeletedBy(const keyed_batch& full_read) const;

  // Returns the records with a value from before `era`.
  std::vector<era_record> Unconfirmed(uint64_t era) const;

 private:
  std::map<std::string, era_record> newest_;
};

}  // namespace skylarkhoist

#endif  // NODE_STORE_RECORDS_H_
