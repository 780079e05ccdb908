/**
 * The task that works out which versions belong on this agent's engine, from the table and the
 * zone.
 */
#pragma once

#include "agent/enginemanager.h"
#include "agent/gate.h"
#include "agent/weightmanager.h"
#include "core/placement/placement.h"
#include "logservice/configmanager.h"
#include "net/mailbox.h"

#include <functional>
#include <memory>
#include <variant>
#include <vector>

namespace greengageseam {

/** The agents of the zone, as an entry told them. */
struct NeighboursUpdated
{
    std::vector<Heartbeat> neighbours;
};

/** Asks whether the agent has a configuration in force and takes work. */
struct AgentReadinessQuery
{
    MailboxPtr<bool> reply;
};

/** Messages to the task. */
using PlacerCommand = std::variant<ConfigView, NeighboursUpdated, GateStatus, AgentReadinessQuery>;

/** What belongs on this agent's engine, and where else that belongs. */
struct Assignment
{
    std::map<Digest, VersionPlacement> versions;
    /** How many copies of a version may be read from the origin. */
    std::uint32_t originCopies = 1;

    auto operator<=>(const Assignment &) const = default;
};

/** Hook that is told which versions belong here; it must not wait. */
using AssignmentObserver = std::function<void(const Assignment &assignment)>;

/** Places versions anew whenever the table or the zone changes. */
class Placer : public std::enable_shared_from_this<Placer>
{
public:
    Placer(const asio::any_io_executor &executor, InstanceId instance, ZoneName zone,
           AssignmentObserver observer);

    /** @returns where to send commands */
    const MailboxPtr<PlacerCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    Awaitable<void> run();
    void apply(const ConfigView &command);
    void apply(const NeighboursUpdated &command);
    void apply(const GateStatus &command);
    void apply(const AgentReadinessQuery &command);
    void updatePlacement();
    VersionPlacement placementOf(const Digest &manifest, const Placement &placement) const;

    asio::any_io_executor m_executor;
    InstanceId m_instance;
    ZoneName m_zone;
    AssignmentObserver m_observer;
    MailboxPtr<PlacerCommand> m_mailbox;
    std::shared_ptr<const ConfigState> m_configState;
    /** Invariant: empty until an entry told of the zone; then nothing is placed. */
    std::vector<PlacementTarget> m_targets;
    bool m_isDraining = false;
};

} // namespace greengageseam
