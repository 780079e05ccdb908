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
    m_observer(placeReplicas(m_state->table, m_zone, m_sites).at(m_instance));
}

} // namespace greengageseam
