#include "kernel/metrics.h"

#include <prometheus/text_serializer.h>

namespace skylarkhoist {

metrics::metrics() : registry_(std::make_shared<prometheus::Registry>()) {}

prometheus::Counter& metrics::Counter(std::string_view name,
                                      std::string_view help,
                                      const metric_labels& labels) {
  return prometheus::BuildCounter()
      .Name(std::string(name))
      .Help(std::string(help))
      .Register(*registry_)
      .Add(labels);
}

prometheus::Gauge& metrics::Gauge(std::string_view name,
                                  std::string_view help,
                                  const metric_labels& labels) {
  return prometheus::BuildGauge()
      .Name(std::string(name))
      .Help(std::string(help))
      .Register(*registry_)
      .Add(labels);
}

prometheus::Histogram& metrics::Histogram(std::string_view name,
                                          std::string_view help,
                                          const std::vector<double>& bounds,
                                          const metric_labels& labels) {
  return prometheus::BuildHistogram()
      .Name(std::string(name))
      .Help(std::string(help))
      .Register(*registry_)
      .Add(labels, bounds);
}

std::string metrics::ToText() const {
  return prometheus::TextSerializer().Serialize(registry_->Collect());
}

}  // namespace skylarkhoist
