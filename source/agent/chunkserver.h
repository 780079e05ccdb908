/**
 * The task that uploads weights to other agents, limited to the configured link rate.
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

/** Immutable bytes of a chunk, shared by all tasks that use them. */
using ChunkBytes = std::shared_ptr<const std::string>;

/** Requests an upload on a stream of a peer's link. */
struct ServeBytes
{
    ChunkBytes bytes;
    PeerLinkHandle link;
    StreamId stream = 0;
};

/** Messages to the task. */
using ChunkServerCommand = std::variant<ServeBytes, LiveLoadChanged>;

/** Limits of the server. */
struct ChunkServerOptions
{
    /** Maximum upload rate in bytes per second; 0 means unlimited. */
    std::uint64_t bytesPerSecond = 0;
    /** Maximum number of concurrent uploads. */
    std::size_t maxUploads = 2;
    /** Maximum number of uploads that wait for a slot; further requests are rejected. */
    std::size_t maxPendingUploads = 16;

    /** @returns a copy with another upload rate */
    ChunkServerOptions withBytesPerSecond(std::uint64_t value) const;
    auto operator<=>(const ChunkServerOptions &) const = default;
};

/** Queues and sends the uploads of one agent, and owns its upload slots. */
class ChunkServer : public std::enable_shared_from_this<ChunkServer>
{
public:
    /**
     * @param executor runs the task
     * @param options limits of the server
     * @param metrics receives the numbers of uploaded bytes and rejected uploads
     */
    ChunkServer(const asio::any_io_executor &executor, ChunkServerOptions options,
                std::shared_ptr<Metrics> metrics);

    /** @returns the mailbox for commands to this task */
    const MailboxPtr<ChunkServerCommand> &mailbox() const { return m_mailbox; }
    /** Starts the task. */
    void start();

private:
    /** An upload in progress. */
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
    /** Wakes the send loop when an upload was queued. */
    MailboxPtr<std::monostate> m_wake;
    std::deque<ServeBytes> m_pendingUploads;
    /**
     * Uploads in progress, served round-robin. Invariant: at most ChunkServerOptions::maxUploads.
     */
    std::deque<Upload> m_uploads;
    LinkRateLimiter m_rateLimiter;
};

} // namespace greengageseam
