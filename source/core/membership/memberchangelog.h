/**
 * What changed among members, numbered by revisions, so that a receiver that says up to where it
 * knows gets only what came after.
 */
#pragma once

#include "core/membership/membertable.h"

#include <cstdint>
#include <map>
#include <vector>

namespace greengageseam {

/** The members that changed between two revisions of one sender. */
struct MemberChanges
{
    /** Names the life of the sender; revisions of different lives don't compare. */
    std::uint64_t epoch = 0;
    /** Revision that the changes build on; 0 means that they are the whole. */
    std::uint64_t fromRevision = 0;
    std::uint64_t toRevision = 0;
    std::vector<Heartbeat> changed;
    std::vector<InstanceId> removed;

    auto operator<=>(const MemberChanges &) const = default;
};

/** The sender's side: the newest state of each member, and the revision at which it changed. */
class MemberChangeLog
{
public:
    /**
     * @param epoch names this life of the sender
     * @param keptGone how many members that are gone are remembered
     */
    explicit MemberChangeLog(std::uint64_t epoch, std::size_t maxRemoved = 256);

    /** @returns the log after a member's state was seen; the same state changes nothing */
    MemberChangeLog withState(const Heartbeat &state) &&;
    /** @returns the log after a member was lost */
    MemberChangeLog without(const InstanceId &instance) &&;

    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t revision() const { return m_revision; }
    bool contains(const InstanceId &instance) const { return m_states.contains(instance); }
    /** @returns the members, in no state but the newest */
    std::vector<InstanceId> instances() const;

    /** @returns what came after a revision; the whole if the receiver is too far behind */
    MemberChanges changesSince(std::uint64_t epoch, std::uint64_t revision) const;

    bool operator==(const MemberChangeLog &) const = default;

private:
    /** A member's state and the revision at which it became so. */
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
    /** Members that are gone, by the revision at which they went. */
    std::map<std::uint64_t, InstanceId> m_removed;
    /** Invariant: every member that went after this revision is in m_gone. */
    std::uint64_t m_removalsCompleteAfter = 0;
};

/** The receiver's side: the members as one sender told them. */
class RemoteMembers
{
public:
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t revision() const { return m_revision; }
    const std::map<InstanceId, Heartbeat> &members() const { return m_members; }

    /** @returns whether changes can be applied; if not, the whole has to be asked for */
    bool canApply(const MemberChanges &changes) const;
    /** @returns the view after changes that can be applied; late ones change nothing */
    RemoteMembers withChanges(const MemberChanges &changes) &&;

    bool operator==(const RemoteMembers &) const = default;

private:
    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;
    std::map<InstanceId, Heartbeat> m_members;
};

/** @returns what an agent needs of a neighbour: nothing that changes with each request */
Heartbeat fieldsForAgents(const Heartbeat &heartbeat);

/** @returns what entries tell each other of a member when it changes, without its pulse */
Heartbeat fieldsForEntries(const Heartbeat &heartbeat);

} // namespace greengageseam
