#include "core/common/errors.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace {

constexpr std::array descriptors {
        ErrorDescriptor {ErrorKind::InvalidRequest, "invalid-request", "The request is malformed",
                         400, ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::InvalidConfiguration, "invalid-configuration",
                         "The configuration table would be invalid after this change", 422,
                         ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::Unauthenticated, "unauthenticated", "The bearer key is unknown",
                         401, ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::Forbidden, "forbidden",
                         "The role of the token does not permit this operation", 403,
                         ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::NotFound, "not-found", "No resource exists at this address",
                         404, ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::UnknownModel, "unknown-model",
                         "No version of this model is available to the account in this zone", 404,
                         ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::UnknownService, "unknown-service", "The service does not exist",
                         404, ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::TooLarge, "too-large", "The request exceeds the size limit",
                         413, ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::SlowCaller, "slow-caller",
                         "The client did not send the request in time", 408,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::ChangeConflict, "change-conflict",
                         "Another operator changed a cell in the meantime", 409,
                         ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::LimitExceeded, "limit-exceeded",
                         "The account has reached one of its limits", 429,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::Overloaded, "overloaded", "The fleet is overloaded", 503,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::NoBackendServer, "no-backend-server",
                         "No backend server is available for the request", 503,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::PromptQuarantined, "prompt-quarantined",
                         "A part of the prompt crashes backend servers", 503,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::Draining, "draining", "The instance is shutting down", 503,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::NotReady, "not-ready",
                         "The instance has no configuration in force yet", 503,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::StaleConfiguration, "stale-configuration",
                         "The configuration in force here may be out of date", 503,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::DuplicateAttempt, "duplicate-attempt",
                         "The attempt was already received", 409, ExecutionStatus::Unknown,
                         RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::ClaimInProgress, "claim-in-progress",
                         "A call with this idempotency key is in progress", 409,
                         ExecutionStatus::Unknown, RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::KeyTooOld, "key-too-old", "The idempotency key is too old", 409,
                         ExecutionStatus::Unknown, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::DeadlineExceeded, "deadline-exceeded",
                         "The response did not arrive before the deadline", 504,
                         ExecutionStatus::Unknown, RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::BackendFailed, "backend-failed", "The backend server failed",
                         502, ExecutionStatus::Executed, RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::AnswerBroken, "answer-broken",
                         "The response ended before it was complete", 502, ExecutionStatus::Unknown,
                         RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::OutcomeUnknown, "outcome-unknown",
                         "It is unknown whether the call was executed", 504,
                         ExecutionStatus::Unknown, RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::PlatformUnavailable, "platform-unavailable",
                         "The platform does not respond", 503, ExecutionStatus::NotExecuted,
                         RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::CorruptData, "corrupt-data",
                         "The data does not match its digest", 502, ExecutionStatus::NotExecuted,
                         RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::ProtocolViolation, "protocol-violation",
                         "A peer violated the protocol", 502, ExecutionStatus::Unknown,
                         RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::Internal, "internal", "Internal error", 500,
                         ExecutionStatus::Unknown, RetryAdvice::WithSameKeyOnly},
};

} // namespace

const ErrorDescriptor &descriptorFor(ErrorKind kind)
{
    const auto it = std::find_if(
            descriptors.begin(), descriptors.end(),
            [kind](const ErrorDescriptor &descriptor) { return descriptor.kind == kind; });
    return it == descriptors.end() ? descriptors.back() : *it;
}

std::span<const ErrorDescriptor> errorTable()
{
    return descriptors;
}

ErrorKind errorKindFromName(std::string_view name)
{
    const auto it = std::find_if(
            descriptors.begin(), descriptors.end(),
            [name](const ErrorDescriptor &descriptor) { return descriptor.name == name; });
    return it == descriptors.end() ? ErrorKind::Internal : it->kind;
}

std::string_view textOf(ExecutionStatus ran)
{
    switch (ran) {
    case ExecutionStatus::NotExecuted:
        return "no";
    case ExecutionStatus::Executed:
        return "yes";
    case ExecutionStatus::Unknown:
        break;
    }
    return "unknown";
}

std::string_view textOf(RetryAdvice advice)
{
    switch (advice) {
    case RetryAdvice::Never:
        return "never";
    case RetryAdvice::Later:
        return "later";
    case RetryAdvice::WithSameKeyOnly:
        break;
    }
    return "with-same-key-only";
}

} // namespace greengageseam
