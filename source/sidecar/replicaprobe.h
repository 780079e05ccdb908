/**
 * The task that polls the local backend server for its reports.
 */
#pragma once

#include "net/log.h"
#include "net/replicahooks.h"

#include <functional>
#include <memory>

namespace greengageseam {

/** Hook called after each poll, with an empty optional if it failed. It must not block. */
using ReportObserver = std::function<void(const std::optional<ReplicaReport> &report)>;

/** Polls the local backend server, and logs when it becomes unreachable or reachable again. */
class ReplicaProbe : public std::enable_shared_from_this<ReplicaProbe>
{
public:
    /** @param period time between the starts of two polls; a slower response delays the next */
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
