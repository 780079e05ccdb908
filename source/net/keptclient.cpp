#include "net/keptclient.h"

#include "net/clock.h"

namespace greengageseam {

namespace {

/** Connections idle for longer are not reused, because the peer may close them at any moment. */
constexpr auto longestIdle = std::chrono::milliseconds(1500);

Failure failureAt(const Address &address, ErrorKind kind, std::string_view step)
{
    return {kind, address.text() + ": " + std::string(step)};
}

} // namespace

KeptClient::KeptClient(const asio::any_io_executor &executor, Address address, Duration limit,
                       std::size_t maxBytes)
    : m_executor(executor), m_address(std::move(address)), m_limit(limit), m_maxBytes(maxBytes)
{ }

Awaitable<Outcome<HttpResponse>> KeptClient::call(HttpRequest request, bool isRepeatable,
                                                  Duration wait)
{
    const auto self = shared_from_this();
    std::string text = request.method + " " + request.target
            + " HTTP/1.1\r\nHost: " + m_address.text() + "\r\n";
    for (const HttpHeader &field : request.headers) {
        text += field.name + ": " + field.value + "\r\n";
    }
    if (!request.body.empty() || request.method != "GET") {
        text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    }
    text += "\r\n" + request.body;
    // The connection is removed while in use: an overlapping call must not use it, and a failed
    // connection must not be kept.
    HttpConnectionPtr kept = std::move(m_connection);
    m_connection.reset();
    const bool isKept = kept && kept->isReusable() && kept->isQuiet()
            && monotonicNow() - kept->idleSince() < longestIdle;
    if (!isKept) {
        kept.reset();
    }
    Outcome<HttpResponse> answer = co_await callOnce(std::move(kept), text, wait);
    if (failureOf(answer) != nullptr && isKept && isRepeatable) {
        HttpConnectionPtr none;
        answer = co_await callOnce(std::move(none), text, wait);
    }
    co_return answer;
}

Awaitable<Outcome<HttpResponse>> KeptClient::callOnce(HttpConnectionPtr connection,
                                                      const std::string &text, Duration wait)
{
    if (!connection) {
        const auto endpoint = settle([&] { return parseEndpoint(m_address); });
        if (const Failure *failure = failureOf(endpoint)) {
            co_return *failure;
        }
        connection = std::make_shared<HttpConnection>(m_executor);
        const WireEnd end =
                co_await connection->connect(std::get<asio::ip::tcp::endpoint>(endpoint), m_limit);
        if (end != WireEnd::Done) {
            co_return failureAt(m_address, ErrorKind::NoBackendServer, "connection failed");
        }
    }
    const WireEnd sent = co_await connection->send(text, m_limit);
    if (sent != WireEnd::Done) {
        co_return failureAt(m_address, ErrorKind::OutcomeUnknown,
                            "connection lost while sending the request");
    }
    WireRead<WireHead> head = co_await connection->readHead(false, m_limit + wait);
    if (head.end != WireEnd::Done) {
        co_return failureAt(m_address, ErrorKind::OutcomeUnknown, "no response received");
    }
    WireRead<std::string> body = co_await connection->readBody(m_maxBytes, m_limit);
    if (body.end != WireEnd::Done) {
        co_return failureAt(m_address, ErrorKind::OutcomeUnknown,
                            "connection lost while reading the response");
    }
    if (connection->isReusable()) {
        m_connection = connection;
    }
    HttpResponse response;
    response.status = head.value.status;
    response.headers = std::move(head.value.headers);
    response.body = std::move(body.value);
    co_return response;
}

} // namespace greengageseam
