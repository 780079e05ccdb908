/**
 * A stand-in for a faulty server that answers each request with the next bytes of a script.
 */
#pragma once

#include "core/common/time.h"
#include "net/endpoint.h"
#include "net/mailbox.h"

#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace greengageseam {

/** What a server does with a connection after it has written an answer. */
enum class AfterAnswer {
    Keeps,
    /** Closes it in the normal way. */
    Closes,
    /** Resets it, once the answer has had time to arrive. */
    Resets,
};

/** One answer of a script. */
struct ScriptedAnswer
{
    /** ATTEMPT is replaced by the Attempt-Id of the request. */
    std::string bytes;
    AfterAnswer after = AfterAnswer::Keeps;
    /** Sent a moment later, while the connection is idle; nothing if empty. */
    std::string laterBytes;
    /** Time from the request to the answer. */
    Duration delay {};

    auto operator<=>(const ScriptedAnswer &) const = default;
};

/** Answers of several servers in the order in which requests reach any of them. */
struct AnswerScript
{
    /** The last one is repeated. */
    std::deque<ScriptedAnswer> answers;
    /** Heads of the requests received so far. */
    std::vector<std::string> requests;
};

/** A server that plays a script, on connections that it keeps open unless the script says so. */
class ScriptedStandin
{
public:
    ScriptedStandin(const asio::any_io_executor &executor, std::shared_ptr<AnswerScript> script);

    const Address &address() const { return m_address; }
    /** @returns the number of connections that were opened to this server */
    std::size_t connections() const { return m_connections; }

private:
    using SocketPtr = std::shared_ptr<asio::ip::tcp::socket>;

    Awaitable<void> acceptLoop();
    Awaitable<void> serve(SocketPtr socket);
    /** Writes the answer. @returns whether the connection stays open */
    Awaitable<bool> play(SocketPtr socket, ScriptedAnswer answer, std::string attemptId);

    asio::any_io_executor m_executor;
    asio::ip::tcp::acceptor m_acceptor;
    Address m_address;
    std::shared_ptr<AnswerScript> m_script;
    std::size_t m_connections = 0;
};

/** @returns the value of a header field of a request's head; empty if there is none */
std::string fieldOf(const std::string &head, const std::string &name);

} // namespace greengageseam
