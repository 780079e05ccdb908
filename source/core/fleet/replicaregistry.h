/**
 * The list of backend servers as one process believes it, rebuilt from the changes that it reads.
 */
#pragma once

#include "core/fleet/replica.h"

#include <map>
#include <vector>

namespace greengageseam {

/** Bounds of the book. */
struct ReplicaRegistryOptions
{
    /** Reads further apart than this count as an outage of the list. */
    Duration outageAfter = std::chrono::milliseconds(2500);
    /** Entries that lapsed during an outage are kept for so long after it. */
    Duration removalGrace = std::chrono::milliseconds(2200);

    auto operator<=>(const ReplicaRegistryOptions &) const = default;
};

/** Why the book changed its mind about a backend server. */
enum class ReplicaChange { Added, Restarted, Moved, Draining, Resumed, Gone, Lapsed, Returned };

/** One change of the book, for the log. */
struct ReplicaUpdate
{
    ReplicaId id;
    ReplicaChange change = ReplicaChange::Added;

    auto operator<=>(const ReplicaUpdate &) const = default;
};

/** Folds entries and removals; it changes in place, because each entry is heard again and again. */
class ReplicaRegistry
{
public:
    explicit ReplicaRegistry(ReplicaRegistryOptions options = {}) : m_options(options) { }

    /** A read of the list has succeeded. Call it before the changes that the read brought. */
    void recordRead(Instant now);
    /** An entry was written. @returns what changed, if anything did */
    std::optional<ReplicaUpdate> put(const ReplicaEntry &entry);
    /** An entry was removed, or holds nothing usable. */
    std::optional<ReplicaUpdate> remove(const ReplicaId &id, Instant now);
    /** The whole list was read: what it does not hold is gone. */
    std::vector<ReplicaUpdate> retainOnly(const std::vector<ReplicaId> &present, Instant now);
    /** Time passes. @returns the entries whose grace is over */
    std::vector<ReplicaUpdate> expire(Instant now);

    /** @returns an entry as it was put last, or null */
    const ReplicaEntry *find(const ReplicaId &id) const;
    /** @returns all entries, those that are draining among them */
    std::vector<ReplicaEntry> entries() const;

private:
    struct Record
    {
        ReplicaEntry entry;
        /** Set while the entry is kept although the list has lost it. */
        std::optional<Instant> expiresAt;
    };

    ReplicaRegistryOptions m_options;
    std::map<ReplicaId, Record> m_records;
    std::optional<Instant> m_lastRead;
    /** End of the time in which removals count as lapses. */
    std::optional<Instant> m_graceUntil;
};

/** @returns the name of a change, for the log */
std::string_view textOf(ReplicaChange change);

} // namespace greengageseam
