/**
 * Blocking HTTP/1.1 over loopback sockets, for the stand-ins and clients of the review's cases.
 */
#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review {

/** A request or response: its first line, its header fields and its whole body. */
struct HttpMessage
{
    std::string firstLine;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /** @returns the value of the first field of this name; empty if there is none */
    std::string field(const std::string &name) const;
    /** @returns the status of a response, or 0 */
    int status() const;
    /** @returns the target of a request */
    std::string target() const;
    /** @returns a parameter of the request's query; empty if there is none */
    std::string parameter(const std::string &name) const;
};

/** One TCP connection. The destructor closes it. */
class Connection
{
public:
    explicit Connection(int handle);
    ~Connection();
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    /** @returns a connection to HOST:PORT, or null */
    static std::unique_ptr<Connection> open(const std::string &address);

    /** Limits how long each further read waits. */
    void setReadTimeout(int milliseconds) const;
    /** @returns whether all bytes were written */
    bool send(const std::string &bytes) const;
    /** Reads a head and its body. @returns empty if the connection ends or the message is broken */
    std::optional<HttpMessage> receive();
    /** Ends the connection for both sides. */
    void shutDown() const;
    int handle() const { return m_handle; }

private:
    bool fill();
    std::optional<std::string> takeLine();
    std::optional<std::string> takeBytes(std::size_t count);
    std::optional<std::string> takeChunks();

    int m_handle;
    std::string m_buffer;
};

/** Answers a request. @returns the bytes to send; empty to end the connection without an answer */
using Handler =
        std::function<std::string(const HttpMessage &request, const Connection &connection)>;

/** A server with one thread for each connection, until the process ends. */
class Server
{
public:
    /** Listens on a free port of a loopback address. */
    Server(const std::string &host, Handler handler);

    const std::string &address() const { return m_address; }
    /** Ends all connections, as a crash of the server does. */
    void dropConnections();

private:
    struct State;

    std::shared_ptr<State> m_state;
    std::string m_address;
};

/** @returns a complete response with a length */
std::string response(const std::string &status, const std::string &extraFields,
                     const std::string &body);

/** @returns the first of a number of consecutive ports that are free on all of the hosts */
int freePorts(const std::vector<std::string> &hosts, int count);

} // namespace review
