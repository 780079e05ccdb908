#include "core/common/errors.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace {

constexpr std::array answers {
        ErrorAnswer {ErrorKind::InvalidRequest, "invalid-request", "The request is malformed", 400,
                     Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::InvalidConfiguration, "invalid-configuration",
                     "The configuration table would be invalid after this change", 422, Ran::No,
                     RetryAdvice::Never},
        ErrorAnswer {ErrorKind::Unauthenticated, "unauthenticated", "The bearer key is unknown",
                     401, Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::Forbidden, "forbidden",
                     "The role of the token does not permit this operation", 403, Ran::No,
                     RetryAdvice::Never},
        ErrorAnswer {ErrorKind::NotFound, "not-found", "No resource exists at this address", 404,
                     Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::UnknownModel, "unknown-model",
                     "No version of this model is available to the account in this zone", 404,
                     Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::UnknownService, "unknown-service", "The service does not exist",
                     404, Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::TooLarge, "too-large", "The request exceeds the size limit", 413,
                     Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::SlowCaller, "slow-caller",
                     "The client did not send the request in time", 408, Ran::No,
                     RetryAdvice::Later},
        ErrorAnswer {ErrorKind::ChangeConflict, "change-conflict",
                     "Another operator changed a cell in the meantime", 409, Ran::No,
                     RetryAdvice::Never},
        ErrorAnswer {ErrorKind::LimitExceeded, "limit-exceeded",
                     "The account has reached one of its limits", 429, Ran::No, RetryAdvice::Later},
        ErrorAnswer {ErrorKind::Overloaded, "overloaded", "The fleet is overloaded", 503, Ran::No,
                     RetryAdvice::Later},
        ErrorAnswer {ErrorKind::NoBackendServer, "no-backend-server",
                     "No backend server is available for the request", 503, Ran::No,
                     RetryAdvice::Later},
        ErrorAnswer {ErrorKind::Draining, "draining", "The instance is shutting down", 503, Ran::No,
                     RetryAdvice::Later},
        ErrorAnswer {ErrorKind::NotReady, "not-ready",
                     "The instance has no configuration in force yet", 503, Ran::No,
                     RetryAdvice::Later},
        ErrorAnswer {ErrorKind::DuplicateAttempt, "duplicate-attempt",
                     "The attempt was already received", 409, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::ClaimInProgress, "claim-in-progress",
                     "A call with this idempotency key is in progress", 409, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::KeyTooOld, "key-too-old", "The idempotency key is too old", 409,
                     Ran::Unknown, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::DeadlineExceeded, "deadline-exceeded",
                     "The response did not arrive before the deadline", 504, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::BackendFailed, "backend-failed", "The backend server failed", 502,
                     Ran::Yes, RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::AnswerBroken, "answer-broken",
                     "The response ended before it was complete", 502, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::OutcomeUnknown, "outcome-unknown",
                     "It is unknown whether the call was executed", 504, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::PlatformUnavailable, "platform-unavailable",
                     "The platform does not respond", 503, Ran::No, RetryAdvice::Later},
        ErrorAnswer {ErrorKind::CorruptData, "corrupt-data", "The data does not match its digest",
                     502, Ran::No, RetryAdvice::Later},
        ErrorAnswer {ErrorKind::ProtocolViolation, "protocol-violation",
                     "A peer violated the protocol", 502, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::Internal, "internal", "Internal error", 500, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
};

} // namespace

const ErrorAnswer &answerFor(ErrorKind kind)
{
    const auto it = std::find_if(answers.begin(), answers.end(),
                                 [kind](const ErrorAnswer &row) { return row.kind == kind; });
    return it == answers.end() ? answers.back() : *it;
}

std::span<const ErrorAnswer> errorTable()
{
    return answers;
}

ErrorKind errorKindNamed(std::string_view name)
{
    const auto it = std::find_if(answers.begin(), answers.end(),
                                 [name](const ErrorAnswer &row) { return row.name == name; });
    return it == answers.end() ? ErrorKind::Internal : it->kind;
}

std::string_view textOf(Ran ran)
{
    switch (ran) {
    case Ran::No:
        return "no";
    case Ran::Yes:
        return "yes";
    case Ran::Unknown:
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
