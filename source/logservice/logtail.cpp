/**
 * The read loop of the LogFollower.
 */
#include "logservice/logtail.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

LogTail::LogTail(const asio::any_io_executor &executor, LogTailOptions options, ReadLog read,
                 MailboxPtr<ConfigCommand> keeper, LogHealthObserver health, Log log)
    : m_executor(executor), m_options(options), m_read(std::move(read)),
      m_keeper(std::move(keeper)), m_health(std::move(health)), m_log(std::move(log))
{ }

void LogTail::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> LogTail::run()
{
    asio::steady_timer pause(m_executor);
    Duration next = m_options.firstPause;
    Duration wait {};
    while (true) {
        LogQuery query;
        query.stream = configStream;
        query.from = m_next;
        query.wait = wait;
        Outcome<LogBatch> batch = co_await m_read(query);
        const Failure *failure = failureOf(batch);
        m_health(failure == nullptr);
        if (failure != nullptr) {
            m_log.warning("log.unavailable", {{"reason", failure->detail}});
            pause.expires_after(next);
            co_await pause.async_wait(asTuple);
            next = std::min(2 * next, m_options.longestPause);
            continue;
        }
        next = m_options.firstPause;
        wait = m_options.wait;
        co_await forward(std::get<LogBatch>(std::move(batch)));
    }
}

Awaitable<void> LogTail::forward(LogBatch batch)
{
    if (batch.records.empty()) {
        m_next = std::max(m_next, batch.first);
    } else {
        m_next = Offset {batch.records.back().offset.value + 1};
    }
    LogRead read;
    read.window = {std::move(batch.logId), batch.first, batch.next};
    read.records = std::move(batch.records);
    ConfigCommand command = std::move(read);
    co_await m_keeper->send(std::move(command));
}

} // namespace greengageseam
