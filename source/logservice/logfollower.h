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
struct LogTailOptions
{
    /** How long a read waits at the log for new records. */
    Duration pollTimeout = std::chrono::seconds(1);
    /** Pause after a failed read; it doubles up to the longest. */
    Duration firstPause = std::chrono::milliseconds(100);
    Duration longestPause = std::chrono::seconds(1);

    auto operator<=>(const LogTailOptions &) const = default;
};

/** Hook that is told whether the log answers. */
using LogHealthObserver = std::function<void(bool answers)>;

/** Follows the log for the life of the process. */
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
    Offset m_nextOffset {1};
};

} // namespace greengageseam
