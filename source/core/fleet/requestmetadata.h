/**
 * What a caller's request says of itself, what is sent along to a backend server, and what its
 * answer says, apart from how any of it is written on the wire.
 */
#pragma once

#include "core/common/time.h"
#include "core/fleet/replica.h"

#include <cstdint>
#include <optional>
#include <string>

namespace greengageseam {

/** What a request says of itself. */
struct RequestMetadata
{
    /** Id of this attempt of the caller. */
    std::string attemptId;
    /** How long the caller will wait; nothing if it does not say. */
    std::optional<Duration> remaining;
    std::string apiKey;
    /** The caller has the events up to this one. */
    std::optional<std::uint64_t> lastEventId;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    /** The caller's guess of the length of the answer in tokens. */
    std::optional<std::uint64_t> expectedOutputTokens;

    auto operator<=>(const RequestMetadata &) const = default;
};

/** What is sent along with a request. */
struct UpstreamRequestMetadata
{
    /** Any other backend server must refuse the request. */
    ReplicaId replica;
    Duration remaining {};
    /** Empty if the caller needs no account. */
    AccountName account;
    /** A backend server with other weights must refuse the request. */
    std::optional<std::uint64_t> weightsVersion;
    /** 0 is admitted first, 9 last. */
    std::optional<std::uint32_t> priority;
    /** The stream goes on after this event. */
    std::optional<std::uint64_t> lastEventId;

    auto operator<=>(const UpstreamRequestMetadata &) const = default;
};

/** What an answer says of itself. */
struct ResponseMetadata
{
    std::string attemptId;
    /** The backend server did not run the request, and will not. */
    bool isNotExecuted = false;
    /** The backend server is not the one that was meant, or has other weights. */
    bool isMisdirected = false;
    /** The answer carries the backend server's seal. */
    bool isSealed = false;
    bool isEventStream = false;
    /** The body is encoded, so it is not the backend server's own. */
    bool isEncoded = false;
    /** The connection may be idle for so long; nothing if the answer does not say. */
    std::optional<Duration> keepAliveTimeout;

    auto operator<=>(const ResponseMetadata &) const = default;
};

} // namespace greengageseam
