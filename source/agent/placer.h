/**
 * The task that computes from the configuration and the agents of the zone which model versions
 * belong on this agent's engine.
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

/** The agents of the zone, as reported by an entry. */
struct NeighboursUpdated
{
    std::vector<Heartbeat> neighbours;
};

/** Queries whether the agent has an active configuration and is not draining. */
struct AgentReadinessQuery
{
    MailboxPtr<bool> reply;
};

/** Messages to the task. */
using PlacerCommand = std::variant<ConfigView, NeighboursUpdated, GateStatus, AgentReadinessQuery>;

/** The versions assigned to this agent's engine. */
struct Assignment
{
    /** Each version, with the agents and zones that it is assigned to. */
    std::map<Digest, VersionPlacement> versions;
    /** Maximum number of copies of a version to read from the origin. */
    std::uint32_t originCopies = 1;

    auto operator<=>(const Assignment &) const = default;
};

/** Hook that is called with each computed assignment. It must not block. */
using AssignmentObserver = std::function<void(const Assignment &assignment)>;

/** Recomputes the placement whenever the configuration or the agents of the zone change. */
class Placer : public std::enable_shared_from_this<Placer>
{
public:
    /**
     * @param executor runs the task
     * @param instance instance of this agent
     * @param zone zone of this agent
     * @param observer called with each computed assignment
     */
    Placer(const asio::any_io_executor &executor, InstanceId instance, ZoneName zone,
           AssignmentObserver observer);

    /** @returns the mailbox for commands to this task */
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
    /**
     * Engines of the zone. Empty until an entry has reported the zone; until then nothing is
     * placed.
     */
    std::vector<PlacementTarget> m_targets;
    bool m_isDraining = false;
};

} // namespace greengageseam
