#include "net/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace greengageseam {

namespace {

constexpr const char *prefix = "greengageseam_";

const prometheus::Histogram::BucketBoundaries secondsBuckets {0.001, 0.003, 0.01, 0.03, 0.1,
                                                              0.3,   1.1,   3.0,  10.0, 60.0};

} // namespace

Metrics::Metrics() : m_registry(std::make_shared<prometheus::Registry>()) { }

void Metrics::count(const std::string &name, const std::string &help, const MetricLabels &labels,
                    double amount)
{
    auto &family = prometheus::BuildCounter().Name(prefix + name).Help(help).Register(*m_registry);
    family.Add(labels).Increment(amount);
}

void Metrics::set(const std::string &name, const std::string &help, double value,
                  const MetricLabels &labels)
{
    auto &family = prometheus::BuildGauge().Name(prefix + name).Help(help).Register(*m_registry);
    family.Add(labels).Set(value);
}

void Metrics::observeSeconds(const std::string &name, const std::string &help, double seconds,
                             const MetricLabels &labels)
{
    auto &family =
            prometheus::BuildHistogram().Name(prefix + name).Help(help).Register(*m_registry);
    family.Add(labels, secondsBuckets).Observe(seconds);
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace greengageseam
