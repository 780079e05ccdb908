/**
 * The request of a caller, as the tasks of an entry see it.
 */
#pragma once

#include "entry/router.h"

#include <string>

namespace greengageseam {

/** A parsed and validated request of a caller. */
struct CallerRequest
{
    RequestId id;
    RouteQuery routeQuery;
    std::string contentType;
    std::string body;
    /** Path and query string as sent to the backend server. */
    std::string path;
    /** The caller's `Idempotency-Key`; empty if the request has none. */
    std::string idempotencyKey;
    /** True if the caller requested a streamed response. */
    bool isStreamed = false;

    auto operator<=>(const CallerRequest &) const = default;
};

} // namespace greengageseam
