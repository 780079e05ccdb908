#include "steward/steward.h"

#include "net/clock.h"

namespace greengageseam {

namespace {

/**
 * Time between two reads of the operator's topic. It can be long, since entries report new target
 * versions as soon as they read them.
 */
constexpr auto operatorPause = std::chrono::seconds(10);
constexpr auto probePeriod = std::chrono::milliseconds(100);
/** Time after which an unchanged report is sent again. */
constexpr auto retellAfter = std::chrono::milliseconds(400);
constexpr auto finishLimit = std::chrono::seconds(1);
/**
 * Share of the machine's link that incoming weights may use; the responses of the backend server
 * use the same link.
 */
constexpr double linkShare = 0.95;
/** The same for outgoing weights, which share the upstream direction with the responses. */
constexpr double serveShare = 0.3;
/**
 * Maximum number of concurrent fetches. Data in flight delays responses on the same link.
 */
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
    hooks.entries = [this](const std::vector<EntrySite> &entries) {
        m_exchange->fetcher()->post(FetcherEntries {entries});
    };
    hooks.named = [this](const NamedVersion &named) { m_feed->hearNamed(named); };
    m_teller = std::make_shared<LoadTeller>(m_executor, m_settings.zone, hooks, m_log);
    BOOST_LEAF_CHECK(m_teller->start(m_settings.ip, m_settings.firstPort + 1));

    makeWeightTasks();
    makeFeed();
    m_probe = std::make_shared<ReplicaProbe>(
            m_executor, m_adapter.openReplica(m_settings.backend), probePeriod,
            [this](const std::optional<ReplicaReport> &report) { onReport(report); }, m_log);

    BOOST_LEAF_CHECK(m_exchange->start());
    m_installer->start();
    m_feed->start();
    m_probe->start();
    m_log.info("agent.started", {{"backend", m_settings.backend.text()}});
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
            m_adapter.openReplica(m_settings.backend).readStaged,
            [this](const HeldVersion &held) { m_installer->mailbox()->post(held); }, m_metrics,
            m_log);

    InstallerOptions installing;
    installing.self = InstanceId(m_settings.ip);
    installing.service = m_settings.backendService;
    m_installer = std::make_shared<WeightInstaller>(
            m_executor, installing, m_adapter.openReplica(m_settings.backend),
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
    hooks.config = [this](const RouteTablePtr &table) {
        m_exchange->fetcher()->post(FetcherRoutes {table});
        const bool mayCut = mayMoveRequests(table->config(), m_settings.backendService);
        m_installer->mailbox()->post(InstallerMayCut {mayCut});
    };
    hooks.named = [this](const NamedVersion &named, bool isOld) {
        // A version named before this process started is installed without waiting for a rollout
        // slot.
        const Instant at = isOld ? Instant() : monotonicNow();
        m_installer->mailbox()->post(InstallerNamed {named.version, at});
        m_exchange->fetcher()->post(FetcherNamed {named});
    };
    hooks.readUpTo = [](std::uint64_t) { };
    FollowOptions follow;
    follow.name = "operator";
    follow.pause = operatorPause;
    follow.readsNewest = true;
    m_feed = std::make_shared<OperatorFeed>(m_executor, m_adapter.operatorTopic, follow, hooks,
                                            m_log);
}

void Steward::onReport(const std::optional<ReplicaReport> &report)
{
    if (!report) {
        return;
    }
    m_installer->mailbox()->post(InstallerReport {*report});
    m_exchange->fetcher()->post(FetcherLoaded {{report->loaded.wholeVersion()}});
    m_report = report;
    tellLoad();
}

void Steward::tellLoad()
{
    if (!m_report) {
        return;
    }
    LoadReport load;
    load.backend = m_settings.backend;
    load.bornMs = m_report->bornMs;
    load.weights = m_report->loaded.wholeVersion();
    load.isOrderBusy = m_report->isOrderBusy || m_isLeaving;
    load.waiting = m_report->waiting;
    load.running = m_report->running;
    load.pace = m_report->pace;
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
