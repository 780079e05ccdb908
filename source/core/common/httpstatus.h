/**
 * Which numbers are status codes of HTTP responses.
 */
#pragma once

#include <cstdint>

namespace greengageseam {

/** What a status code says of the head that it stands in. */
enum class StatusClass : std::uint8_t {
    /** The head precedes the response (1xx). */
    Interim,
    /** The head belongs to the response. */
    Final,
    /** HTTP has no such code, or it does not fit any request of this system. */
    Invalid
};

/** @returns the class of a status code */
constexpr StatusClass classOfStatus(int status)
{
    constexpr int firstInterim = 100;
    // Agreement to a change of protocol, which is never requested.
    constexpr int switchingProtocols = 101;
    constexpr int firstFinal = 200;
    constexpr int lastFinal = 599;
    const bool isInvalid =
            status < firstInterim || status > lastFinal || status == switchingProtocols;
    if (isInvalid) {
        return StatusClass::Invalid;
    }
    return status < firstFinal ? StatusClass::Interim : StatusClass::Final;
}

} // namespace greengageseam
