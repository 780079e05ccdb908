/**
 * Faults that a stand-in shows on demand.
 */
#pragma once

#include "net/httpserver.h"
#include "net/mailbox.h"

#include <boost/json.hpp>
#include <functional>

namespace greengageseam {

/** The faults that are switched on. */
struct Faults
{
    /** Every connection is reset before anything happens. */
    bool outage = false;
    /** Time before a request is looked at. */
    Duration delay {};
    /** How many answers are still to be lost after their effect. */
    std::uint32_t responsesToDrop = 0;
    /** How many chunks are still to be given out corrupted. */
    std::uint32_t chunksToCorrupt = 0;
    /** Requests are taken and never answered while this holds. */
    bool freeze = false;

    auto operator<=>(const Faults &) const = default;

    /** @returns these faults with the members of an object set */
    Faults with(const boost::json::object &object) const;
};

/** Hook that makes the answer to a request, with its effect. */
using MakeResponse = std::function<Awaitable<HttpResponse>(const HttpRequest &request)>;

/** Answers a request under the faults that are switched on. */
Awaitable<void> respondUnderFaults(HttpExchange &exchange, Faults &faults,
                                   MakeResponse makeResponse);

/** Waits while the stand-in is frozen. */
Awaitable<void> waitWhileFrozen(const Faults &faults);

/** @returns a JSON response */
HttpResponse jsonResponse(const boost::json::object &object, int status = 200);

} // namespace greengageseam
