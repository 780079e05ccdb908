/**
 * HTTP handler for callers: validates each request and runs it through a Forwarder.
 */
#pragma once

#include "entry/forwarder.h"
#include "entry/router.h"
#include "net/httpserver.h"
#include "net/log.h"
#include "net/metrics.h"

#include <memory>

namespace greengageseam {

/** Handles `/v1/chat/completions`, `/v1/completions` and `/services/<name>/...`. */
class CallerHandler
{
public:
    /** @param timeout time limit for each request, from its arrival to the end of its response */
    CallerHandler(const asio::any_io_executor &executor, ForwarderChannels channels,
                  Duration timeout, std::shared_ptr<Metrics> metrics, Log log);

    /** @returns true if CallerHandler serves @p path */
    static bool isCallerPath(const std::string &path);

    /** Processes one request, and returns when its response was sent or aborted. */
    Awaitable<void> handle(HttpExchange &exchange) const;

private:
    asio::any_io_executor m_executor;
    ForwarderChannels m_channels;
    Duration m_timeout;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
};

/**
 * Parses and validates a caller's HTTP request.
 * @param id identifier to assign to the request
 * @returns the request; or Unauthenticated without a bearer key, InvalidRequest if the method, the
 * body or the `Idempotency-Key` is invalid, NotFound if the path has no service name
 */
Result<CallerRequest> parseCallerRequest(HttpRequest request, const RequestId &id);

} // namespace greengageseam
