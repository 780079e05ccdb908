/**
 * Local copy of the list of backend servers (service discovery), maintained from a snapshot and the
 * changes that follow it.
 */
#pragma once

#include "core/fleet/replica.h"

#include <map>
#include <vector>

namespace greengageseam {

/** Options of the registry. */
struct ReplicaRegistryOptions
{
    /** A longer interval between two successful reads counts as an outage of the list. */
    Duration outageAfter = std::chrono::milliseconds(2500);
    /**
     * Time after an outage for which removed entries are kept, because backend servers could not
     * renew their registrations during the outage.
     */
    Duration removalGrace = std::chrono::milliseconds(2200);
    /**
     * Maximum time after the start of the last failed read for which removed entries are kept. The
     * list may have become readable right after that start, and whoever can read it must stop using
     * servers that have left.
     */
    Duration maxGraceAfterFailure = std::chrono::milliseconds(2900);
    /**
     * Time for which removed entries are remembered. The store may come back from a copy that is
     * some seconds old, in which they are still registered.
     */
    Duration removalMemory = std::chrono::seconds(30);

    auto operator<=>(const ReplicaRegistryOptions &) const = default;
};

/** Kind of change to the registration of a backend server. */
enum class ReplicaChange { Added, Restarted, Moved, Draining, Resumed, Gone, Lapsed, Returned };

/** One change to the registry, for the log. */
struct ReplicaUpdate
{
    ReplicaId id;
    ReplicaChange change = ReplicaChange::Added;

    auto operator<=>(const ReplicaUpdate &) const = default;
};

/**
 * Applies entries and removals. After an outage of the list, it keeps removed entries for a grace
 * period, so that backend servers whose registrations expired only because of the outage stay in
 * use. From here, an outage looks like a cut of this process from a list that others could read, in
 * which servers may have left. The grace period is therefore limited by the earliest time at which
 * the outage can have ended, as far as the attempts to read show it: a read that hung, or that is
 * late because this process was paused, does not extend it.
 *
 * It is modified in place, because entries are renewed continually.
 */
class ReplicaRegistry
{
public:
    explicit ReplicaRegistry(ReplicaRegistryOptions options = {}) : m_options(options) { }

    /** Records the start of a read of the list, whether it succeeds or not. */
    void recordAttempt(Instant now);
    /** Records a successful read of the list. Call it before applying the changes of that read. */
    void recordRead(Instant now);
    /**
     * Records that the store has lost its newest records. Entries that it lacks are kept for the
     * grace period, in which their backend servers register again. Call it after recordRead().
     */
    void recordLoss(Instant now);
    /**
     * @param entry an entry that the store has after it has lost records
     * @returns whether its backend server is known to have left or to be leaving since, so that the
     *     entry must not be applied until it is written again
     */
    bool isOutdated(const ReplicaEntry &entry) const;
    /** Applies a written entry. @returns the change, if the entry differs from the last one */
    std::optional<ReplicaUpdate> put(const ReplicaEntry &entry);
    /** Applies the removal of an entry, or an unusable entry. @returns the change, if any */
    std::optional<ReplicaUpdate> remove(const ReplicaId &id, Instant now);
    /**
     * Applies a complete read of the list: removes the entries that are not in it.
     * @param present ids of all entries in the list
     */
    std::vector<ReplicaUpdate> retainOnly(const std::vector<ReplicaId> &present, Instant now);
    /** Removes the entries whose grace period has ended. @returns the removals */
    std::vector<ReplicaUpdate> expire(Instant now);
    /** @returns when the next grace period ends; empty if no removed entry is kept */
    std::optional<Instant> nextExpiry() const;

    /** @returns the last state of an entry, or null */
    const ReplicaEntry *find(const ReplicaId &id) const;
    /** @returns all entries, including those that are draining */
    std::vector<ReplicaEntry> entries() const;

private:
    struct Record
    {
        ReplicaEntry entry;
        /** End of the grace period of an entry that was removed from the list after an outage. */
        std::optional<Instant> expiresAt;
    };

    /** An entry that was removed. */
    struct Removal
    {
        std::uint64_t startedAtMs = 0;
        Instant removedAt;
    };

    void rememberRemoval(const ReplicaEntry &entry, Instant now);

    ReplicaRegistryOptions m_options;
    std::map<ReplicaId, Record> m_records;
    std::map<ReplicaId, Removal> m_removals;
    std::optional<Instant> m_lastRead;
    /** Start of the newest read, if it is not known to have succeeded. */
    std::optional<Instant> m_lastAttempt;
    /** Start of the last read that has failed since m_lastRead. */
    std::optional<Instant> m_failedAttempt;
    /** Until this time, removals are attributed to an outage and entries are kept. */
    std::optional<Instant> m_graceUntil;
};

/** @returns the name of a change, for the log */
std::string_view textOf(ReplicaChange change);

} // namespace greengageseam
