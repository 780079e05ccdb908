/**
 * Who is in the zone: what agents say of themselves, and when that stops being believed.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <map>
#include <optional>
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
    std::vector<Digest> holding;
    /** How many versions the engine has room for. */
    std::uint32_t slots = 1;
    std::uint32_t inFlight = 0;
    std::uint32_t queued = 0;
    Offset appliedConfig;
    Digest tableDigest;
    std::uint64_t originBytes = 0;
    /** What last went wrong at the agent, for the report. */
    std::string trouble;

    auto operator<=>(const Heartbeat &) const = default;
};

/** Whether a member can be used. */
enum class MemberPhase { Usable, Suspect, Draining };

/** A member of the roster. */
struct Member
{
    Heartbeat last;
    Instant heardAt;
    MemberPhase phase = MemberPhase::Usable;

    bool operator==(const Member &) const = default;
};

/** Time limits of membership. */
struct RosterOptions
{
    /** Silence after which a member gets no new work. */
    Duration suspectAfter = std::chrono::milliseconds(2500);
    /** Silence after which a member is forgotten. */
    Duration forgetAfter = std::chrono::seconds(60);

    RosterOptions withSuspectAfter(Duration value) const;
    RosterOptions withForgetAfter(Duration value) const;
    auto operator<=>(const RosterOptions &) const = default;
};

/** The members of one zone, as one process sees them; a step makes a new roster. */
class Roster
{
public:
    explicit Roster(RosterOptions options = {});

    /** @returns the members by their identifiers */
    const std::map<InstanceId, Member> &members() const { return m_members; }

    /** @returns the roster after a heartbeat; one that is older than the last changes nothing */
    Roster heard(const Heartbeat &heartbeat, Instant now) const;

    /** @returns the roster at a later time: the silent suspected, the long silent forgotten */
    Roster at(Instant now) const;

    /** @returns the roster after the platform's list called an instance leaving */
    Roster leaving(const InstanceId &instance) const;

    bool operator==(const Roster &) const = default;

private:
    RosterOptions m_options;
    std::map<InstanceId, Member> m_members;
};

} // namespace greengageseam
