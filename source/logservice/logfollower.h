/**
 * The task that follows the configuration log and sends what it reads to the keeper.
 */
#pragma once

#include "logservice/configmanager.h"
#include "logservice/logclient.h"
#include "net/log.h"

#include <memory>

namespace greengageseam {

/** How the tail waits. */
struct LogFollowerOptions
{
    /** How long a read waits at the log for new records. */
    Duration pollTimeout = std::chrono::seconds(1);
    /** Pause after a failed read; it doubles up to the longest. */
    Duration minRetryDelay = std::chrono::milliseconds(100);
    Duration maxRetryDelay = std::chrono::seconds(1);

    auto operator<=>(const LogFollowerOptions &) const = default;
};

/** Hook that is told whether the log answers. */
using OnLogHealth = std::function<void(bool isAvailable)>;

/** Follows the log for the life of the process. */
class LogFollower : public std::enable_shared_from_this<LogFollower>
{
public:
    LogFollower(const asio::any_io_executor &executor, LogFollowerOptions options, ReadLog read,
                MailboxPtr<ConfigCommand> configManager, OnLogHealth onHealth, Log log);

    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    Awaitable<void> forward(LogBatch batch);

    asio::any_io_executor m_executor;
    LogFollowerOptions m_options;
    ReadLog m_read;
    MailboxPtr<ConfigCommand> m_configManager;
    OnLogHealth m_onHealth;
    Log m_log;
    Offset m_nextOffset {1};
};

} // namespace greengageseam
