/**
 * The read loop of the LogFollower.
 */
#include "logservice/logfollower.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

LogFollower::LogFollower(const asio::any_io_executor &executor, LogFollowerOptions options,
                         ReadLog read, MailboxPtr<ConfigCommand> configManager,
                         OnLogHealth onHealth, Log log)
    : m_executor(executor), m_options(options), m_read(std::move(read)),
      m_configManager(std::move(configManager)), m_onHealth(std::move(onHealth)),
      m_log(std::move(log))
{ }

void LogFollower::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> LogFollower::run()
{
    Timer retryTimer(m_executor);
    Duration retryDelay = m_options.minRetryDelay;
    Duration pollTimeout {};
    while (true) {
        LogQuery query;
        query.stream = configStream;
        query.fromOffset = m_nextOffset;
        query.pollTimeout = pollTimeout;
        Outcome<LogBatch> batch = co_await m_read(query);
        const Failure *failure = failureOf(batch);
        m_onHealth(failure == nullptr);
        if (failure != nullptr) {
            m_log.warning("log.unavailable", {{"reason", failure->detail}});
            retryTimer.expires_after(retryDelay);
            co_await retryTimer.async_wait(asTuple);
            retryDelay = std::min(2 * retryDelay, m_options.maxRetryDelay);
            continue;
        }
        retryDelay = m_options.minRetryDelay;
        pollTimeout = m_options.pollTimeout;
        co_await forward(std::get<LogBatch>(std::move(batch)));
    }
}

Awaitable<void> LogFollower::forward(LogBatch batch)
{
    if (batch.records.empty()) {
        m_nextOffset = std::max(m_nextOffset, batch.firstOffset);
    } else {
        m_nextOffset = Offset {batch.records.back().offset.value + 1};
    }
    LogRead read;
    read.window = {std::move(batch.logId), batch.firstOffset, batch.nextOffset};
    read.records = std::move(batch.records);
    ConfigCommand command = std::move(read);
    co_await m_configManager->send(std::move(command));
}

} // namespace greengageseam
