#include "core/common/errors.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace {

constexpr std::array descriptors {
        ErrorDescriptor {ErrorKind::InvalidRequest, "invalid-request", "The request is malformed",
                         400, ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::InvalidConfiguration, "invalid-configuration",
                         "The table after this change would not be valid", 422,
                         ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::Unauthenticated, "unauthenticated",
                         "The bearer key is not known", 401, ExecutionStatus::NotExecuted,
                         RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::Forbidden, "forbidden", "The token's role does not allow this",
                         403, ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::NotFound, "not-found", "There is nothing at this address", 404,
                         ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::UnknownModel, "unknown-model",
                         "No version of this model is offered to the account here", 404,
                         ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::UnknownService, "unknown-service", "There is no such service",
                         404, ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::TooLarge, "too-large", "The request is larger than allowed",
                         413, ExecutionStatus::NotExecuted, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::SlowCaller, "slow-caller", "The request did not arrive in time",
                         408, ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::ChangeConflict, "change-conflict",
                         "A cell was changed by somebody else", 409, ExecutionStatus::NotExecuted,
                         RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::LimitExceeded, "limit-exceeded",
                         "The account's limit is used up for now", 429,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::Overloaded, "overloaded", "The fleet is busy", 503,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::NoBackendServer, "no-backend-server",
                         "No backend server can take the request", 503,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::Draining, "draining", "The instance is shutting down", 503,
                         ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::NotReady, "not-ready", "No configuration is in force here yet",
                         503, ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::DuplicateAttempt, "duplicate-attempt",
                         "This attempt was seen before", 409, ExecutionStatus::Unknown,
                         RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::ClaimInProgress, "claim-in-progress",
                         "A call with this key is in progress", 409, ExecutionStatus::Unknown,
                         RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::KeyTooOld, "key-too-old", "The idempotency key is too old", 409,
                         ExecutionStatus::Unknown, RetryAdvice::Never},
        ErrorDescriptor {ErrorKind::DeadlineExceeded, "deadline-exceeded",
                         "The answer did not come in time", 504, ExecutionStatus::Unknown,
                         RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::BackendFailed, "backend-failed", "The backend server failed",
                         502, ExecutionStatus::Executed, RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::AnswerBroken, "answer-broken", "The answer was cut off", 502,
                         ExecutionStatus::Unknown, RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::OutcomeUnknown, "outcome-unknown",
                         "It is not known whether the call ran", 504, ExecutionStatus::Unknown,
                         RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::PlatformUnavailable, "platform-unavailable",
                         "The platform does not answer", 503, ExecutionStatus::NotExecuted,
                         RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::CorruptData, "corrupt-data", "Data did not match its digest",
                         502, ExecutionStatus::NotExecuted, RetryAdvice::Later},
        ErrorDescriptor {ErrorKind::ProtocolViolation, "protocol-violation",
                         "A peer sent what the protocol does not allow", 502,
                         ExecutionStatus::Unknown, RetryAdvice::WithSameKeyOnly},
        ErrorDescriptor {ErrorKind::Internal, "internal", "The system failed", 500,
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
