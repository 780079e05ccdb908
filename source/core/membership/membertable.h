/**
 * Membership of a zone: heartbeats of the agents, and the failure detector that suspects and
 * removes silent agents.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace greengageseam {

/** Kind of backend server behind an agent. */
enum class BackendKind { Engine, Service };

/** State of an agent and its backend server, as the agent reports it periodically. */
struct Heartbeat
{
    InstanceId instance;
    ZoneName zone;
    Address peerAddress;
    BackendKind kind = BackendKind::Engine;
    /** The plain service behind the agent; empty for an engine. */
    ServiceName service;
    /** Fencing token of the agent's incarnation; 0 while it has none. */
    Offset incarnation;
    /** Increases with each heartbeat of one process, so that delayed heartbeats are detected. */
    std::uint64_t sequence = 0;
    /** Start of the process. A later start takes precedence over any sequence number. */
    WallTime startedAt;
    /** The agent's monotonic clock at the time of sending; only the agent itself compares it. */
    Instant clock;
    bool isDraining = false;
    /** Manifests of the versions that the engine reports as serving. */
    std::vector<Digest> serving;
    /** Manifests whose weights the agent stores, complete and verified. */
    std::vector<Digest> stored;
    /** How many versions the engine can hold at once. */
    std::uint32_t slots = 1;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    Offset appliedConfig;
    Digest tableDigest;
    std::uint64_t originBytes = 0;
    /** Latest problem of the agent, for the report; empty if there is none. */
    std::string problem;

    auto operator<=>(const Heartbeat &) const = default;
};

/** Whether a member may receive new requests. */
enum class MemberPhase { Usable, Suspect, Draining };

/** An agent, as its latest heartbeat describes it. */
struct Member
{
    Heartbeat lastHeartbeat;
    Instant receivedAt;
    MemberPhase phase = MemberPhase::Usable;

    bool operator==(const Member &) const = default;
};

/** Time limits of membership. */
struct MemberTableOptions
{
    /** Time without a heartbeat after which a member gets no new requests. */
    Duration suspectAfter = std::chrono::milliseconds(2500);
    /** Time without a heartbeat after which a member is removed. */
    Duration removeAfter = std::chrono::seconds(60);
    /**
     * Extra delay granted to heartbeats that another entry relays, so that the relay alone does not
     * cause suspicion.
     */
    Duration relayAllowance = std::chrono::seconds(1);

    MemberTableOptions withSuspectAfter(Duration value) const;
    MemberTableOptions withRemoveAfter(Duration value) const;
    MemberTableOptions withRelayAllowance(Duration value) const;
    auto operator<=>(const MemberTableOptions &) const = default;
};

/** Sender from which a heartbeat was received. */
enum class HeartbeatSource { Agent, PeerEntry };

/** An operator's order that one process of an instance accepts no more requests. */
struct DrainOrder
{
    InstanceId instance;
    /** Start of the process to drain; its successor with the same identifier is not affected. */
    WallTime startedAt;

    auto operator<=>(const DrainOrder &) const = default;
};

/** An instance that the platform's list marks as leaving, and since when. */
struct LeavingInstance
{
    InstanceId instance;
    WallTime since;

    auto operator<=>(const LeavingInstance &) const = default;
};

/**
 * The members of one zone, as one process sees them.
 *
 * Each step consumes the table and returns the changed one, so that no member is copied:
 * `table = std::move(table).withHeartbeat(...)`.
 */
class MemberTable
{
public:
    explicit MemberTable(MemberTableOptions options = {});

    /** @returns the members by identifier */
    const std::map<InstanceId, Member> &members() const { return m_members; }
    /** @returns the known drain orders, by instance */
    const std::map<InstanceId, DrainOrder> &drainOrders() const { return m_drainOrders; }
    /** @returns the instances that the platform's list marks as leaving */
    std::vector<LeavingInstance> leavingInstances() const;
    /** @returns whether a drain order applies to the process that sent @p heartbeat */
    bool hasDrainOrder(const Heartbeat &heartbeat) const;

    /** @returns the table after a heartbeat; one older than the last changes nothing */
    MemberTable withHeartbeat(const Heartbeat &heartbeat, Instant now,
                              HeartbeatSource source = HeartbeatSource::Agent) &&;

    /** @returns the table at a later time: silent members are suspected, then removed */
    MemberTable advancedTo(Instant now) &&;

    /**
     * Applies the platform's list. A mark applies only to processes that started before the list
     * first marked their instance as leaving, and only as long as the list keeps the mark.
     * @param leaving the instances that the list marks as leaving
     */
    MemberTable withLeavingList(const std::set<InstanceId> &leaving, WallTime now) &&;

    /**
     * Applies a mark that another entry has seen, perhaps earlier than this process. The earlier
     * time applies, so that a successor that started in between stays usable. Has no effect while
     * the list that this process has read does not mark the instance.
     */
    MemberTable withLeavingInstance(const LeavingInstance &leaving) &&;

    /** @returns the table after a drain order that this or another entry received */
    MemberTable withDrainOrder(const DrainOrder &order) &&;

    bool operator==(const MemberTable &) const = default;

private:
    MemberPhase phaseOf(const Heartbeat &heartbeat) const;
    void updatePhases();

    MemberTableOptions m_options;
    std::map<InstanceId, Member> m_members;
    std::map<InstanceId, DrainOrder> m_drainOrders;
    /** Instances that the platform's list marks as leaving, and since when. */
    std::map<InstanceId, WallTime> m_leavingSince;
};

} // namespace greengageseam
