/**
 * Who is in the zone: what agents say of themselves, and when that stops being believed.
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

/** What stands behind an agent. */
enum class BackendKind { Engine, Service };

/** What an agent says of itself and its backend server. */
struct Heartbeat
{
    InstanceId instance;
    ZoneName zone;
    Address peerAddress;
    BackendKind kind = BackendKind::Engine;
    /** The plain service behind the agent; empty for an engine. */
    ServiceName service;
    /** Fencing number of the agent's incarnation; 0 while it has none. */
    Offset incarnation;
    /** Rises with each heartbeat of one process, so that late ones are told from new ones. */
    std::uint64_t sequence = 0;
    /** Start of the process; a later start goes before any sequence. */
    WallTime startedAt;
    /** The agent's monotonic clock when it sent this; compared only by the agent itself. */
    Instant clock;
    bool isDraining = false;
    /** Manifests that the engine reports as serving. */
    std::vector<Digest> serving;
    /** Manifests whose weights the agent holds complete and verified. */
    std::vector<Digest> stored;
    /** How many versions the engine has room for. */
    std::uint32_t slots = 1;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    Offset appliedConfig;
    Digest tableDigest;
    std::uint64_t originBytes = 0;
    /** What last went wrong at the agent, for the report. */
    std::string problem;

    auto operator<=>(const Heartbeat &) const = default;
};

/** Whether a member can be used. */
enum class MemberPhase { Usable, Suspect, Draining };

/** A member of the roster. */
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
    /** Silence after which a member gets no new work. */
    Duration suspectAfter = std::chrono::milliseconds(2500);
    /** Silence after which a member is forgotten. */
    Duration removeAfter = std::chrono::seconds(60);
    /** How much later than a heartbeat itself the news of it may come through another entry. */
    Duration relayAllowance = std::chrono::seconds(1);

    MemberTableOptions withSuspectAfter(Duration value) const;
    MemberTableOptions withRemoveAfter(Duration value) const;
    MemberTableOptions withRelayAllowance(Duration value) const;
    auto operator<=>(const MemberTableOptions &) const = default;
};

/** Way on which a heartbeat came. */
enum class HeartbeatSource { Agent, PeerEntry };

/** An operator's order that one process of an instance takes no more work. */
struct DrainOrder
{
    InstanceId instance;
    /** Start of the process that is meant; a successor in the same slot is not. */
    WallTime startedAt;

    auto operator<=>(const DrainOrder &) const = default;
};

/** An instance that the platform's list calls leaving, and since when it is known to do so. */
struct LeavingInstance
{
    InstanceId instance;
    WallTime since;

    auto operator<=>(const LeavingInstance &) const = default;
};

/**
 * The members of one zone, as one process sees them. A step takes the roster over and gives it
 * back changed, as in `roster = std::move(roster).heard(...)`, so that no member is copied.
 */
class MemberTable
{
public:
    explicit MemberTable(MemberTableOptions options = {});

    /** @returns the members by their identifiers */
    const std::map<InstanceId, Member> &members() const { return m_members; }
    /** @returns the orders to drain that are known, by instance */
    const std::map<InstanceId, DrainOrder> &drainOrders() const { return m_drainOrders; }
    /** @returns the instances that the list calls leaving */
    std::vector<LeavingInstance> leavingInstances() const;
    /** @returns whether an operator ordered this very process to drain */
    bool hasDrainOrder(const Heartbeat &heartbeat) const;

    /** @returns the roster after a heartbeat; one that is older than the last changes nothing */
    MemberTable withHeartbeat(const Heartbeat &heartbeat, Instant now,
                              HeartbeatSource source = HeartbeatSource::Agent) &&;

    /** @returns the roster at a later time: the silent suspected, the long silent forgotten */
    MemberTable advancedTo(Instant now) &&;

    /**
     * The platform's list was read. It holds for processes that started before it first called
     * their instance leaving, and as long as it says so.
     */
    MemberTable withLeavingList(const std::set<InstanceId> &leaving, WallTime now) &&;

    /** Another entry has seen a mark of the list, perhaps earlier than this process. */
    MemberTable withLeavingInstance(const LeavingInstance &leaving) &&;

    /** @returns the roster after an operator's order, given here or at another entry */
    MemberTable withDrainOrder(const DrainOrder &order) &&;

    bool operator==(const MemberTable &) const = default;

private:
    MemberPhase phaseOf(const Heartbeat &heartbeat) const;
    void updatePhases();

    MemberTableOptions m_options;
    std::map<InstanceId, Member> m_members;
    std::map<InstanceId, DrainOrder> m_drainOrders;
    /** Instances that the list calls leaving, and since when it has done so. */
    std::map<InstanceId, WallTime> m_leavingSince;
};

} // namespace greengageseam
