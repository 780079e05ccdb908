/**
 * What the end of a send says: whether the request ran, whether it may be sent again, and what the
 * caller is told.
 */
#pragma once

#include "core/common/errors.h"
#include "core/fleet/fleetconfig.h"

#include <span>

namespace greengageseam {

/** Every way in which the sending of a request to a backend server can end. */
enum class UpstreamOutcome {
    /** No connection came about, so nothing was sent. */
    NotConnected,
    /** The connection broke before the whole request was handed over. */
    BrokenWhileSending,
    /** The backend server says that it did not run the request. */
    Rejected,
    /** Another backend server has the address, and did not run the request. */
    Misdirected,
    /** The connection ended after the request was sent and before any answer. */
    BrokenBeforeAnswer,
    /** What came is not an answer to this request. */
    Garbled,
    /** An answer began and did not come to its end. */
    BrokenAnswer,
    /** No answer began in the time that was allowed for it. */
    Silent,
    /** The time of the request was over. */
    DeadlineReached,
    /** A whole answer with a failure of the backend server's own. */
    FailedAnswer,
    /** A whole answer. */
    Answered,
};

/** One row of the table. */
struct UpstreamOutcomeInfo
{
    UpstreamOutcome outcome;
    /** Stable name, used in logs and metrics. */
    std::string_view name;
    ExecutionStatus ran;
    /** How the caller is answered if the request is not sent again. */
    ErrorKind error;
};

/** @returns the table row of an end */
const UpstreamOutcomeInfo &outcomeInfo(UpstreamOutcome outcome);

/** @returns the whole table, one row for each end */
std::span<const UpstreamOutcomeInfo> upstreamOutcomeTable();

/**
 * @param kind of the request's route
 * @param canResume whether a stream of the route may go on elsewhere
 * @returns whether a request may run more than once
 */
bool isIdempotent(RouteKind kind, bool canResume);

/** @returns whether a request may be sent again after an end, as far as its kind goes */
bool mayRetry(UpstreamOutcome outcome, RouteKind kind, bool canResume);

/**
 * Whether any send of a request ran, from the ends of all of them.
 * @param before what the sends before say @param last what the last one says
 */
ExecutionStatus combine(ExecutionStatus before, ExecutionStatus last);

/**
 * @param end of the last send
 * @param ran what all sends of the request say together
 * @returns the kind of error to answer with; never one that promises "not run" unless it is so
 */
ErrorKind errorAfter(UpstreamOutcome outcome, ExecutionStatus ran);

} // namespace greengageseam
