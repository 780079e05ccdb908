#include "platform/configkeeper.h"

#include "protocol/configcodec.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;
constexpr std::size_t maxRecent = 128;
constexpr std::size_t maxAlarms = 32;

} // namespace

ConfigKeeper::ConfigKeeper(const asio::any_io_executor &executor,
                           std::vector<ConfigObserver> observers, Log log)
    : m_executor(executor), m_observers(std::move(observers)), m_log(std::move(log)),
      m_mailbox(makeMailbox<ConfigCommand>(executor, mailboxCapacity))
{ }

void ConfigKeeper::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> ConfigKeeper::run()
{
    while (std::optional<ConfigCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void ConfigKeeper::apply(const FoldRecords &command)
{
    const Offset before = m_state.applied;
    const std::size_t alarms = m_alarms.size();
    for (const LogRecord &record : command.records) {
        fold(record);
    }
    if (m_state.applied > before) {
        m_isReady = true;
    }
    if (m_state.applied > before || m_alarms.size() > alarms) {
        publish();
    }
}

void ConfigKeeper::apply(const RestoreSnapshot &command)
{
    const ConfigEvent event = decodeConfigEvent(command.text);
    const auto *snapshot = std::get_if<SnapshotRecord>(&event);
    if (snapshot == nullptr) {
        m_log.warning("config.snapshot-unreadable");
        return;
    }
    const Outcome<ConfigState> restored = settle([&] { return stateOf(*snapshot); });
    if (const Failure *failure = failureOf(restored)) {
        m_log.warning("config.snapshot-refused", {{"reason", failure->detail}});
        return;
    }
    const auto &state = std::get<ConfigState>(restored);
    const bool isNewer = state.applied > m_state.applied;
    if (!isNewer && m_isReady) {
        return;
    }
    if (isNewer) {
        m_state = state;
        m_recent.clear();
    }
    m_isReady = true;
    publish();
}

void ConfigKeeper::apply(const LogReadToEnd &)
{
    if (!m_isReady) {
        m_isReady = true;
        publish();
    }
}

void ConfigKeeper::apply(const LogBeganAnew &command)
{
    raise({ConfigAlarmKind::NewBeginning, m_state.applied, command.detail});
    publish();
}

void ConfigKeeper::fold(const LogRecord &record)
{
    FoldStep step = foldRecord(m_state, {record.offset, decodeConfigEvent(record.text)});
    if (step.state.applied > m_state.applied) {
        m_recent.push_back(record);
        if (m_recent.size() > maxRecent) {
            m_recent.erase(m_recent.begin());
        }
    }
    m_state = std::move(step.state);
    if (step.alarm) {
        raise(*step.alarm);
    }
    if (step.verdict) {
        m_log.info("config.verdict",
                   {{"change", step.verdict->change.text()},
                    {"author", step.verdict->author.text()},
                    {"offset", step.verdict->offset.value},
                    {"verdict", textOf(step.verdict->kind)},
                    {"reason", step.verdict->reason}});
    }
}

void ConfigKeeper::raise(const ConfigAlarm &alarm)
{
    const bool isKnown = std::any_of(m_alarms.begin(), m_alarms.end(), [&](const auto &known) {
        return known.kind == alarm.kind && known.detail == alarm.detail;
    });
    if (isKnown || m_alarms.size() == maxAlarms) {
        return;
    }
    m_alarms.push_back(alarm);
    m_log.error("config.alarm", {{"offset", alarm.offset.value}, {"reason", alarm.detail}});
}

void ConfigKeeper::publish()
{
    m_since = wallNow();
    ConfigView view;
    if (m_isReady) {
        view.state = std::make_shared<const ConfigState>(m_state);
    }
    view.recent = std::make_shared<const std::vector<LogRecord>>(m_recent);
    view.alarms = m_alarms;
    view.since = m_since;
    for (const ConfigObserver &observer : m_observers) {
        observer(view);
    }
}

} // namespace greengageseam
