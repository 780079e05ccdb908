/**
 * Decision when a snapshot is due, and its append after a random delay.
 */
#include "logservice/snapshotwriter.h"

#include "net/clock.h"
#include "net/ticker.h"
#include "protocol/configcodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;

} // namespace

SnapshotWriter::SnapshotWriter(const asio::any_io_executor &executor, SnapshotWriterOptions options,
                               AppendToLog append, DecideSnapshot decide, Log log)
    : m_executor(executor), m_options(options), m_append(std::move(append)),
      m_decide(std::move(decide)), m_log(std::move(log)),
      m_mailbox(makeMailbox<SnapshotCommand>(executor, mailboxCapacity)),
      m_lastSnapshotAt(monotonicNow())
{ }

void SnapshotWriter::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, m_options.checkInterval, [mailbox = m_mailbox] {
        mailbox->post(SnapshotTick {});
        return true;
    });
}

Awaitable<void> SnapshotWriter::run()
{
    while (std::optional<SnapshotCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void SnapshotWriter::apply(const ConfigView &command)
{
    if (command.snapshotLag.lastIncluded > m_view.snapshotLag.lastIncluded) {
        m_lastSnapshotAt = monotonicNow();
    }
    m_view = command;
}

void SnapshotWriter::apply(const SnapshotTick &)
{
    const Instant now = monotonicNow();
    if (m_isAppending || !isDue()) {
        m_appendAt.reset();
        return;
    }
    if (!m_appendAt) {
        const auto n = static_cast<std::uint64_t>(m_options.maxRandomDelay.count()) + 1;
        m_appendAt = now + Duration(static_cast<Duration::rep>(randomNumber() % n));
    }
    if (now < *m_appendAt) {
        return;
    }
    m_isAppending = true;
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), text = encodeSnapshot(makeSnapshot(*m_view.state))] {
                return self->append(text);
            },
            asio::detached);
}

void SnapshotWriter::apply(const SnapshotAppended &command)
{
    m_isAppending = false;
    m_appendAt.reset();
    if (const Failure *failure = failureOf(command.offset)) {
        m_log.warning("config.snapshot-failed", {{"reason", failure->detail}});
        return;
    }
    m_log.info("config.snapshot", {{"offset", std::get<Offset>(command.offset).value}});
}

bool SnapshotWriter::isDue() const
{
    if (!m_view.isReady() || m_view.logStatus != LogStatus::Following) {
        return false;
    }
    SnapshotLag lag = m_view.snapshotLag;
    lag.age = monotonicNow() - m_lastSnapshotAt;
    return m_decide(lag);
}

Awaitable<void> SnapshotWriter::append(std::string text)
{
    Outcome<Offset> offset = co_await m_append(configStream, text);
    SnapshotCommand appended = SnapshotAppended {std::move(offset)};
    co_await m_mailbox->send(std::move(appended));
}

} // namespace greengageseam
