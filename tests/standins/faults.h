/**
 * Fault injection for stand-ins.
 */
#pragma once

#include "net/httpserver.h"
#include "net/mailbox.h"

#include <boost/json.hpp>
#include <functional>

namespace greengageseam {

/** The faults that are currently injected. */
struct Faults
{
    /** Whether every connection is reset before its request is processed. */
    bool outage = false;
    /** Delay before a request is processed. */
    Duration delay {};
    /** Number of responses to drop after the request has taken effect. */
    std::uint32_t responsesToDrop = 0;
    /** Number of chunks to deliver corrupted. */
    std::uint32_t chunksToCorrupt = 0;
    /** Whether requests are accepted but not answered. */
    bool freeze = false;

    auto operator<=>(const Faults &) const = default;

    /** @returns a copy in which the members of a JSON object are set; other faults are unchanged */
    Faults with(const boost::json::object &object) const;
};

/** Hook that executes a request and creates the response. */
using MakeResponse = std::function<Awaitable<HttpResponse>(const HttpRequest &request)>;

/** Executes and answers a request, subject to the injected faults. */
Awaitable<void> respondUnderFaults(HttpExchange &exchange, Faults &faults,
                                   MakeResponse makeResponse);

/** Waits as long as the `freeze` fault is injected. */
Awaitable<void> waitWhileFrozen(const Faults &faults);

/** Creates a JSON response. */
HttpResponse jsonResponse(const boost::json::object &object, int status = 200);

} // namespace greengageseam
