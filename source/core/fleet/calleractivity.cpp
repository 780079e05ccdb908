#include "core/fleet/calleractivity.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** The timeout for a request body, as a multiple of the header timeout. */
constexpr int bodyTimeoutFactor = 5;

} // namespace

void CallerActivity::beginRequest(Instant now)
{
    m_reading = RequestStage::Header;
    m_readingSince = now;
}

void CallerActivity::beginBody(Instant now)
{
    m_reading = RequestStage::Body;
    m_readingSince = now;
}

void CallerActivity::endRequest()
{
    m_reading = RequestStage::None;
    ++m_unanswered;
}

void CallerActivity::endResponse(Instant now)
{
    --m_unanswered;
    m_answeredAt = now;
}

TimeoutAction CallerActivity::timeoutAction(const CallerLimits &limits,
                                            const std::optional<PlannedStop> &stop,
                                            Instant now) const
{
    if (isIdle()) {
        return isIdleForTooLong(limits, stop, now) ? TimeoutAction::CloseIdle : TimeoutAction::None;
    }
    return isSlow(limits, now) ? TimeoutAction::RejectSlow : TimeoutAction::None;
}

bool CallerActivity::isIdleForTooLong(const CallerLimits &limits,
                                      const std::optional<PlannedStop> &stop, Instant now) const
{
    if (now - m_answeredAt > limits.idleTimeout) {
        return true;
    }
    if (!stop) {
        return false;
    }
    const Instant noticeEnd = std::max(m_answeredAt, stop->beganAt) + stop->idleNotice;
    return stop->isExpired || now >= noticeEnd;
}

/** A request that began during the response before it is timed from the end of that response. */
bool CallerActivity::isSlow(const CallerLimits &limits, Instant now) const
{
    if (m_unanswered > 0) {
        return false;
    }
    const Duration elapsed = now - std::max(m_readingSince, m_answeredAt);
    const int factor = m_reading == RequestStage::Body ? bodyTimeoutFactor : 1;
    return elapsed > limits.headerTimeout * factor;
}

} // namespace greengageseam
