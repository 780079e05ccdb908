/**
 * The task that follows the configuration log and sends its records to the ConfigManager.
 */
#pragma once

#include "logservice/configmanager.h"
#include "logservice/logclient.h"
#include "net/log.h"

#include <memory>

namespace greengageseam {

/** Timing of a LogFollower. */
struct LogFollowerOptions
{
    /** Long-poll timeout: how long the log service holds a read until there are new records. */
    Duration pollTimeout = std::chrono::seconds(1);
    /** Delay after a failed read; doubles with each further failure, up to the maximum. */
    Duration minRetryDelay = std::chrono::milliseconds(100);
    Duration maxRetryDelay = std::chrono::seconds(1);

    auto operator<=>(const LogFollowerOptions &) const = default;
};

/** Hook called after each read with true if the log responded; must not block. */
using OnLogHealth = std::function<void(bool isAvailable)>;

/** Follows the configuration log for the lifetime of the process. */
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
