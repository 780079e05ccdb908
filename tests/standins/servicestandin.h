/**
 * Stand-in for a plain service: runs every call, and counts them by their bodies.
 */
#pragma once

#include "faults.h"
#include "net/httpserver.h"

#include <map>
#include <memory>
#include <string>

namespace greengageseam {

/** One plain service. */
class ServiceStandin : public std::enable_shared_from_this<ServiceStandin>
{
public:
    /** Answers a call. */
    Awaitable<void> handle(HttpExchange &exchange);
    /** Answers a request on the admin port. */
    Awaitable<void> handleAdmin(HttpExchange &exchange);

private:
    Awaitable<HttpResponse> run(const HttpRequest &request);

    Faults m_faults;
    std::map<std::string, std::uint32_t> m_runs;
};

} // namespace greengageseam
