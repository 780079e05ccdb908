#include "net/keepaliveclient.h"

#include "net/clock.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Connections idle for longer are not reused, because the peer may close them at any moment. */
constexpr auto maxIdleTime = std::chrono::milliseconds(1500);

Failure failureAt(const Address &address, ErrorKind kind, std::string_view step)
{
    return {kind, address.text() + ": " + std::string(step)};
}

} // namespace

KeepAliveClientOptions KeepAliveClientOptions::withStepTimeout(Duration value) const
{
    KeepAliveClientOptions options = *this;
    options.stepTimeout = value;
    return options;
}

KeepAliveClientOptions KeepAliveClientOptions::withBodyTimeout(Duration value) const
{
    KeepAliveClientOptions options = *this;
    options.bodyTimeout = value;
    return options;
}

KeepAliveClientOptions KeepAliveClientOptions::withMaxBytes(std::size_t value) const
{
    KeepAliveClientOptions options = *this;
    options.maxBytes = value;
    return options;
}

KeepAliveClient::KeepAliveClient(const asio::any_io_executor &executor, Address address,
                                 KeepAliveClientOptions options)
    : m_executor(executor), m_address(std::move(address)), m_options(options)
{ }

Awaitable<Outcome<HttpResponse>> KeepAliveClient::call(HttpRequest request, bool isIdempotent,
                                                       Duration extraResponseTime)
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
    const HttpConnectionPtr reused = std::move(m_connection);
    m_connection.reset();
    const bool isReused = reused && reused->isReusable() && reused->isIdleAndOpen()
            && monotonicNow() - reused->idleSince() < maxIdleTime;
    const std::uint64_t aborts = m_aborts;
    const auto connection = isReused ? reused : std::make_shared<HttpConnection>(m_executor);
    Outcome<HttpResponse> answer = co_await callOn(connection, isReused, text, extraResponseTime);
    if (failureOf(answer) != nullptr && isReused && isIdempotent && aborts == m_aborts) {
        const auto fresh = std::make_shared<HttpConnection>(m_executor);
        answer = co_await callOn(fresh, false, text, extraResponseTime);
    }
    co_return answer;
}

void KeepAliveClient::abort()
{
    ++m_aborts;
    for (const HttpConnectionPtr &connection : m_activeConnections) {
        connection->abort();
    }
}

Instant KeepAliveClient::receivedAt() const
{
    Instant latest;
    for (const HttpConnectionPtr &connection : m_activeConnections) {
        latest = std::max(latest, connection->receivedAt());
    }
    return latest;
}

/** Makes a call during which its connection can be aborted. */
Awaitable<Outcome<HttpResponse>> KeepAliveClient::callOn(HttpConnectionPtr connection,
                                                         bool isConnected, const std::string &text,
                                                         Duration extraResponseTime)
{
    m_activeConnections.insert(connection);
    Outcome<HttpResponse> answer =
            co_await callOnce(connection, isConnected, text, extraResponseTime);
    m_activeConnections.erase(connection);
    co_return answer;
}

Awaitable<Outcome<HttpResponse>> KeepAliveClient::callOnce(HttpConnectionPtr connection,
                                                           bool isConnected,
                                                           const std::string &text,
                                                           Duration extraResponseTime)
{
    if (!isConnected) {
        const auto endpoint = toOutcome([&] { return parseEndpoint(m_address); });
        if (const Failure *failure = failureOf(endpoint)) {
            co_return *failure;
        }
        const HttpIoStatus connected = co_await connection->connect(
                std::get<asio::ip::tcp::endpoint>(endpoint), m_options.stepTimeout);
        if (connected != HttpIoStatus::Done) {
            co_return failureAt(m_address, ErrorKind::NoBackendServer,
                                "connecting failed or timed out");
        }
    }
    const HttpIoStatus sent = co_await connection->send(text, m_options.stepTimeout);
    if (sent != HttpIoStatus::Done) {
        connection->abort();
        co_return failureAt(m_address, ErrorKind::OutcomeUnknown,
                            "sending the request failed or timed out");
    }
    HttpReadResult<HttpResponseHead> head =
            co_await connection->readHead(false, m_options.stepTimeout + extraResponseTime);
    if (head.ioStatus != HttpIoStatus::Done) {
        connection->abort();
        co_return failureAt(m_address, ErrorKind::OutcomeUnknown,
                            "no valid response head was received in time");
    }
    HttpReadResult<std::string> body = co_await connection->readBody(
            m_options.maxBytes, m_options.bodyTimeout, m_options.stepTimeout);
    if (body.ioStatus != HttpIoStatus::Done) {
        connection->abort();
        co_return failureAt(m_address, ErrorKind::OutcomeUnknown,
                            "the response body is incomplete or exceeds the size limit");
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
