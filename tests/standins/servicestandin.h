/**
 * Stand-in for a plain service. It executes every request and counts the executions per body.
 */
#pragma once

#include "faults.h"
#include "net/httpserver.h"

#include <map>
#include <memory>
#include <string>

namespace greengageseam {

/** A service stand-in. */
class ServiceStandin : public std::enable_shared_from_this<ServiceStandin>
{
public:
    /** Handles a request from the agent. */
    Awaitable<void> handle(HttpExchange &exchange);
    /** Handles a request on the admin port: injects faults, or returns the counters. */
    Awaitable<void> handleAdmin(HttpExchange &exchange);

private:
    Awaitable<HttpResponse> run(const HttpRequest &request);

    Faults m_faults;
    std::map<std::string, std::uint32_t> m_runs;
};

} // namespace greengageseam
