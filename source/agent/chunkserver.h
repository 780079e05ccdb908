/**
 * The task that serves weights to other agents, at the pace of the machine's link.
 */
#pragma once

#include "core/weights/weights.h"
#include "net/metrics.h"
#include "net/peerlink.h"

#include <deque>
#include <functional>
#include <memory>
#include <variant>

namespace greengageseam {

/** Bytes of a chunk, shared by all who read them. */
using ChunkBytes = std::shared_ptr<const std::string>;

/** Serves bytes on a stream of a peer's link. */
struct ServeBytes
{
    ChunkBytes bytes;
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** Messages to the server. */
using ChunkServerCommand = std::variant<ServeBytes, LiveLoadChanged>;

/** Bounds of the server. */
struct ChunkServerOptions
{
    /** Bytes a second that are sent; 0 is without limit. */
    std::uint64_t bytesPerSecond = 0;
    /** Chunks that are sent at a time. */
    std::size_t maxUploads = 2;
    /** Chunks that wait for a slot; further ones are refused. */
    std::size_t maxPendingUploads = 16;

    ChunkServerOptions withBytesPerSecond(std::uint64_t value) const;
    auto operator<=>(const ChunkServerOptions &) const = default;
};

/** Owns the upload slots of one agent. */
class ChunkServer : public std::enable_shared_from_this<ChunkServer>
{
public:
    ChunkServer(const asio::any_io_executor &executor, ChunkServerOptions options,
                std::shared_ptr<Metrics> metrics);

    /** @returns where to send commands */
    const MailboxPtr<ChunkServerCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    /** A chunk that is being sent. */
    struct Upload
    {
        ServeBytes request;
        std::size_t sent = 0;
    };

    Awaitable<void> run();
    Awaitable<void> sendLoop();
    Awaitable<void> sendPart();
    void apply(const ServeBytes &command);
    void apply(const LiveLoadChanged &command);

    asio::any_io_executor m_executor;
    ChunkServerOptions m_options;
    std::shared_ptr<Metrics> m_metrics;
    MailboxPtr<ChunkServerCommand> m_mailbox;
    /** Wakes the send loop. */
    MailboxPtr<std::monostate> m_wake;
    std::deque<ServeBytes> m_pendingUploads;
    /** Uploads in turn. Invariant: at most as many as there are slots. */
    std::deque<Upload> m_uploads;
    LinkRateLimiter m_rateLimiter;
};

} // namespace greengageseam
