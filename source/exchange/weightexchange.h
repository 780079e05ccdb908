/**
 * The tasks by which a process takes part in the exchange of weights: entries bring each version
 * into their zone and pass it on, agents take it from them.
 */
#pragma once

#include "agent/chunklinks.h"
#include "agent/chunkserver.h"
#include "agent/weightmanager.h"
#include "exchange/versionfetcher.h"
#include "net/peerlink.h"

namespace greengageseam {

/** What a process is told of its part. */
struct ExchangeOptions
{
    FetcherOptions fetcher;
    /** Secret that all processes of the deployment share. */
    std::string secret;
    /** Bytes a second of the machine's link that weights may use each way. */
    std::uint64_t linkBytesPerSecond = 0;
    /** Chunks that are read at a time. */
    std::uint32_t maxFetches = 0;
    /** Bytes a second that are served; they share the link with other traffic. */
    std::uint64_t serveBytesPerSecond = 0;
    /** Whether chunks are read one by one while they are slow. */
    bool singleFetchWhenSlow = false;
};

/** Brings the tasks together. */
class WeightExchange
{
public:
    /**
     * @param readStaged reads a piece that is staged at hand; empty if none can be
     * @param held is told of each version that is held whole; it must not wait
     */
    WeightExchange(const asio::any_io_executor &executor, ExchangeOptions options,
                   OpenOrigin openOrigin, ReadStagedPiece readStaged,
                   std::function<void(const CompleteVersion &completed)> completed,
                   std::shared_ptr<Metrics> metrics, Log log);

    /** Starts all tasks. @returns InvalidRequest if the address cannot be listened on */
    Result<void> start();
    /** @returns where to say what is wanted */
    const MailboxPtr<FetcherCommand> &fetcher() const { return m_fetcher->mailbox(); }
    /** @returns the task that holds the weights */
    const MailboxPtr<WeightCommand> &weights() const { return m_weights->mailbox(); }
    /** Ends the links to other processes once they have read everything. */
    Awaitable<void> finish(Duration limit);

private:
    void receive(const PeerLinkHandle &link, const StreamMessage &message);
    void makeLinks();
    void makeWeightManager(FetcherHooks hooks);

    asio::any_io_executor m_executor;
    ExchangeOptions m_options;
    PeerIdentity m_identity;
    std::shared_ptr<Metrics> m_metrics;
    Log m_log;
    MailboxPtr<WeightCommand> m_commands;
    std::shared_ptr<PeerListener> m_listener;
    std::shared_ptr<ChunkLinks> m_links;
    std::shared_ptr<ChunkServer> m_server;
    std::shared_ptr<WeightManager> m_weights;
    std::shared_ptr<VersionFetcher> m_fetcher;
};

} // namespace greengageseam
