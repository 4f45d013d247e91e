#ifndef KERNEL_METRICS_H_
#define KERNEL_METRICS_H_

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkhoist {

using metric_labels = std::map<std::string, std::string>;

// The counters, gauges and histograms of a node. Each function returns an
// existing metric, or creates it with value 0. The references stay valid as
// long as this object exists, so that hot paths can look up their metrics once.
// Label values must come from bounded sets.
class metrics {
 public:
  metrics();

  prometheus::Counter& Counter(std::string_view name,
                               std::string_view help,
                               const metric_labels& labels = {});
  prometheus::Gauge& Gauge(std::string_view name,
                           std::string_view help,
                           const metric_labels& labels = {});
  prometheus::Histogram& Histogram(std::string_view name,
                                   std::string_view help,
                                   const std::vector<double>& bounds,
                                   const metric_labels& labels = {});

  // Returns all metrics in the Prometheus text format.
  std::string ToText() const;

 private:
  std::shared_ptr<prometheus::Registry> registry_;
};

}  // namespace skylarkhoist

#endif  // KERNEL_METRICS_H_
