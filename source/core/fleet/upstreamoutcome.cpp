#include "core/fleet/upstreamoutcome.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace {

constexpr std::array outcomeTable {
        UpstreamOutcomeInfo {UpstreamOutcome::NotConnected, "not-connected", Ran::No,
                             ErrorKind::NoBackendServer},
        UpstreamOutcomeInfo {UpstreamOutcome::BrokenWhileSending, "broken-while-sending",
                             Ran::Unknown, ErrorKind::OutcomeUnknown},
        UpstreamOutcomeInfo {UpstreamOutcome::Rejected, "rejected", Ran::No, ErrorKind::Overloaded},
        UpstreamOutcomeInfo {UpstreamOutcome::Misdirected, "misdirected", Ran::No,
                             ErrorKind::NoBackendServer},
        UpstreamOutcomeInfo {UpstreamOutcome::BrokenBeforeAnswer, "broken-before-answer",
                             Ran::Unknown, ErrorKind::OutcomeUnknown},
        UpstreamOutcomeInfo {UpstreamOutcome::Garbled, "garbled", Ran::Unknown,
                             ErrorKind::AnswerBroken},
        UpstreamOutcomeInfo {UpstreamOutcome::BrokenAnswer, "broken-answer", Ran::Yes,
                             ErrorKind::AnswerBroken},
        UpstreamOutcomeInfo {UpstreamOutcome::Silent, "silent", Ran::Unknown,
                             ErrorKind::OutcomeUnknown},
        UpstreamOutcomeInfo {UpstreamOutcome::DeadlineReached, "deadline-reached", Ran::Unknown,
                             ErrorKind::DeadlineExceeded},
        UpstreamOutcomeInfo {UpstreamOutcome::FailedAnswer, "failed-answer", Ran::Yes,
                             ErrorKind::BackendFailed},
        UpstreamOutcomeInfo {UpstreamOutcome::Answered, "answered", Ran::Yes, ErrorKind::Internal},
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
    if (outcome == UpstreamOutcome::Answered || outcome == UpstreamOutcome::DeadlineReached) {
        return false;
    }
    return outcomeInfo(outcome).ran == Ran::No || isIdempotent(kind, canResume);
}

Ran combine(Ran before, Ran last)
{
    if (before == Ran::Yes || last == Ran::Yes) {
        return Ran::Yes;
    }
    return before == Ran::Unknown || last == Ran::Unknown ? Ran::Unknown : Ran::No;
}

ErrorKind errorAfter(UpstreamOutcome outcome, Ran ran)
{
    const ErrorKind kind = outcomeInfo(outcome).error;
    if (answerFor(kind).ran == Ran::No && ran != Ran::No) {
        return ErrorKind::OutcomeUnknown;
    }
    return kind;
}

} // namespace greengageseam
