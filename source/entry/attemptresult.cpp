#include "entry/attemptresult.h"

namespace greengageseam {

AttemptResult failedAttempt(ErrorKind kind, std::string detail, ExecutionStatus ran)
{
    return {Failure {kind, std::move(detail)}, ran, false};
}

AttemptResult callerDisconnected(ExecutionStatus ran)
{
    return {Failure {ErrorKind::AnswerBroken, "the caller has disconnected"}, ran, true};
}

AttemptVerdict verdictOf(const AttemptResult &result)
{
    if (!result.failure) {
        return AttemptVerdict::Answered;
    }
    if (result.isCallerDisconnected || result.failure->kind == ErrorKind::Draining) {
        return AttemptVerdict::Neutral;
    }
    return result.failure->kind == ErrorKind::Overloaded ? AttemptVerdict::Full
                                                         : AttemptVerdict::Failed;
}

} // namespace greengageseam
