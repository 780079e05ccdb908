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
    m_state = command.state;
    place();
}

void Placer::apply(const NeighboursSeen &command)
{
    m_sites.clear();
    for (const Heartbeat &neighbour : command.neighbours) {
        if (neighbour.kind == BackendKind::Engine && !neighbour.isDraining) {
            m_sites.push_back({neighbour.instance, neighbour.slots});
        }
    }
    place();
}

void Placer::apply(const GateStatus &command)
{
    m_isDraining = command.isDraining;
}

void Placer::apply(const ReadyAsked &command)
{
    command.reply->post(m_state != nullptr && !m_isDraining);
}

void Placer::place()
{
    if (m_state == nullptr || m_sites.empty()) {
        return;
    }
    const Placement placement = placeReplicas(m_state->table, m_zone, m_sites);
    Assignment assignment;
    assignment.originCopies = m_state->table.limits.originCopies;
    for (const Digest &manifest : placement.versionsFor(m_instance)) {
        assignment.versions.emplace(manifest, placesOf(manifest, placement));
    }
    m_observer(assignment);
}

VersionPlacement Placer::placesOf(const Digest &manifest, const Placement &placement) const
{
    VersionPlacement places;
    for (const auto &[instance, manifests] : placement.assigned) {
        if (manifests.contains(manifest)) {
            places.members.push_back(instance);
        }
    }
    std::set<ZoneName> zones {m_zone};
    for (const auto &[key, row] : m_state->table.modelVersions) {
        for (const auto &[zone, replicas] : row.replicas) {
            if (row.manifest == manifest && replicas > 0) {
                zones.insert(zone);
            }
        }
    }
    places.zones.assign(zones.begin(), zones.end());
    return places;
}

} // namespace greengageseam
