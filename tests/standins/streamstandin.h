/**
 * A stand-in for a server that sends event streams at a pace that a script sets for each request.
 */
#pragma once

#include "net/httpserver.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/** How a server handles a request. A resumed stream begins after the request's Last-Event-Id. */
struct StreamScript
{
    /** Id of the last event; the first one has the id 1. */
    std::uint64_t events = 24;
    Duration interval = std::chrono::milliseconds(50);
    /** Size of the data of an event. */
    std::size_t eventBytes = 4;
    /** Time from the request to the head of the response. */
    Duration headDelay {};
    /** Id of the event before which the server pauses; 0 if it does not. */
    std::uint64_t pausesBefore = 0;
    Duration pause {};
    /** Id of the event in place of which the server resets the connection; 0 if it does not. */
    std::uint64_t breaksBefore = 0;
    /** Whether the server reports that it did not execute the request. */
    bool isRejected = false;

    auto operator<=>(const StreamScript &) const = default;
};

/** A request as it reached a server. */
struct ReceivedSend
{
    std::string requestId;
    /** Empty until the server sends its first event. */
    std::optional<Instant> firstEventAt;
    /** Empty until the sender closes the connection. */
    std::optional<Instant> closedAt;
};

/** The requests that have reached any server of a test, in the order of their arrival. */
struct SendLog
{
    std::vector<ReceivedSend> sends;

    /** @returns how often a request has reached a server */
    std::size_t countOf(const std::string &requestId) const;
    /** @returns the number of requests that have reached a server more than once */
    std::size_t resentRequests() const;
};

/**
 * Hook that decides how a server handles a request.
 * @param earlierSends how often the request has reached a server before
 */
using ChooseScript =
        std::function<StreamScript(const std::string &requestId, std::size_t earlierSends)>;

/** A server that plays a script for each request, on connections that it keeps open. */
class StreamStandin
{
public:
    StreamStandin(const asio::any_io_executor &executor, std::shared_ptr<SendLog> sendLog,
                  ChooseScript chooseScript, const Log &log);

    const Address &address() const { return m_address; }
    /** @returns the number of requests that have reached this server */
    std::size_t requests() const { return m_requests; }

private:
    Awaitable<void> handle(HttpExchange &exchange);
    /** Sends the response. @param send position of the request in the log */
    Awaitable<void> play(HttpExchange &exchange, StreamScript script, std::size_t send);

    asio::any_io_executor m_executor;
    std::shared_ptr<HttpServer> m_server;
    Address m_address;
    std::shared_ptr<SendLog> m_sendLog;
    ChooseScript m_chooseScript;
    std::size_t m_requests = 0;
};

} // namespace greengageseam
