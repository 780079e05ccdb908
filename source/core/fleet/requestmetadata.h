/**
 * Metadata of a caller's request, of the request sent upstream to a backend server, and of the
 * backend server's response. These types are independent of the header names used on the wire.
 */
#pragma once

#include "core/common/time.h"
#include "core/fleet/promptpart.h"
#include "core/fleet/replica.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/** Metadata of a request as received from a caller. */
struct RequestMetadata
{
    /** Identifies one attempt of the caller; a retry by the caller has another id. */
    std::string attemptId;
    /** Time for which the caller is willing to wait; empty if the request does not state it. */
    std::optional<Duration> remaining;
    std::string apiKey;
    /** Id of the last event that the caller has received; set when it resumes a stream. */
    std::optional<std::uint64_t> lastEventId;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxOutputTokens = 0;
    /** The caller's estimate of the length of the response in tokens. */
    std::optional<std::uint64_t> expectedOutputTokens;
    /** The parts of the prompt in order; empty if the request does not list them. */
    std::vector<PromptPart> promptParts;

    auto operator<=>(const RequestMetadata &) const = default;
};

/** Metadata sent with a request to a backend server. */
struct UpstreamRequestMetadata
{
    /** The intended backend server; any other must reject the request. */
    ReplicaId replica;
    Duration remaining {};
    /** Empty if the route does not require a client account. */
    AccountName account;
    /** Expected version of the weights; a backend server with another one rejects the request. */
    std::optional<std::uint64_t> weightsVersion;
    /** From 0 to 9; the backend server admits 0 first. */
    std::optional<std::uint32_t> priority;
    /** Id of the event after which the backend server resumes the stream. */
    std::optional<std::uint64_t> lastEventId;

    auto operator<=>(const UpstreamRequestMetadata &) const = default;
};

/** Metadata of a backend server's response. */
struct ResponseMetadata
{
    std::string attemptId;
    /** The backend server has not executed the request and will not do so. */
    bool isNotExecuted = false;
    /** The response comes from an unintended backend server, or from one with other weights. */
    bool isMisdirected = false;
    /** The response carries the seal that marks it as produced by a backend server. */
    bool isSealed = false;
    bool isEventStream = false;
    /** The body has a content encoding; backend servers send none, so it is from something else. */
    bool isEncoded = false;
    /** Time for which the backend server keeps an idle connection open; empty if not stated. */
    std::optional<Duration> keepAliveTimeout;
    /** The backend server leaves and wants no further requests. */
    bool isLeaving = false;
    /** The time that the response asks to wait before a further request; empty if not stated. */
    std::optional<Duration> retryAfter;
    /** The response states such a time, but in a form that is none. */
    bool isRetryAfterInvalid = false;

    auto operator<=>(const ResponseMetadata &) const = default;
};

} // namespace greengageseam
