/**
 * The peer-to-peer exchange of weights. Entries bring each version into their zone and relay it,
 * and agents fetch it from them.
 */
#pragma once

#include "agent/chunklinks.h"
#include "agent/chunkserver.h"
#include "agent/weightmanager.h"
#include "exchange/versionfetcher.h"
#include "net/peerlink.h"

#include <functional>

namespace greengageseam {

/** Hook that is called when a peer requests a topic of the platform's store. It must not block. */
using TopicRequestObserver = std::function<void(const PeerLinkHandle &link, StreamId stream,
                                                const TopicRequestMessage &request)>;

/** Configuration of WeightExchange. */
struct ExchangeOptions
{
    FetcherOptions fetcher;
    /** The secret that all processes of the deployment share. */
    std::string secret;
    /** Maximum rate at which weights are requested, in bytes per second; 0 for no limit. */
    std::uint64_t linkBytesPerSecond = 0;
    /** Maximum number of concurrent fetches. */
    std::uint32_t maxFetches = 0;
    /** Maximum upload rate in bytes per second; uploads share the link with other traffic. */
    std::uint64_t serveBytesPerSecond = 0;
    /** Whether to limit fetches to one at a time while they are slow. */
    bool singleFetchWhenSlow = false;
    /** Takes the requests for topics that arrive on the peer address; may be empty. */
    TopicRequestObserver onTopicRequest;
};

/**
 * Creates and connects the tasks that exchange weights: the links to peers, the server of chunks,
 * the storage of weights, and VersionFetcher.
 */
class WeightExchange
{
public:
    /**
     * @param openOrigin creates the hooks for the origin of weights at an address
     * @param readStaged reads a locally staged piece; empty if this process has no access to them
     * @param completed called for each version that becomes complete; it must not block
     */
    WeightExchange(const asio::any_io_executor &executor, ExchangeOptions options,
                   OpenOrigin openOrigin, ReadStagedPiece readStaged,
                   std::function<void(const CompleteVersion &completed)> completed,
                   std::shared_ptr<Metrics> metrics, Log log);

    /** Starts all tasks. @returns InvalidRequest if it cannot listen on the peer address */
    Result<void> start();
    /** @returns the mailbox of VersionFetcher, which controls what is fetched */
    const MailboxPtr<FetcherCommand> &fetcher() const { return m_fetcher->mailbox(); }
    /** @returns the mailbox of the task that stores the weights */
    const MailboxPtr<WeightCommand> &weights() const { return m_weights->mailbox(); }
    /** Closes the links to other processes once pending data is sent, or after @p limit. */
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
