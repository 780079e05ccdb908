#include "sidecar/sidecar.h"

#include "net/clock.h"

namespace greengageseam {

namespace {

/** Entries tell of weights that are named; the store is read only now and then. */
constexpr auto operatorPause = std::chrono::seconds(10);
constexpr auto probePeriod = std::chrono::milliseconds(100);
/** A report that says nothing new is told again after so long. */
constexpr auto retellAfter = std::chrono::milliseconds(400);
constexpr auto finishLimit = std::chrono::seconds(1);
/** Share of the machine's link that weights may use beside the answers of the backend server. */
constexpr double linkShare = 0.95;
/** The same for weights that are served, which go the way of the answers. */
constexpr double serveShare = 0.3;
/** Chunks that are read at a time; what is on its way delays the answers on the same link. */
constexpr std::uint32_t maxFetches = 2;
constexpr double bytesPerMegabit = 125'000;

} // namespace

Steward::Steward(const asio::any_io_executor &executor, NodeSettings settings,
                 PlatformAdapter adapter, std::string secret, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_adapter(std::move(adapter)),
      m_secret(std::move(secret)), m_log(std::move(log)), m_metrics(std::make_shared<Metrics>())
{ }

Result<void> Steward::start()
{
    LoadTellerHooks hooks;
    hooks.onEntriesChanged = [this](const std::vector<EntryLocation> &entries) {
        m_exchange->fetcher()->post(FetcherEntries {entries});
    };
    hooks.onTargetVersion = [this](const TargetVersion &named) {
        m_feed->applyPeerTargetVersion(named);
    };
    m_teller = std::make_shared<LoadTeller>(m_executor, m_settings.zone, hooks, m_log);
    BOOST_LEAF_CHECK(m_teller->start(m_settings.ip, m_settings.firstPort + 1));

    makeWeightTasks();
    makeFeed();
    m_probe = std::make_shared<ReplicaProbe>(
            m_executor, m_adapter.openReplica(m_settings.backendAddress), probePeriod,
            [this](const std::optional<ReplicaReport> &report) { onReport(report); }, m_log);

    BOOST_LEAF_CHECK(m_exchange->start());
    m_installer->start();
    m_feed->start();
    m_probe->start();
    m_log.info("agent.started", {{"backend", m_settings.backendAddress.text()}});
    return {};
}

void Steward::makeWeightTasks()
{
    ExchangeOptions options;
    options.fetcher.self = InstanceId(m_settings.ip);
    options.fetcher.zone = m_settings.zone;
    options.fetcher.service = m_settings.backendService;
    options.fetcher.peerPort = m_settings.firstPort;
    options.secret = m_secret;
    options.linkBytesPerSecond =
            static_cast<std::uint64_t>(m_settings.linkMbps * bytesPerMegabit * linkShare);
    options.maxFetches = maxFetches;
    options.serveBytesPerSecond =
            static_cast<std::uint64_t>(m_settings.linkMbps * bytesPerMegabit * serveShare);
    options.yieldsWhenSlow = true;
    m_exchange = std::make_shared<WeightExchange>(
            m_executor, options, m_adapter.openOrigin,
            m_adapter.openReplica(m_settings.backendAddress).readStaged,
            [this](const HeldVersion &held) { m_installer->mailbox()->post(held); }, m_metrics,
            m_log);

    InstallerOptions installing;
    installing.self = InstanceId(m_settings.ip);
    installing.service = m_settings.backendService;
    m_installer = std::make_shared<WeightInstaller>(
            m_executor, installing, m_adapter.openReplica(m_settings.backendAddress),
            m_exchange->weights(), [this] { return readReplicas(); },
            [this](bool isLeaving) {
                m_isLeaving = isLeaving;
                tellLoad();
            },
            m_log);
}

void Steward::makeFeed()
{
    OperatorHooks hooks = m_adapter.operatorHooks;
    hooks.onConfig = [this](const RouteTablePtr &table) {
        m_exchange->fetcher()->post(FetcherRoutes {table});
        const bool mayCut = canFailOver(table->config(), m_settings.backendService);
        m_installer->mailbox()->post(InstallerMayCut {mayCut});
    };
    hooks.onTargetVersion = [this](const TargetVersion &named, bool isOld) {
        // What was named before this process followed is taken over without waiting for a turn.
        const Instant at = isOld ? Instant() : monotonicNow();
        m_installer->mailbox()->post(InstallerNamed {named.version, at});
        m_exchange->fetcher()->post(FetcherNamed {named});
    };
    hooks.onOffsetAdvanced = [](std::uint64_t) { };
    FollowOptions follow;
    follow.name = "operator";
    follow.pollInterval = operatorPause;
    follow.readsSnapshotsOnly = true;
    m_feed = std::make_shared<OperatorWatcher>(m_executor, m_adapter.operatorTopic, follow, hooks,
                                               m_log);
}

void Steward::onReport(const std::optional<ReplicaReport> &report)
{
    if (!report) {
        return;
    }
    m_installer->mailbox()->post(InstallerReport {*report});
    m_exchange->fetcher()->post(FetcherLoaded {{report->loaded.runnableVersion()}});
    m_report = report;
    tellLoad();
}

void Steward::tellLoad()
{
    if (!m_report) {
        return;
    }
    LoadReport load;
    load.backend = m_settings.backendAddress;
    load.startedAtMs = m_report->startedAtMs;
    load.weightsVersion = m_report->loaded.runnableVersion();
    load.hasOrderInProgress = m_report->hasOrderInProgress || m_isLeaving;
    load.waiting = m_report->waiting;
    load.running = m_report->running;
    load.slowdown = m_report->slowdown;
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
    co_await m_exchange->finish(finishLimit);
    m_log.info("agent.stopped");
}

} // namespace greengageseam
