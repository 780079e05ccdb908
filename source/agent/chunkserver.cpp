#include "agent/chunkserver.h"

#include "net/clock.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 1024;
constexpr std::size_t partBytes = 64 * 1024;

} // namespace

ChunkServerOptions ChunkServerOptions::withBytesPerSecond(std::uint64_t value) const
{
    ChunkServerOptions next = *this;
    next.bytesPerSecond = value;
    return next;
}

ChunkServer::ChunkServer(const asio::any_io_executor &executor, ChunkServerOptions options,
                         std::shared_ptr<Metrics> metrics)
    : m_executor(executor), m_options(options), m_metrics(std::move(metrics)),
      m_mailbox(makeMailbox<ChunkServerCommand>(executor, mailboxCapacity)),
      m_wake(makeMailbox<std::monostate>(executor, 1)),
      m_rateLimiter(options.bytesPerSecond, monotonicNow())
{ }

void ChunkServer::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->sendLoop(); }, asio::detached);
}

Awaitable<void> ChunkServer::run()
{
    while (std::optional<ChunkServerCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void ChunkServer::apply(const ServeBytes &command)
{
    if (m_pendingUploads.size() >= m_options.maxPendingUploads) {
        const Failure failure {ErrorKind::Overloaded, "the upload queue is full"};
        command.link.post(command.stream, FailedMessage {failure, ExecutionStatus::NotExecuted});
        m_metrics->count("weight_uploads_refused_total",
                         "Uploads rejected because the upload queue is full");
        return;
    }
    m_pendingUploads.push_back(command);
    m_wake->post({});
}

void ChunkServer::apply(const LiveLoadChanged &command)
{
    m_rateLimiter = m_rateLimiter.throttled(command.isHigh);
}

Awaitable<void> ChunkServer::sendLoop()
{
    Timer timer(m_executor);
    while (true) {
        while (m_uploads.size() < m_options.maxUploads && !m_pendingUploads.empty()) {
            m_uploads.push_back({std::move(m_pendingUploads.front()), 0});
            m_pendingUploads.pop_front();
        }
        if (m_uploads.empty()) {
            co_await m_wake->receive();
            continue;
        }
        m_rateLimiter = m_rateLimiter.at(monotonicNow());
        const Duration wait = m_rateLimiter.waitTime();
        if (wait > Duration::zero()) {
            timer.expires_after(wait);
            co_await timer.async_wait(asTuple);
            continue;
        }
        co_await sendPart();
    }
}

/** Sends one part of the first upload in the queue, and requeues the upload if it is incomplete. */
Awaitable<void> ChunkServer::sendPart()
{
    Upload upload = std::move(m_uploads.front());
    m_uploads.pop_front();
    const std::string &bytes = *upload.request.bytes;
    const std::size_t n = std::min(partBytes, bytes.size() - upload.sent);
    const bool isLast = upload.sent + n == bytes.size();
    m_rateLimiter = m_rateLimiter.consumed(n);
    ChunkPartMessage part {bytes.substr(upload.sent, n), isLast};
    const bool isSent = co_await upload.request.link.send(upload.request.stream, std::move(part));
    if (!isSent) {
        co_return;
    }
    upload.sent += n;
    if (!isLast) {
        m_uploads.push_back(std::move(upload));
        co_return;
    }
    m_metrics->count("weight_bytes_served_total", "Bytes of weights served to peers", {},
                     static_cast<double>(bytes.size()));
}

} // namespace greengageseam
