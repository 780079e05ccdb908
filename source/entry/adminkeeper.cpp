/**
 * Derives the lag of agents and the progress of rollouts from configuration and zone updates.
 */
#include "entry/adminkeeper.h"

#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 1024;
constexpr std::size_t maxWaiting = 1024;

} // namespace

std::size_t countServing(const FleetView &fleet, const Digest &manifest)
{
    return static_cast<std::size_t>(
            std::count_if(fleet.members.begin(), fleet.members.end(), [&](const Member &member) {
                const auto &serving = member.last.serving;
                return member.phase == MemberPhase::Usable
                        && std::find(serving.begin(), serving.end(), manifest) != serving.end();
            }));
}

std::uint64_t originBytes(const FleetView &fleet)
{
    std::uint64_t sum = 0;
    for (const Member &member : fleet.members) {
        sum += member.last.originBytes;
    }
    return sum;
}

std::uint32_t wantedIn(const Row &row, const ZoneName &zone)
{
    const auto it = row.replicas.find(zone);
    return it == row.replicas.end() ? 0 : it->second;
}

AdminKeeper::AdminKeeper(const asio::any_io_executor &executor, ZoneName zone)
    : m_executor(executor), m_zone(std::move(zone)),
      m_mailbox(makeMailbox<AdminCommand>(executor, mailboxCapacity))
{ }

void AdminKeeper::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> AdminKeeper::run()
{
    while (std::optional<AdminCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void AdminKeeper::apply(const ConfigView &command)
{
    m_view.config = command;
    if (!command.isReady()) {
        return;
    }
    observe();
    std::erase_if(m_waiting, [&](const VerdictAsked &waiting) {
        const Verdict *verdict = command.state->verdictOn(waiting.change);
        return verdict != nullptr && (waiting.reply->post(*verdict), true);
    });
}

void AdminKeeper::apply(const FleetView &command)
{
    m_view.fleet = command;
    observe();
}

void AdminKeeper::apply(const LogHealth &command)
{
    m_view.logAnswers = command.answers;
    if (command.answers) {
        m_view.logSilentSince.reset();
    } else if (!m_view.logSilentSince) {
        m_view.logSilentSince = wallNow();
    }
}

/** Updates which agents lag behind the configuration, and the progress of rollouts. */
void AdminKeeper::observe()
{
    if (!m_view.config.isReady()) {
        return;
    }
    const WallTime now = wallNow();
    const ConfigState &state = *m_view.config.state;
    std::map<InstanceId, WallTime> behind;
    for (const Member &member : m_view.fleet.members) {
        if (member.last.appliedConfig < state.applied) {
            const auto known = m_view.behindSince.find(member.last.instance);
            behind.emplace(member.last.instance,
                           known == m_view.behindSince.end() ? now : known->second);
        }
    }
    m_view.behindSince = std::move(behind);
    std::erase_if(m_view.rollouts, [&](const auto &entry) {
        return state.table.rowWithManifest(entry.first) == nullptr;
    });
    for (const auto &[key, row] : state.table.rows) {
        observeRollout(row, now);
    }
}

void AdminKeeper::observeRollout(const Row &row, WallTime now)
{
    const bool isShort = countServing(m_view.fleet, row.manifest) < wantedIn(row, m_zone);
    RolloutClock &clock = m_view.rollouts[row.manifest];
    if (isShort && !clock.shortSince) {
        clock.shortSince = now;
        clock.originBytesBefore = originBytes(m_view.fleet);
    } else if (!isShort && clock.shortSince) {
        clock.took = now - *clock.shortSince;
        clock.shortSince.reset();
    }
}

void AdminKeeper::apply(const AdminViewAsked &command)
{
    command.reply->post(m_view);
}

void AdminKeeper::apply(const VerdictAsked &command)
{
    const Verdict *verdict = nullptr;
    if (m_view.config.isReady()) {
        verdict = m_view.config.state->verdictOn(command.change);
    }
    if (verdict != nullptr) {
        command.reply->post(*verdict);
        return;
    }
    if (m_waiting.size() == maxWaiting) {
        m_waiting.erase(m_waiting.begin());
    }
    m_waiting.push_back(command);
}

} // namespace greengageseam
