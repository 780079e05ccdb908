#include "exchange/weightexchange.h"

#include "agent/peerchunks.h"
#include "net/clock.h"

namespace greengageseam {

namespace {

/**
 * Time after which the next owner takes over. It must be short, since an owner may be cut off from
 * the other entries while agents still see it as live.
 */
constexpr auto ownerTimeout = std::chrono::milliseconds(900);

} // namespace

WeightExchange::WeightExchange(const asio::any_io_executor &executor, ExchangeOptions options,
                               OpenOrigin openOrigin, ReadStagedPiece readStaged,
                               std::function<void(const CompleteVersion &completed)> completed,
                               std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_options(std::move(options)),
      m_identity {"exchange", m_options.fetcher.self, m_options.fetcher.zone, m_options.secret},
      m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_commands(WeightManager::makeCommandMailbox(executor))
{
    makeLinks();
    makeWeightManager({std::move(openOrigin), m_commands,
                       makeListReader(executor, m_links->mailbox()), std::move(readStaged),
                       std::move(completed)});
}

void WeightExchange::makeLinks()
{
    LinkHooks hooks;
    hooks.onMessage = [this](const PeerLinkHandle &link, const StreamMessage &message) {
        receive(link, message);
    };
    hooks.onClosed = [this](const PeerLinkHandle &link, const LinkClosed &) {
        // Links on which topics are requested are accepted here too, but carry no weights.
        if (link.peer().role == m_identity.role) {
            m_links->mailbox()->post(PeerLinkClosed {link.peer().instance});
        }
    };
    m_listener = std::make_shared<PeerListener>(m_executor, m_identity, hooks, m_log);

    ChunkLinksHooks links;
    links.onChunksAnnounced = [commands = m_commands](const PeerChunksAnnounced &has,
                                                      bool isAnswerWanted) {
        commands->post(PeerAnnouncementReceived {has, isAnswerWanted});
    };
    links.onLinked = [commands = m_commands](const InstanceId &peer) {
        commands->post(PeerLinked {peer});
    };
    links.onLinkLost = [commands = m_commands](const InstanceId &peer) {
        commands->post(PeerDisconnected {peer});
    };
    links.onRequest = [this](const PeerLinkHandle &link, const StreamMessage &message) {
        receive(link, message);
    };
    m_links = std::make_shared<ChunkLinks>(m_executor, m_identity, links, m_metrics, m_log);
}

void WeightExchange::makeWeightManager(FetcherHooks hooks)
{
    const auto serving = ChunkServerOptions().withBytesPerSecond(m_options.serveBytesPerSecond);
    m_server = std::make_shared<ChunkServer>(m_executor, serving, m_metrics);
    m_fetcher = std::make_shared<VersionFetcher>(m_executor, m_options.fetcher, std::move(hooks),
                                                 m_log);

    TransferOptions transfer;
    transfer.self = m_options.fetcher.self;
    transfer.zone = m_options.fetcher.zone;
    transfer.maxFetches = m_options.maxFetches;
    transfer.buildsManifestsLocally = true;
    transfer.ownerTimeout = ownerTimeout;
    transfer.singleFetchWhenSlow = m_options.singleFetchWhenSlow;
    transfer = transfer.withLinkBytesPerSecond(m_options.linkBytesPerSecond);
    const WeightTasks tasks {m_links->mailbox(), m_server->mailbox()};
    WeightHooks weightHooks;
    weightHooks.onStatus = [mailbox = m_fetcher->mailbox()](const WeightStatus &status) {
        mailbox->post(FetcherCompleteVersionsChanged {status.completeVersions});
    };
    weightHooks.onManifestDoubt = [mailbox = m_fetcher->mailbox()](const ManifestDoubt &doubt) {
        mailbox->post(FetcherListDoubted {ChunkSource {doubt.peer}, doubt.announced});
    };
    m_weights = std::make_shared<WeightManager>(
            m_executor, m_commands, TransferPlanner(transfer, swarmPolicy(), monotonicNow()),
            m_fetcher->sources(makePeerReader(m_executor, m_links->mailbox())), tasks,
            std::move(weightHooks), m_metrics, m_log);
}

void WeightExchange::receive(const PeerLinkHandle &link, const StreamMessage &message)
{
    if (const auto *wanted = std::get_if<ChunkRequestMessage>(&message.message)) {
        m_commands->post(ChunkRequested {wanted->digest, link, message.stream});
    } else if (const auto *have = std::get_if<HaveMessage>(&message.message)) {
        m_links->mailbox()->post(HaveMessageReceived {link, *have});
    } else if (const auto *list = std::get_if<PieceListRequestMessage>(&message.message)) {
        const auto reply = [link, stream = message.stream](const PieceList &known) {
            link.post(stream, PieceListMessage {known});
        };
        m_fetcher->mailbox()->post(FetcherListQuery {list->model, list->version, reply});
    } else if (const auto *topic = std::get_if<TopicRequestMessage>(&message.message)) {
        if (m_options.onTopicRequest) {
            m_options.onTopicRequest(link, message.stream, *topic);
        }
    }
}

Result<void> WeightExchange::start()
{
    const Address address(m_options.fetcher.self.text() + ":"
                          + std::to_string(m_options.fetcher.peerPort));
    BOOST_LEAF_CHECK(m_listener->listen(address));
    m_listener->start();
    m_links->start();
    m_server->start();
    m_weights->start();
    m_fetcher->start();
    return {};
}

Awaitable<void> WeightExchange::finish(Duration limit)
{
    co_await m_listener->finish(limit);
    m_listener->stop();
}

} // namespace greengageseam
