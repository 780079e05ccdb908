/**
 * Prometheus metrics of a process, served in text format at `/metrics`.
 */
#pragma once

#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
} // namespace prometheus

namespace greengageseam {

/** Label names and values of one time series. */
using MetricLabels = std::map<std::string, std::string>;

/**
 * Metrics registry of a process. Copies share the registry. The prefix `greengageseam_` is added to
 * all names.
 */
class Metrics
{
public:
    Metrics();

    /**
     * Increments a counter.
     * @param name name without the prefix
     * @param help one-line description, shown in the text format
     * @param amount increment, at least 0
     */
    void count(const std::string &name, const std::string &help, const MetricLabels &labels = {},
               double amount = 1);
    /** Sets a gauge. */
    void set(const std::string &name, const std::string &help, double value,
             const MetricLabels &labels = {});
    /** Records a duration in seconds in a histogram. */
    void observeSeconds(const std::string &name, const std::string &help, double seconds,
                        const MetricLabels &labels = {});

    /** @returns all metrics in the Prometheus text format */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace greengageseam
