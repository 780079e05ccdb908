/**
 * The task that follows the configuration log and sends its records to the ConfigManager.
 */
#pragma once

#include "logservice/configkeeper.h"
#include "logservice/logclient.h"
#include "net/log.h"

#include <memory>

namespace greengageseam {

/** Timing of a LogFollower. */
struct LogTailOptions
{
    /** Long-poll timeout: how long the log service holds a read until there are new records. */
    Duration wait = std::chrono::seconds(1);
    /** Delay after a failed read; doubles with each further failure, up to the maximum. */
    Duration firstPause = std::chrono::milliseconds(100);
    Duration longestPause = std::chrono::seconds(1);

    auto operator<=>(const LogTailOptions &) const = default;
};

/** Hook called after each read with true if the log responded; must not block. */
using LogHealthObserver = std::function<void(bool answers)>;

/** Follows the configuration log for the lifetime of the process. */
class LogTail : public std::enable_shared_from_this<LogTail>
{
public:
    LogTail(const asio::any_io_executor &executor, LogTailOptions options, ReadLog read,
            MailboxPtr<ConfigCommand> keeper, LogHealthObserver health, Log log);

    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    Awaitable<void> forward(LogBatch batch);

    asio::any_io_executor m_executor;
    LogTailOptions m_options;
    ReadLog m_read;
    MailboxPtr<ConfigCommand> m_keeper;
    LogHealthObserver m_health;
    Log m_log;
    Offset m_next {1};
};

} // namespace greengageseam
