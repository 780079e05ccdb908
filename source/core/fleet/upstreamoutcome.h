/**
 * Outcomes of an upstream attempt. A table states for each outcome whether the backend server
 * executed the request and which error the caller receives; from it follows whether the request may
 * be retried.
 */
#pragma once

#include "core/common/errors.h"
#include "core/fleet/fleetconfig.h"

#include <span>

namespace greengageseam {

/** How an upstream attempt, the sending of a request to a backend server, ended. */
enum class UpstreamOutcome {
    /** The connection could not be established, so nothing was sent. */
    NotConnected,
    /** When the connection was ready, the request could no longer begin in time; nothing was sent.
     */
    ChoiceExpired,
    /** The connection broke before the complete request was written. */
    BrokenWhileSending,
    /** The backend server responded that it did not execute the request. */
    Rejected,
    /** Another backend server now has the address; it did not execute the request. */
    Misdirected,
    /** The connection was closed after the request was sent and before a response began. */
    BrokenBeforeAnswer,
    /** The received data is not a response to this request. */
    Garbled,
    /** A response began and was truncated. */
    BrokenAnswer,
    /** No response began within the response timeout. */
    Silent,
    /** The deadline of the request passed. */
    DeadlineReached,
    /** The entry gave the attempt up, because its response was not needed any more. */
    Withdrawn,
    /** A complete response that reports a failure of the backend server itself. */
    FailedAnswer,
    /** A complete response. */
    Answered,
};

/** One row of the table of outcomes. */
struct UpstreamOutcomeInfo
{
    UpstreamOutcome outcome;
    /** Stable name, used in logs and metrics. */
    std::string_view name;
    ExecutionStatus ran;
    /** Error that the caller receives if the request is not retried. */
    ErrorKind error;
};

/** @returns the table row of an outcome */
const UpstreamOutcomeInfo &outcomeInfo(UpstreamOutcome outcome);

/** @returns the table, with one row for each outcome */
std::span<const UpstreamOutcomeInfo> upstreamOutcomeTable();

/**
 * @param kind kind of the request's route
 * @param canResume whether a stream of the route may be resumed at another backend server
 * @returns whether the request may be executed more than once
 */
bool isIdempotent(RouteKind kind, bool canResume);

/**
 * Checks only the outcome and the kind of the route. Budgets, deadlines and the number of attempts
 * are limited elsewhere.
 * @returns whether a request may be retried after this outcome
 * @see isIdempotent
 */
bool mayRetry(UpstreamOutcome outcome, RouteKind kind, bool canResume);

/**
 * Accumulates over the upstream attempts of a request whether any of them was executed.
 * @param before the result for the earlier attempts
 * @param last whether the last attempt was executed
 */
ExecutionStatus combine(ExecutionStatus before, ExecutionStatus last);

/**
 * Chooses the error for a request that is not retried any more.
 * @param outcome the outcome of the last upstream attempt
 * @param ran whether any upstream attempt of the request was executed
 * @returns the kind of error; it states that the request was not executed only if no attempt was
 * @see combine
 */
ErrorKind errorAfter(UpstreamOutcome outcome, ExecutionStatus ran);

} // namespace greengageseam
