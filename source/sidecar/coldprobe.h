/**
 * The task that asks the local backend server for how long it stays cold.
 */
#pragma once

#include "net/log.h"
#include "net/replicahooks.h"

#include <functional>
#include <memory>
#include <string>

namespace greengageseam {

/** Hook called with the remaining cold time of each answer. It must not block. */
using ColdLeftObserver = std::function<void(Duration left)>;

/**
 * Polls the health of the local backend server. It sees a server that becomes cold in the midst of
 * traffic before the list of backend servers shows it.
 */
class ColdProbe : public std::enable_shared_from_this<ColdProbe>
{
public:
    ColdProbe(const asio::any_io_executor &executor, ReplicaHooks hooks, ColdLeftObserver observer,
              Log log);

    /** Sets the path of the health request, and starts the task; an empty path pauses it. */
    void setHealthPath(std::string path);

private:
    Awaitable<void> run();
    void handleResult(const Outcome<Duration> &result);

    asio::any_io_executor m_executor;
    ReplicaHooks m_hooks;
    ColdLeftObserver m_observer;
    Log m_log;
    std::string m_healthPath;
    bool m_isRunning = false;
    bool m_isLost = false;
};

} // namespace greengageseam
