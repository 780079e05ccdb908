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
    std::uint64_t from = 0;
    std::uint64_t to = 0;
    std::vector<Heartbeat> changed;
    std::vector<InstanceId> gone;

    auto operator<=>(const MemberChanges &) const = default;
};

/** The sender's side: the newest state of each member, and the revision at which it changed. */
class ChangeLog
{
public:
    /**
     * @param epoch names this life of the sender
     * @param keptGone how many members that are gone are remembered
     */
    explicit ChangeLog(std::uint64_t epoch, std::size_t keptGone = 256);

    /** @returns the log after a member's state was seen; the same state changes nothing */
    ChangeLog noted(const Heartbeat &state) &&;
    /** @returns the log after a member was lost */
    ChangeLog forgotten(const InstanceId &instance) &&;

    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t revision() const { return m_revision; }
    bool contains(const InstanceId &instance) const { return m_states.contains(instance); }
    /** @returns the members, in no state but the newest */
    std::vector<InstanceId> instances() const;

    /** @returns what came after a revision; the whole if the receiver is too far behind */
    MemberChanges since(std::uint64_t epoch, std::uint64_t revision) const;

    bool operator==(const ChangeLog &) const = default;

private:
    /** A member's state and the revision at which it became so. */
    struct Noted
    {
        Heartbeat state;
        std::uint64_t revision = 0;

        bool operator==(const Noted &) const = default;
    };

    std::uint64_t m_epoch;
    std::size_t m_keptGone;
    std::uint64_t m_revision = 0;
    std::map<InstanceId, Noted> m_states;
    /** Members that are gone, by the revision at which they went. */
    std::map<std::uint64_t, InstanceId> m_gone;
    /** Invariant: every member that went after this revision is in m_gone. */
    std::uint64_t m_goneKnownSince = 0;
};

/** The receiver's side: the members as one sender told them. */
class ChangeView
{
public:
    std::uint64_t epoch() const { return m_epoch; }
    std::uint64_t revision() const { return m_revision; }
    const std::map<InstanceId, Heartbeat> &members() const { return m_members; }

    /** @returns whether changes can be applied; if not, the whole has to be asked for */
    bool canApply(const MemberChanges &changes) const;
    /** @returns the view after changes that can be applied; late ones change nothing */
    ChangeView applied(const MemberChanges &changes) &&;

    bool operator==(const ChangeView &) const = default;

private:
    std::uint64_t m_epoch = 0;
    std::uint64_t m_revision = 0;
    std::map<InstanceId, Heartbeat> m_members;
};

/** @returns what an agent needs of a neighbour: nothing that changes with each request */
Heartbeat neighbourPart(const Heartbeat &heartbeat);

/** @returns what entries tell each other of a member when it changes, without its pulse */
Heartbeat reportedPart(const Heartbeat &heartbeat);

} // namespace greengageseam
