/**
 * Metrics of a process, served as text at `/metrics`.
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

/** Labels of one time series. */
using MetricLabels = std::map<std::string, std::string>;

/** The registry of a process; all names begin with `greengageseam_`. */
class Metrics
{
public:
    Metrics();

    /** Adds to a counter. @param name without the prefix @param help one line for people */
    void count(const std::string &name, const std::string &help, const MetricLabels &labels = {},
               double amount = 1);
    /** Sets a gauge. */
    void set(const std::string &name, const std::string &help, double value,
             const MetricLabels &labels = {});
    /** Adds a time in seconds to a histogram. */
    void observeSeconds(const std::string &name, const std::string &help, double seconds,
                        const MetricLabels &labels = {});

    /** @returns all metrics in the text format of Prometheus */
    std::string text() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
};

} // namespace greengageseam
