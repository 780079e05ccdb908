/**
 * Derives the lag of agents and the progress of rollouts from configuration and zone updates.
 */
#include "entry/adminmanager.h"

#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 1024;
constexpr std::size_t maxPendingVerdicts = 1024;

} // namespace

std::size_t countServing(const FleetView &fleet, const Digest &manifest)
{
    return static_cast<std::size_t>(
            std::count_if(fleet.members.begin(), fleet.members.end(), [&](const Member &member) {
                const auto &serving = member.lastHeartbeat.serving;
                return member.phase == MemberPhase::Usable
                        && std::find(serving.begin(), serving.end(), manifest) != serving.end();
            }));
}

std::uint64_t totalOriginBytes(const FleetView &fleet)
{
    std::uint64_t sum = 0;
    for (const Member &member : fleet.members) {
        sum += member.lastHeartbeat.originBytes;
    }
    return sum;
}

std::uint32_t wantedReplicas(const ModelVersion &modelVersion, const ZoneName &zone)
{
    const auto it = modelVersion.replicas.find(zone);
    return it == modelVersion.replicas.end() ? 0 : it->second;
}

AdminManager::AdminManager(const asio::any_io_executor &executor, ZoneName zone)
    : m_executor(executor), m_zone(std::move(zone)),
      m_mailbox(makeMailbox<AdminCommand>(executor, mailboxCapacity))
{ }

void AdminManager::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> AdminManager::run()
{
    while (std::optional<AdminCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void AdminManager::apply(const ConfigView &command)
{
    m_view.config = command;
    if (!command.isReady()) {
        return;
    }
    updateProgress();
    std::erase_if(m_pendingVerdicts, [&](const VerdictQuery &query) {
        const Verdict *verdict = command.state->verdictFor(query.change);
        return verdict != nullptr && (query.reply->post(*verdict), true);
    });
}

void AdminManager::apply(const FleetView &command)
{
    m_view.fleet = command;
    updateProgress();
}

void AdminManager::apply(const LogHealth &command)
{
    m_view.isLogAvailable = command.isAvailable;
    if (command.isAvailable) {
        m_view.logUnavailableSince.reset();
    } else if (!m_view.logUnavailableSince) {
        m_view.logUnavailableSince = wallNow();
    }
}

/** Updates which agents lag behind the configuration, and the progress of rollouts. */
void AdminManager::updateProgress()
{
    if (!m_view.config.isReady()) {
        return;
    }
    const WallTime now = wallNow();
    const ConfigState &state = *m_view.config.state;
    std::map<InstanceId, WallTime> behind;
    for (const Member &member : m_view.fleet.members) {
        if (member.lastHeartbeat.appliedConfig < state.applied) {
            const auto previous = m_view.behindSince.find(member.lastHeartbeat.instance);
            behind.emplace(member.lastHeartbeat.instance,
                           previous == m_view.behindSince.end() ? now : previous->second);
        }
    }
    m_view.behindSince = std::move(behind);
    std::erase_if(m_view.rollouts, [&](const auto &entry) {
        return state.table.modelVersionWithManifest(entry.first) == nullptr;
    });
    for (const auto &[key, modelVersion] : state.table.modelVersions) {
        updateRollout(modelVersion, now);
    }
}

void AdminManager::updateRollout(const ModelVersion &modelVersion, WallTime now)
{
    const bool isUnderReplicated = countServing(m_view.fleet, modelVersion.manifest)
            < wantedReplicas(modelVersion, m_zone);
    RolloutProgress &progress = m_view.rollouts[modelVersion.manifest];
    if (isUnderReplicated && !progress.underReplicatedSince) {
        progress.underReplicatedSince = now;
        progress.originBytesAtStart = totalOriginBytes(m_view.fleet);
    } else if (!isUnderReplicated && progress.underReplicatedSince) {
        progress.lastDuration = now - *progress.underReplicatedSince;
        progress.underReplicatedSince.reset();
    }
}

void AdminManager::apply(const AdminViewQuery &command)
{
    command.reply->post(m_view);
}

void AdminManager::apply(const VerdictQuery &command)
{
    const Verdict *verdict = nullptr;
    if (m_view.config.isReady()) {
        verdict = m_view.config.state->verdictFor(command.change);
    }
    if (verdict != nullptr) {
        command.reply->post(*verdict);
        return;
    }
    if (m_pendingVerdicts.size() == maxPendingVerdicts) {
        m_pendingVerdicts.erase(m_pendingVerdicts.begin());
    }
    m_pendingVerdicts.push_back(command);
}

} // namespace greengageseam
