/**
 * The audit trail: all changes in the retained part of the log, with their verdicts.
 */
#pragma once

#include "core/config/config.h"
#include "logservice/logservice.h"

#include <string>
#include <vector>

namespace greengageseam {

/** Selects changes by cell and author; an empty member matches all. */
struct AuditFilter
{
    std::string cell;
    std::string author;

    auto operator<=>(const AuditFilter &) const = default;

    /** @returns true if the verdict passes the filter */
    bool matches(const Verdict &verdict) const;
};

/** Verdicts of changes, oldest first. */
struct AuditTrail
{
    std::vector<Verdict> verdicts;
    /** Offset of the oldest record read; 0 if no record was read. */
    Offset firstOffset;
    /** Why the trail is incomplete; empty if the log was read to its end. */
    std::string incompleteReason;
};

/**
 * Reads the retained records of the log in pages and evaluates them.
 * @param current the configuration in force; its verdicts are added, and are the only ones if the
 * log cannot be read
 * @returns the verdicts that match the filter, at most the newest 1,000
 */
Awaitable<AuditTrail> readAudit(ReadLog read, ConfigView current, AuditFilter filter);

} // namespace greengageseam
