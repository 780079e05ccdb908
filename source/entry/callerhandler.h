/**
 * Reads callers' requests: checks their form, and hands each to a forwarder.
 */
#pragma once

#include "entry/forwarder.h"
#include "entry/router.h"
#include "net/httpserver.h"
#include "net/log.h"
#include "net/metrics.h"

#include <memory>

namespace greengageseam {

/** Answers `/v1/chat/completions`, `/v1/completions` and `/services/<name>/...`. */
class CallerHandler
{
public:
    /** @param limit longest time for a request */
    CallerHandler(const asio::any_io_executor &executor, ForwarderChannels channels,
                  Duration timeout, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns whether the path is one for callers */
    static bool isCallerPath(const std::string &path);

    /** Runs a request to its end. */
    Awaitable<void> handle(HttpExchange &exchange) const;

private:
    asio::any_io_executor m_executor;
    ForwarderChannels m_channels;
    Duration m_timeout;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
};

/**
 * Checks the form of a caller's request.
 * @param id identifier that the request gets
 * @returns the request, or Unauthenticated, InvalidRequest or NotFound
 */
Result<CallerRequest> parseCallerRequest(const HttpRequest &request, const RequestId &id);

} // namespace greengageseam
