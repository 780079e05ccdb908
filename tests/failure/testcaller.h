/**
 * A caller of entries that run within the process of a test, and free addresses for such entries.
 */
#pragma once

#include "net/endpoint.h"
#include "net/httpconnection.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <optional>
#include <string>

namespace greengageseam {

/** The response that a caller received. */
struct CallerResponse
{
    /** 0 if there was no response. */
    int status = 0;
    /** Whether the response was received up to its end. */
    bool isComplete = false;
    std::string body;
    HttpResponseHead head;
};

/** A part of a request that is sent some time after the part before it; nothing if it is empty. */
struct DelayedText
{
    std::string text;
    Duration delay {};
};

/** Sends a request on a new connection. @param received is set when the exchange has ended */
Awaitable<void> exchange(asio::any_io_executor executor, Address address, std::string text,
                         std::optional<CallerResponse> &received, DelayedText rest = {});

/** Runs the tasks until a condition holds. @returns false if it does not hold in time */
bool runUntil(asio::io_context &context, const std::function<bool()> &condition, Duration timeout);

/** Sends a request on a new connection. @returns the status; 0 without a response in time */
int requestStatus(asio::io_context &context, const Address &address, const std::string &text,
                  Duration timeout);

/**
 * Returns a loopback address that is currently free, and a different one each time. The port after
 * it is skipped, as an entry uses that one as well. It is below the ports that the kernel gives to
 * connections, which could take it meanwhile.
 *
 * @throws std::runtime_error if there is none
 */
Address freeAddress(asio::io_context &context);

/** @returns the port of an address */
std::uint16_t portOf(const Address &address);

} // namespace greengageseam
