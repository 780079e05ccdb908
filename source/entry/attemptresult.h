/**
 * Result of an attempt to serve a request, and what follows from it.
 */
#pragma once

#include "core/common/errors.h"
#include "entry/router.h"

#include <optional>
#include <string>

namespace greengageseam {

/** Result of an attempt as known to the entry. */
struct AttemptResult
{
    /** Empty if the caller received the complete response. */
    std::optional<Failure> failure;
    ExecutionStatus ran = ExecutionStatus::Unknown;
    /** True if the caller has disconnected; no response can be sent then. */
    bool isCallerDisconnected = false;

    auto operator<=>(const AttemptResult &) const = default;
};

/** @returns the result of an attempt that failed while the caller is still connected */
AttemptResult failedAttempt(ErrorKind kind, std::string detail, ExecutionStatus ran);
/** @returns the result of an attempt whose caller has disconnected */
AttemptResult callerDisconnected(ExecutionStatus ran);
/** @returns what the result of an attempt says about the health of its backend server */
AttemptVerdict verdictOf(const AttemptResult &result);

} // namespace greengageseam
