#include "core/fleet/upstreamoutcome.h"

#include <algorithm>
#include <array>

namespace greengageseam {

namespace {

constexpr std::array meanings {
        SendEndMeaning {SendEnd::NotConnected, "not-connected", Ran::No,
                        ErrorKind::NoBackendServer},
        SendEndMeaning {SendEnd::BrokenWhileSending, "broken-while-sending", Ran::Unknown,
                        ErrorKind::OutcomeUnknown},
        SendEndMeaning {SendEnd::Rejected, "rejected", Ran::No, ErrorKind::Overloaded},
        SendEndMeaning {SendEnd::Misdirected, "misdirected", Ran::No, ErrorKind::NoBackendServer},
        SendEndMeaning {SendEnd::BrokenBeforeAnswer, "broken-before-answer", Ran::Unknown,
                        ErrorKind::OutcomeUnknown},
        SendEndMeaning {SendEnd::Garbled, "garbled", Ran::Unknown, ErrorKind::AnswerBroken},
        SendEndMeaning {SendEnd::BrokenAnswer, "broken-answer", Ran::Yes, ErrorKind::AnswerBroken},
        SendEndMeaning {SendEnd::Silent, "silent", Ran::Unknown, ErrorKind::OutcomeUnknown},
        SendEndMeaning {SendEnd::DeadlineReached, "deadline-reached", Ran::Unknown,
                        ErrorKind::DeadlineExceeded},
        SendEndMeaning {SendEnd::FailedAnswer, "failed-answer", Ran::Yes, ErrorKind::BackendFailed},
        SendEndMeaning {SendEnd::Answered, "answered", Ran::Yes, ErrorKind::Internal},
};

} // namespace

const SendEndMeaning &meaningOf(SendEnd end)
{
    const auto *it = std::find_if(meanings.begin(), meanings.end(),
                                  [end](const SendEndMeaning &row) { return row.end == end; });
    return it == meanings.end() ? meanings.back() : *it;
}

std::span<const SendEndMeaning> sendEndTable()
{
    return meanings;
}

bool isRepeatable(RouteKind kind, bool canResume)
{
    return kind == RouteKind::Idempotent || (kind == RouteKind::Streaming && canResume);
}

bool maySendAgain(SendEnd end, RouteKind kind, bool canResume)
{
    if (end == SendEnd::Answered || end == SendEnd::DeadlineReached) {
        return false;
    }
    return meaningOf(end).ran == Ran::No || isRepeatable(kind, canResume);
}

Ran combine(Ran before, Ran last)
{
    if (before == Ran::Yes || last == Ran::Yes) {
        return Ran::Yes;
    }
    return before == Ran::Unknown || last == Ran::Unknown ? Ran::Unknown : Ran::No;
}

ErrorKind answerAfter(SendEnd end, Ran ran)
{
    const ErrorKind kind = meaningOf(end).answer;
    if (answerFor(kind).ran == Ran::No && ran != Ran::No) {
        return ErrorKind::OutcomeUnknown;
    }
    return kind;
}

} // namespace greengageseam
