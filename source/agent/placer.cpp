#include "agent/placer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 256;

} // namespace

Placer::Placer(const asio::any_io_executor &executor, InstanceId instance, ZoneName zone,
               AssignmentObserver observer)
    : m_executor(executor), m_instance(std::move(instance)), m_zone(std::move(zone)),
      m_observer(std::move(observer)),
      m_mailbox(makeMailbox<PlacerCommand>(executor, mailboxCapacity))
{ }

void Placer::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
}

Awaitable<void> Placer::run()
{
    while (std::optional<PlacerCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void Placer::apply(const ConfigView &command)
{
    m_configState = command.state;
    updatePlacement();
}

void Placer::apply(const NeighboursUpdated &command)
{
    m_targets.clear();
    for (const Heartbeat &neighbour : command.neighbours) {
        if (neighbour.kind == BackendKind::Engine && !neighbour.isDraining) {
            m_targets.push_back({neighbour.instance, neighbour.slots});
        }
    }
    updatePlacement();
}

void Placer::apply(const GateStatus &command)
{
    m_isDraining = command.isDraining;
}

void Placer::apply(const AgentReadinessQuery &command)
{
    command.reply->post(m_configState != nullptr && !m_isDraining);
}

void Placer::updatePlacement()
{
    if (m_configState == nullptr || m_targets.empty()) {
        return;
    }
    const Placement placement = placeReplicas(m_configState->table, m_zone, m_targets);
    Assignment assignment;
    assignment.originCopies = m_configState->table.limits.originCopies;
    for (const Digest &manifest : placement.versionsFor(m_instance)) {
        assignment.versions.emplace(manifest, placementOf(manifest, placement));
    }
    m_observer(assignment);
}

VersionPlacement Placer::placementOf(const Digest &manifest, const Placement &placement) const
{
    VersionPlacement result;
    for (const auto &[instance, manifests] : placement.assigned) {
        if (manifests.contains(manifest)) {
            result.members.push_back(instance);
        }
    }
    std::set<ZoneName> zones {m_zone};
    for (const auto &[key, row] : m_configState->table.modelVersions) {
        for (const auto &[zone, replicas] : row.replicas) {
            if (row.manifest == manifest && replicas > 0) {
                zones.insert(zone);
            }
        }
    }
    result.zones.assign(zones.begin(), zones.end());
    return result;
}

} // namespace greengageseam
