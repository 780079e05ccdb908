#include "steward/steward.h"

#include "agent/peerchunks.h"
#include "net/clock.h"

namespace greengageseam {

namespace {

constexpr auto probePeriod = std::chrono::milliseconds(100);
/** A report that says nothing new is told again after so long. */
constexpr auto retellAfter = std::chrono::milliseconds(400);
constexpr auto finishLimit = std::chrono::seconds(1);
/** Share of the machine's link that weights may use beside the answers of the backend server. */
constexpr double linkShare = 0.72;
/** Chunks that are read at a time; what is on its way delays the answers on the same link. */
constexpr std::uint32_t maxFetches = 4;
constexpr double bytesPerMegabit = 125'000;

} // namespace

Steward::Steward(const asio::any_io_executor &executor, NodeSettings settings,
                 PlatformAdapter adapter, std::string secret, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_adapter(std::move(adapter)),
      m_secret(std::move(secret)), m_log(std::move(log)), m_metrics(std::make_shared<Metrics>())
{ }

Result<void> Steward::start()
{
    const InstanceId self = agentBeside(m_settings.backend);
    const PeerIdentity identity {"agent", self, m_settings.zone, m_secret};
    LinkHooks hooks;
    hooks.receive = [this](const PeerLinkHandle &link, StreamMessage message) {
        if (const auto *wanted = std::get_if<ChunkWantedMessage>(&message.message)) {
            m_weights->mailbox()->post(ChunkAsked {wanted->digest, link, message.stream});
        } else if (const auto *have = std::get_if<HaveMessage>(&message.message)) {
            m_links->mailbox()->post(HaveHeard {link, *have});
        }
    };
    hooks.ended = [this](const PeerLinkHandle &link, const LinkClosed &) {
        m_links->mailbox()->post(PeerLinkEnded {link.peer().instance});
    };
    m_listener = std::make_shared<PeerListener>(m_executor, identity, hooks, m_log);
    const Address peerAddress(m_settings.ip + ":" + std::to_string(m_settings.firstPort));
    BOOST_LEAF_CHECK(m_listener->listen(peerAddress));

    m_teller = std::make_shared<LoadTeller>(m_executor, m_log);
    BOOST_LEAF_CHECK(m_teller->start(m_settings.ip, m_settings.firstPort + 1));

    makeWeightTasks();
    makeFeed();
    m_probe = std::make_shared<ReplicaProbe>(
            m_executor, m_adapter.openReplica(m_settings.backend), probePeriod,
            [this](const std::optional<ReplicaReport> &report) { onReport(report); }, m_log);

    m_listener->start();
    m_links->start();
    m_server->start();
    m_weights->start();
    m_fetcher->start();
    m_installer->start();
    m_feed->start();
    m_probe->start();
    m_log.info("agent.started", {{"backend", m_settings.backend.text()}});
    return {};
}

void Steward::makeWeightTasks()
{
    const auto commands = WeightKeeper::makeCommands(m_executor);
    const auto linkBytes =
            static_cast<std::uint64_t>(m_settings.linkMbps * bytesPerMegabit * linkShare);
    m_server = std::make_shared<ChunkServer>(
            m_executor, ServerOptions().withBytesPerSecond(linkBytes),
            [commands](std::uint64_t bytes) { commands->post(ServedSoFar {bytes}); }, m_metrics);

    ChunkLinksHooks hooks;
    hooks.have = [commands](const PeerHas &has, bool isAnswerWanted) {
        commands->post(PeerOffers {has, isAnswerWanted});
    };
    hooks.linked = [commands](const InstanceId &peer) { commands->post(PeerLinked {peer}); };
    hooks.lost = [commands](const InstanceId &peer) { commands->post(PeerGone {peer}); };
    hooks.asked = [commands](const PeerLinkHandle &link, StreamMessage message) {
        if (const auto *wanted = std::get_if<ChunkWantedMessage>(&message.message)) {
            commands->post(ChunkAsked {wanted->digest, link, message.stream});
        }
    };
    const InstanceId self = agentBeside(m_settings.backend);
    const PeerIdentity identity {"agent", self, m_settings.zone, m_secret};
    m_links = std::make_shared<ChunkLinks>(m_executor, identity, hooks, m_metrics, m_log);

    const InstallerOptions installing {self, {}};
    m_installer = std::make_shared<WeightInstaller>(
            m_executor, installing, m_adapter.openReplica(m_settings.backend), commands, m_log);
    const FetcherOptions fetching {self, m_settings.zone, m_settings.backendService,
                                   m_settings.firstPort};
    FetcherHooks fetcherHooks;
    fetcherHooks.openOrigin = m_adapter.openOrigin;
    fetcherHooks.readReplicas = [this] { return readReplicas(); };
    fetcherHooks.weights = commands;
    fetcherHooks.held = [mailbox = m_installer->mailbox()](const HeldVersion &held) {
        mailbox->post(held);
    };
    m_fetcher = std::make_shared<VersionFetcher>(m_executor, fetching, fetcherHooks, m_log);

    TransferOptions transfer;
    transfer.self = self;
    transfer.zone = m_settings.zone;
    transfer.maxFetches = maxFetches;
    transfer = transfer.withLinkBytesPerSecond(linkBytes);
    const WeightSources sources =
            m_fetcher->sources(makePeerReader(m_executor, m_links->mailbox()));
    const WeightTasks tasks {m_links->mailbox(), m_server->mailbox()};
    m_weights = std::make_shared<WeightKeeper>(
            m_executor, commands, TransferPlanner(transfer, swarmPolicy(), monotonicNow()),
            sources, tasks,
            [mailbox = m_fetcher->mailbox()](const WeightStatus &status) {
                mailbox->post(FetcherHolds {status.holding});
            },
            m_metrics, m_log);
}

void Steward::makeFeed()
{
    OperatorHooks hooks = m_adapter.operatorHooks;
    hooks.config = [mailbox = m_fetcher->mailbox()](const RouteTablePtr &table) {
        mailbox->post(FetcherRoutes {table});
    };
    hooks.named = [this](const NamedVersion &named, bool isOld) {
        // What was named before this process followed is taken over without waiting for a turn.
        const Instant at = isOld ? Instant() : monotonicNow();
        m_installer->mailbox()->post(InstallerNamed {named.version, at});
        m_fetcher->mailbox()->post(FetcherNamed {named});
    };
    m_feed = std::make_shared<OperatorFeed>(m_executor, m_adapter.operatorTopic, hooks, m_log);
}

void Steward::onReport(const std::optional<ReplicaReport> &report)
{
    if (!report) {
        return;
    }
    m_installer->mailbox()->post(InstallerReport {*report});
    m_fetcher->mailbox()->post(FetcherLoaded {report->loaded.wholeVersion()});
    LoadReport load;
    load.backend = m_settings.backend;
    load.bornMs = report->bornMs;
    load.weights = report->loaded.wholeVersion();
    load.isOrderBusy = report->isOrderBusy;
    load.waiting = report->waiting;
    load.running = report->running;
    load.pace = report->pace;
    const Instant now = monotonicNow();
    if (m_told && *m_told == load && now - m_toldAt < retellAfter) {
        return;
    }
    m_told = load;
    m_toldAt = now;
    m_teller->mailbox()->post(load);
}

Awaitable<Outcome<std::vector<ReplicaEntry>>> Steward::readReplicas() const
{
    const Outcome<KeyedSnapshot> read = co_await m_adapter.replicaTopic.snapshot();
    if (const Failure *failure = failureOf(read)) {
        co_return *failure;
    }
    std::vector<ReplicaEntry> entries;
    for (const KeyedRecord &record : std::get<KeyedSnapshot>(read).records) {
        const Outcome<ReplicaEntry> entry = settle(
                [&] { return m_adapter.decodeReplica(ReplicaId(record.key), *record.value); });
        if (const Failure *failure = failureOf(entry)) {
            m_log.warning("replica.unreadable",
                          {{"replica", record.key}, {"reason", failure->detail}});
        } else {
            entries.push_back(std::get<ReplicaEntry>(entry));
        }
    }
    co_return std::move(entries);
}

void Steward::reload(const NodeSettings &)
{
    m_log.info("agent.reloaded");
}

Awaitable<void> Steward::shutDown()
{
    m_log.info("agent.stopping");
    co_await m_listener->finish(finishLimit);
    m_listener->stop();
    m_log.info("agent.stopped");
}

} // namespace greengageseam
