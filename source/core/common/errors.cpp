#include "core/common/errors.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace {

constexpr std::array answers {
        ErrorAnswer {ErrorKind::InvalidRequest, "invalid-request", "The request is malformed", 400,
                     Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::InvalidConfiguration, "invalid-configuration",
                     "The table after this change would not be valid", 422, Ran::No,
                     RetryAdvice::Never},
        ErrorAnswer {ErrorKind::Unauthenticated, "unauthenticated", "The bearer key is not known",
                     401, Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::Forbidden, "forbidden", "The token's role does not allow this", 403,
                     Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::NotFound, "not-found", "There is nothing at this address", 404,
                     Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::UnknownModel, "unknown-model",
                     "No version of this model is offered to the account here", 404, Ran::No,
                     RetryAdvice::Never},
        ErrorAnswer {ErrorKind::UnknownService, "unknown-service", "There is no such service", 404,
                     Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::TooLarge, "too-large", "The request is larger than allowed", 413,
                     Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::SlowCaller, "slow-caller", "The request did not arrive in time",
                     408, Ran::No, RetryAdvice::Later},
        ErrorAnswer {ErrorKind::ChangeConflict, "change-conflict",
                     "A cell was changed by somebody else", 409, Ran::No, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::LimitExceeded, "limit-exceeded",
                     "The account's limit is used up for now", 429, Ran::No, RetryAdvice::Later},
        ErrorAnswer {ErrorKind::Overloaded, "overloaded", "The fleet is busy", 503, Ran::No,
                     RetryAdvice::Later},
        ErrorAnswer {ErrorKind::NoBackendServer, "no-backend-server",
                     "No backend server can take the request", 503, Ran::No, RetryAdvice::Later},
        ErrorAnswer {ErrorKind::Draining, "draining", "The instance is shutting down", 503, Ran::No,
                     RetryAdvice::Later},
        ErrorAnswer {ErrorKind::NotReady, "not-ready", "No configuration is in force here yet", 503,
                     Ran::No, RetryAdvice::Later},
        ErrorAnswer {ErrorKind::DuplicateAttempt, "duplicate-attempt",
                     "This attempt was seen before", 409, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::ClaimInProgress, "claim-in-progress",
                     "A call with this key is in progress", 409, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::KeyTooOld, "key-too-old", "The idempotency key is too old", 409,
                     Ran::Unknown, RetryAdvice::Never},
        ErrorAnswer {ErrorKind::DeadlineExceeded, "deadline-exceeded",
                     "The answer did not come in time", 504, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::BackendFailed, "backend-failed", "The backend server failed", 502,
                     Ran::Yes, RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::AnswerBroken, "answer-broken", "The answer was cut off", 502,
                     Ran::Unknown, RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::OutcomeUnknown, "outcome-unknown",
                     "It is not known whether the call ran", 504, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::PlatformUnavailable, "platform-unavailable",
                     "The platform does not answer", 503, Ran::No, RetryAdvice::Later},
        ErrorAnswer {ErrorKind::CorruptData, "corrupt-data", "Data did not match its digest", 502,
                     Ran::No, RetryAdvice::Later},
        ErrorAnswer {ErrorKind::ProtocolViolation, "protocol-violation",
                     "A peer sent what the protocol does not allow", 502, Ran::Unknown,
                     RetryAdvice::WithSameKeyOnly},
        ErrorAnswer {ErrorKind::Internal, "internal", "The system failed", 500, Ran::Unknown,
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
