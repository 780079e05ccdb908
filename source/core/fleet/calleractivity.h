/**
 * What happens on a caller's connection, and when its timeouts end it.
 */
#pragma once

#include "core/fleet/fleetconfig.h"

#include <optional>

namespace greengageseam {

/** How much of the next request has arrived on a connection. */
enum class RequestStage { None, Header, Body };

/** What a timeout demands of a connection. */
enum class TimeoutAction {
    None,
    /** Close it: no request has arrived, and it has been idle for too long. */
    CloseIdle,
    /** Reject the request that is being read: it arrives too slowly. */
    RejectSlow,
};

/** A planned stop of the server, as far as idle connections are concerned. */
struct PlannedStop
{
    Instant beganAt;
    /**
     * How long a connection stays open at least that no response has announced as closing, counted
     * from its last response or from the beginning of the stop: its caller may send a request.
     */
    Duration idleNotice {};
    /** Whether the time for the stop is over, so that idle connections close at once. */
    bool isExpired = false;

    auto operator<=>(const PlannedStop &) const = default;
};

/**
 * The requests of a caller's connection that are being read or answered. A caller may send the next
 * request while the response to the one before is in progress, so both sides are counted apart.
 */
class CallerActivity
{
public:
    /** @param acceptedAt when the connection was accepted */
    explicit CallerActivity(Instant acceptedAt)
        : m_readingSince(acceptedAt), m_answeredAt(acceptedAt)
    { }

    /** The first bytes of a request have arrived. */
    void beginRequest(Instant now);
    /** The header of the request is complete, but not its body. */
    void beginBody(Instant now);
    /** The request has been read, or is rejected; a response is due. */
    void endRequest();
    /** The response to the oldest request without one has ended. */
    void endResponse(Instant now);

    /** @returns whether no request is being read or answered */
    bool isIdle() const { return m_reading == RequestStage::None && m_unanswered == 0; }
    /** @returns the end of the last response; before the first, when the connection was accepted */
    Instant answeredAt() const { return m_answeredAt; }

    /**
     * @param stop the planned stop; empty while there is none
     * @returns what the timeouts demand; nothing while a response is due
     */
    TimeoutAction timeoutAction(const CallerLimits &limits, const std::optional<PlannedStop> &stop,
                                Instant now) const;

    auto operator<=>(const CallerActivity &) const = default;

private:
    bool isIdleForTooLong(const CallerLimits &limits, const std::optional<PlannedStop> &stop,
                          Instant now) const;
    bool isSlow(const CallerLimits &limits, Instant now) const;

    RequestStage m_reading = RequestStage::None;
    /** When the request that is being read got as far as it is. */
    Instant m_readingSince;
    /** Number of requests that have ended and whose responses have not. */
    std::size_t m_unanswered = 0;
    Instant m_answeredAt;
};

} // namespace greengageseam
