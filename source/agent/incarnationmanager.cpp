#include "agent/incarnationmanager.h"

#include "net/clock.h"
#include "protocol/jsontext.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace json = boost::json;

namespace {

constexpr std::size_t mailboxCapacity = 16;
constexpr auto retryDelay = std::chrono::seconds(1);
constexpr std::uint32_t maxRecordsPerRead = 1000;

} // namespace

IncarnationManager::IncarnationManager(const asio::any_io_executor &executor, InstanceId instance,
                                       IncarnationHooks hooks, Log log)
    : m_executor(executor), m_instance(std::move(instance)), m_hooks(std::move(hooks)),
      m_log(std::move(log)), m_mailbox(makeMailbox<IncarnationCommand>(executor, mailboxCapacity)),
      m_processId(makeUniqueId())
{ }

void IncarnationManager::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> IncarnationManager::run()
{
    co_await registerIncarnation();
    while (std::optional<IncarnationCommand> command = co_await m_mailbox->receive()) {
        if (const auto *ending = std::get_if<EndIncarnation>(&*command)) {
            EndIncarnation copy = *ending;
            co_await appendEnd(std::move(copy));
        } else {
            co_await check();
        }
    }
}

/**
 * Registers this process, and retries until it succeeds. The incarnation number is valid only after
 * all records before it have been read, because they may show a predecessor.
 */
Awaitable<void> IncarnationManager::registerIncarnation()
{
    const Offset number = co_await appendRegistration();
    const Instant registeredAt = monotonicNow();
    Timer timer(m_executor);
    while (!co_await readToEnd()) {
        timer.expires_after(retryDelay);
        co_await timer.async_wait(asTuple);
    }
    m_incarnationNumber = number;
    const bool hasPredecessor =
            m_hasGap || (m_otherProcesses.newest.value != 0 && !m_otherProcesses.hasEnded);
    m_hasGap = false;
    m_log.info("agent.incarnation", {{"number", number.value}, {"hasPredecessor", hasPredecessor}});
    m_hooks.observer(IncarnationGranted {number, hasPredecessor, registeredAt});
    m_hooks.observer(IncarnationsChecked {registeredAt, m_otherProcesses.newest});
}

/**
 * Appends the registration, and retries until it succeeds. If the response to an append is lost,
 * the process is registered twice, which is harmless: the higher number is equally valid.
 */
Awaitable<Offset> IncarnationManager::appendRegistration()
{
    const std::string text = json::serialize(
            json::object {{"instance", m_instance.text()}, {"process", m_processId}});
    Timer timer(m_executor);
    while (true) {
        const Outcome<Offset> appended = co_await m_hooks.append(incarnationStream, text);
        if (const auto *number = std::get_if<Offset>(&appended)) {
            co_return *number;
        }
        timer.expires_after(retryDelay);
        co_await timer.async_wait(asTuple);
    }
}

Awaitable<void> IncarnationManager::check()
{
    const Instant readStart = monotonicNow();
    const bool isRead = co_await readToEnd();
    if (!isRead) {
        m_hooks.observer(IncarnationsUnreadable {});
    } else if (m_hasGap) {
        co_await registerIncarnation();
    } else {
        m_hooks.observer(IncarnationsChecked {readStart, m_otherProcesses.newest});
    }
}

Awaitable<void> IncarnationManager::appendEnd(EndIncarnation command)
{
    const std::string text = json::serialize(json::object {
            {"instance", m_instance.text()}, {"process", m_processId}, {"ended", true}});
    const Outcome<Offset> appended = co_await m_hooks.append(incarnationStream, text);
    command.reply->post(failureOf(appended) == nullptr);
}

/** Reads and applies all new records. @returns false if the log does not respond */
Awaitable<bool> IncarnationManager::readToEnd()
{
    while (true) {
        LogQuery query {incarnationStream, m_nextOffset, maxRecordsPerRead, {}};
        const Outcome<LogBatch> read = co_await m_hooks.read(std::move(query));
        if (failureOf(read) != nullptr) {
            co_return false;
        }
        const auto &batch = std::get<LogBatch>(read);
        m_hasGap = m_hasGap || (m_incarnationNumber.value != 0 && batch.firstOffset > m_nextOffset);
        for (const LogRecord &record : batch.records) {
            applyRecord(record);
            m_nextOffset = Offset {record.offset.value + 1};
        }
        if (batch.records.empty() || m_nextOffset >= batch.nextOffset) {
            co_return true;
        }
    }
}

void IncarnationManager::applyRecord(const LogRecord &record)
{
    const Outcome<json::object> parsed = toOutcome([&] { return parseObject(record.text); });
    const auto *object = std::get_if<json::object>(&parsed);
    if (object == nullptr) {
        return;
    }
    const auto hasText = [&](std::string_view key, std::string_view value) {
        const json::value *found = object->if_contains(key);
        return found != nullptr && found->is_string() && found->get_string() == value;
    };
    if (hasText("instance", m_instance.text()) && !hasText("process", m_processId)) {
        m_otherProcesses = {record.offset, object->contains("ended")};
    }
}

} // namespace greengageseam
