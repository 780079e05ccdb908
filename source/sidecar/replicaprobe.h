/**
 * The task that asks the backend server beside this agent for its report, again and again.
 */
#pragma once

#include "net/log.h"
#include "net/replicahooks.h"

#include <functional>
#include <memory>

namespace greengageseam {

/** Hook that is told of each report; nothing if there was none. It must not wait. */
using ReportObserver = std::function<void(const std::optional<ReplicaReport> &report)>;

/** Asks for reports. */
class ReplicaProbe : public std::enable_shared_from_this<ReplicaProbe>
{
public:
    /** @param period between two reports */
    ReplicaProbe(const asio::any_io_executor &executor, ReplicaHooks hooks, Duration period,
                 ReportObserver observer, Log log);

    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void handleResult(const Outcome<ReplicaReport> &result);

    asio::any_io_executor m_executor;
    ReplicaHooks m_hooks;
    Duration m_period;
    ReportObserver m_observer;
    Log m_log;
    bool m_isLost = false;
};

} // namespace greengageseam
