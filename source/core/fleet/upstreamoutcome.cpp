#include "core/fleet/upstreamoutcome.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace {

constexpr std::array outcomeTable {
        UpstreamOutcomeInfo {UpstreamOutcome::NotConnected, "not-connected",
                             ExecutionStatus::NotExecuted, ErrorKind::NoBackendServer},
        UpstreamOutcomeInfo {UpstreamOutcome::ChoiceExpired, "choice-expired",
                             ExecutionStatus::NotExecuted, ErrorKind::NoBackendServer},
        UpstreamOutcomeInfo {UpstreamOutcome::BrokenWhileSending, "broken-while-sending",
                             ExecutionStatus::Unknown, ErrorKind::OutcomeUnknown},
        UpstreamOutcomeInfo {UpstreamOutcome::Rejected, "rejected", ExecutionStatus::NotExecuted,
                             ErrorKind::Overloaded},
        UpstreamOutcomeInfo {UpstreamOutcome::Misdirected, "misdirected",
                             ExecutionStatus::NotExecuted, ErrorKind::NoBackendServer},
        UpstreamOutcomeInfo {UpstreamOutcome::BrokenBeforeAnswer, "broken-before-answer",
                             ExecutionStatus::Unknown, ErrorKind::OutcomeUnknown},
        UpstreamOutcomeInfo {UpstreamOutcome::Garbled, "garbled", ExecutionStatus::Unknown,
                             ErrorKind::AnswerBroken},
        UpstreamOutcomeInfo {UpstreamOutcome::BrokenAnswer, "broken-answer",
                             ExecutionStatus::Executed, ErrorKind::AnswerBroken},
        UpstreamOutcomeInfo {UpstreamOutcome::Silent, "silent", ExecutionStatus::Unknown,
                             ErrorKind::OutcomeUnknown},
        UpstreamOutcomeInfo {UpstreamOutcome::DeadlineReached, "deadline-reached",
                             ExecutionStatus::Unknown, ErrorKind::DeadlineExceeded},
        UpstreamOutcomeInfo {UpstreamOutcome::Withdrawn, "withdrawn", ExecutionStatus::Unknown,
                             ErrorKind::OutcomeUnknown},
        UpstreamOutcomeInfo {UpstreamOutcome::FailedAnswer, "failed-answer",
                             ExecutionStatus::Executed, ErrorKind::BackendFailed},
        UpstreamOutcomeInfo {UpstreamOutcome::Answered, "answered", ExecutionStatus::Executed,
                             ErrorKind::Internal},
};

} // namespace

const UpstreamOutcomeInfo &outcomeInfo(UpstreamOutcome outcome)
{
    const auto *it = std::find_if(
            outcomeTable.begin(), outcomeTable.end(),
            [outcome](const UpstreamOutcomeInfo &row) { return row.outcome == outcome; });
    return it == outcomeTable.end() ? outcomeTable.back() : *it;
}

std::span<const UpstreamOutcomeInfo> upstreamOutcomeTable()
{
    return outcomeTable;
}

bool isIdempotent(RouteKind kind, bool canResume)
{
    return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && canResume);
}

bool mayRetry(UpstreamOutcome outcome, RouteKind kind, bool canResume)
{
    if (outcome == UpstreamOutcome::Answered || outcome == UpstreamOutcome::DeadlineReached
        || outcome == UpstreamOutcome::Withdrawn) {
        return false;
    }
    return outcomeInfo(outcome).ran == ExecutionStatus::NotExecuted
            || isIdempotent(kind, canResume);
}

ExecutionStatus combine(ExecutionStatus before, ExecutionStatus last)
{
    if (before == ExecutionStatus::Executed || last == ExecutionStatus::Executed) {
        return ExecutionStatus::Executed;
    }
    return before == ExecutionStatus::Unknown || last == ExecutionStatus::Unknown
            ? ExecutionStatus::Unknown
            : ExecutionStatus::NotExecuted;
}

ErrorKind errorAfter(UpstreamOutcome outcome, ExecutionStatus ran)
{
    const ErrorKind kind = outcomeInfo(outcome).error;
    if (descriptorFor(kind).ran == ExecutionStatus::NotExecuted
        && ran != ExecutionStatus::NotExecuted) {
        return ErrorKind::OutcomeUnknown;
    }
    return kind;
}

} // namespace greengageseam
