/**
 * Delta synchronization of member states. The sender numbers changes by revision; a receiver states
 * the last revision that it has applied and gets only the later changes.
 */
#pragma once

#include "core/membership/membertable.h"

#include <cstdint>
#include <map>
#include <vector>

namespace greengageseam {

/** A delta: the members that changed between two revisions of one sender. */
struct MemberChanges
{
    /** Identifies one run of the sender; revisions of different epochs are not comparable. */
    std::uint64_t epoch = 0;
    /** Revision that the delta applies to; 0 means that it is a full state. */
    std::uint64_t fromRevision = 0;
    std::uint64_t toRevision = 0;
    std::vector<Heartbeat> changed;
    std::vector<InstanceId> removed;

    auto operator<=>(const MemberChanges &) const = default;
};

/** Sender side: the latest state of each member, and the revision at which it last changed. */
class MemberChangeLog
{
public:
    /**
     * @param epoch identifies this run of the sender
     * @param maxRemoved how many removals are kept; receivers that lag further behind get a full
     * state
     */
    explicit MemberChangeLog(std::uint64_t epoch, std::size_t maxRemoved = 256);

    /** @returns the log with a member's latest state; an unchanged state adds no revision */
    MemberChangeLog withState(const Heartbeat &state) &&;
    /** @returns the log after the removal of a member */
    MemberChangeLog without(const InstanceId &instance) &&;

    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t revision() const { return m_revision; }
    bool contains(const InstanceId &instance) const { return m_states.contains(instance); }
    /** @returns the identifiers of all current members */
    std::vector<InstanceId> instances() const;

    /**
     * @returns the changes after a revision; a full state if the epoch differs or if the receiver
     * lags so far behind that removals are missing
     */
    MemberChanges changesSince(std::uint64_t epoch, std::uint64_t revision) const;

    bool operator==(const MemberChangeLog &) const = default;

private:
    /** A member's state, and the revision at which it last changed. */
    struct VersionedState
    {
        Heartbeat state;
        std::uint64_t revision = 0;

        bool operator==(const VersionedState &) const = default;
    };

    std::uint64_t m_epoch;
    std::size_t m_maxRemoved;
    std::uint64_t m_revision = 0;
    std::map<InstanceId, VersionedState> m_states;
    /** Removed members, by the revision of their removal. */
    std::map<std::uint64_t, InstanceId> m_removed;
    /** Invariant: m_removed contains every removal after this revision. */
    std::uint64_t m_removalsCompleteAfter = 0;
};

/** Receiver side: the members as one sender reported them. */
class RemoteMembers
{
public:
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t revision() const { return m_revision; }
    const std::map<InstanceId, Heartbeat> &members() const { return m_members; }

    /** @returns whether a delta is applicable; if not, request a full state */
    bool canApply(const MemberChanges &changes) const;
    /** @returns the members after a delta; a stale or inapplicable one changes nothing */
    RemoteMembers withChanges(const MemberChanges &changes) &&;

    bool operator==(const RemoteMembers &) const = default;

private:
    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;
    std::map<InstanceId, Heartbeat> m_members;
};

/**
 * Selects the fields of a heartbeat that agents need of each other. It omits fields that change
 * with each request, so that load alone causes no updates.
 */
Heartbeat fieldsForAgents(const Heartbeat &heartbeat);

/**
 * Selects the fields of a heartbeat that entries send each other when a member changes. It omits
 * the frequently changing fields, which a HeartbeatUpdate carries.
 */
Heartbeat fieldsForEntries(const Heartbeat &heartbeat);

} // namespace greengageseam
