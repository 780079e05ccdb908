/**
 * The audit trail: every change that the log still keeps, with its verdict.
 */
#pragma once

#include "core/config/config.h"
#include "logservice/logservice.h"

#include <string>
#include <vector>

namespace greengageseam {

/** Which changes are wanted; an empty member wants all. */
struct AuditFilter
{
    std::string cell;
    std::string author;

    auto operator<=>(const AuditFilter &) const = default;

    /** @returns whether a verdict is wanted */
    bool matches(const Verdict &verdict) const;
};

/** Changes with their verdicts, oldest first. */
struct AuditTrail
{
    std::vector<Verdict> verdicts;
    /** Offset of the oldest record that was read; 0 if the log was not read. */
    Offset firstOffset;
    /** Why the log was not read to its end; empty if it was. */
    std::string incompleteReason;
};

/**
 * Reads the kept records of the log page by page through the fold.
 * @param known the state in force, whose verdicts are added; they are all there is without a log
 * @returns at most the newest 1,000 changes that the filter wants
 */
Awaitable<AuditTrail> readAudit(ReadLog read, ConfigView current, AuditFilter filter);

} // namespace greengageseam
