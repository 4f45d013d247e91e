#include "node/store_era.h"

#include <utility>

#include "kernel/log.h"

namespace skylarkhoist {

store_era::store_era(keyed_store* store, metrics* counters)
    : store_(store),
      era_gauge_(counters->Gauge("skylarkhoist_store_era",
                                 "Era of the store in force")),
      restores_(counters->Counter(
          "skylarkhoist_store_restores_total",
          "Restores of the store from an older copy that were seen")),
      outdated_answers_(counters->Counter(
          "skylarkhoist_store_outdated_answers_total",
          "Responses of the store that were dropped since they belong to an "
          "earlier era, or to an offset of one")) {}

bool store_era::Observe(uint64_t era, const char* source) {
  if (era_ && era <= *era_)
    return era == *era_;
  const std::optional<uint64_t> previous = std::exchange(era_, era);
  era_gauge_.Set(static_cast<double>(era));
  if (!previous)
    return true;
  restores_.Increment(static_cast<double>(era - *previous));
  LogStateChange("state", "store_restored",
                 {{"era", std::to_string(era)},
                  {"previous", std::to_string(*previous)},
                  {"source", source}});
  for (const auto& callback : change_callbacks_)
    callback();
  return era == *era_;
}

bool store_era::ObservePeer(uint64_t era, uint64_t offset) {
  // A peer that has read nothing yet may not know the era.
  if (era == 0 && offset == 0)
    return current() == 0;
  return Observe(era, "peer");
}

void store_era::ReadNewest(store_topic topic, read_callback done) {
  store_->ReadNewest(
      topic,
      [this, alive = std::weak_ptr<bool>(alive_), done = std::move(done)](
          const tl::expected<keyed_batch, store_failure>& result) {
        if (alive.expired())
          return;
        const std::optional<uint64_t> era =
            result ? std::optional<uint64_t>(result->era) : result.error().era;
        if (!era || Observe(*era, "store")) {
          done(result);
          return;
        }
        outdated_answers_.Increment();
        done(tl::unexpected(store_failure{store_error::kUnknown, era}));
      });
}

void store_era::ReadFrom(store_topic topic,
                         uint64_t from_offset,
                         duration wait,
                         read_callback done) {
  store_->ReadFrom(
      topic, from_offset, wait,
      [this, alive = std::weak_ptr<bool>(alive_), first_era = era_,
       done = std::move(done)](
          const tl::expected<keyed_batch, store_failure>& result) {
        if (alive.expired())
          return;
        const std::optional<uint64_t> era =
            result ? std::optional<uint64_t>(result->era) : result.error().era;
        const bool in_force = !era || Observe(*era, "store");
        // Only the offset 0 can be read before an era is known.
        const bool same_offsets = !first_era || first_era == era_;
        if (in_force && (same_offsets || !result)) {
          done(result);
          return;
        }
        outdated_answers_.Increment();
        done(tl::unexpected(store_failure{
            in_force ? store_error::kTrimmed : store_error::kUnknown, era}));
      });
}

void store_era::Put(store_topic topic,
                    const std::string& key,
                    const std::optional<std::string>& value,
                    write_callback done) {
  store_->Put(
      topic, key, value,
      [this, alive = std::weak_ptr<bool>(alive_), done = std::move(done)](
          const tl::expected<written_record, store_failure>& result) {
        if (alive.expired())
          return;
        const std::optional<uint64_t> era =
            result ? std::optional<uint64_t>(result->era) : result.error().era;
        if (!era || Observe(*era, "store")) {
          done(result);
          return;
        }
        // The copy from which the store was restored may lack the record.
        outdated_answers_.Increment();
        done(tl::unexpected(store_failure{store_error::kUnknown, era}));
      });
}

}  // namespace skylarkhoist
