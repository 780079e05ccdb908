#include "sidecar/sidecar.h"

#include "edge/lostrecords.h"
#include "net/clock.h"

namespace greengageseam {

namespace {

/**
 * Time between two reads of the operator's topic. It can be long, since entries report new target
 * versions as soon as they read them.
 */
constexpr auto operatorPollPeriod = std::chrono::seconds(10);
constexpr auto probePeriod = std::chrono::milliseconds(50);
constexpr auto shutdownTimeout = std::chrono::seconds(1);
/**
 * Share of the machine's link that incoming weights may use; the responses of the backend server
 * use the same link.
 */
constexpr double linkShare = 0.95;
/** Share of the link that outgoing weights may use; the responses use the same direction. */
constexpr double serveShare = 0.3;
/**
 * Maximum number of concurrent fetches. Data in flight delays responses on the same link.
 */
constexpr std::uint32_t maxFetches = 2;
constexpr double bytesPerMegabit = 125'000;

} // namespace

Sidecar::Sidecar(const asio::any_io_executor &executor, NodeSettings settings,
                 PlatformAdapter adapter, std::string secret, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_adapter(std::move(adapter)),
      m_secret(std::move(secret)), m_log(std::move(log)), m_metrics(std::make_shared<Metrics>())
{ }

Result<void> Sidecar::start()
{
    LoadReporterHooks hooks;
    hooks.onEntriesChanged = [this](const std::vector<EntryLocation> &entries) {
        m_exchange->fetcher()->post(FetcherEntriesChanged {entries});
        m_operatorReader->setEntries(entries);
    };
    hooks.onTargetVersion = [this](const TargetVersion &named) {
        m_operatorWatcher->applyPeerTargetVersion(named, VersionSource::Entry, Duration());
    };
    hooks.onViewConfirmed = [this](Instant completeAsOf) {
        m_operatorWatcher->confirmPeerView(completeAsOf);
    };
    hooks.onTopicUnreadable = [this] { m_operatorWatcher->recordOutage(); };
    m_loadReporter = std::make_shared<LoadReporter>(m_executor, m_settings.zone,
                                                    m_settings.backendService, hooks, m_log);
    BOOST_LEAF_CHECK(m_loadReporter->start(m_settings.ip, m_settings.firstPort + 1));

    makeWeightTasks();
    m_coldProbe = std::make_shared<ColdProbe>(
            m_executor, m_adapter.openReplica(m_settings.backendAddress),
            [this](Duration left) { m_loadReporter->mailbox()->post(ColdLeftMeasured {left}); },
            m_log);
    makeOperatorWatcher();
    m_probe = std::make_shared<ReplicaProbe>(
            m_executor, m_adapter.openReplica(m_settings.backendAddress), probePeriod,
            [this](const std::optional<ReplicaReport> &report) { onReport(report); }, m_log);

    BOOST_LEAF_CHECK(m_exchange->start());
    m_installer->start();
    m_operatorWatcher->start();
    m_probe->start();
    m_log.info("agent.started", {{"backend", m_settings.backendAddress.text()}});
    return {};
}

void Sidecar::makeWeightTasks()
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
    options.singleFetchWhenSlow = true;
    m_exchange = std::make_shared<WeightExchange>(
            m_executor, options, m_adapter.openOrigin,
            m_adapter.openReplica(m_settings.backendAddress).readStaged,
            [this](const CompleteVersion &complete) { m_installer->mailbox()->post(complete); },
            m_metrics, m_log);

    InstallerOptions installing;
    installing.self = InstanceId(m_settings.ip);
    installing.service = m_settings.backendService;
    m_installer = std::make_shared<WeightInstaller>(
            m_executor, installing, m_adapter.openReplica(m_settings.backendAddress),
            m_exchange->weights(), [this] { return readReplicas(); },
            [this](bool isDraining) {
                m_isDraining = isDraining;
                reportLoad();
            },
            m_log);
}

void Sidecar::makeOperatorWatcher()
{
    OperatorHooks hooks = m_adapter.operatorHooks;
    hooks.onConfig = [this](const RouteTablePtr &table) {
        m_exchange->fetcher()->post(FetcherConfigChanged {table});
        const bool mayCancel = canFailOver(table->config(), m_settings.backendService);
        m_installer->mailbox()->post(InstallerCancelPolicyChanged {mayCancel});
        const Service *service = table->service(m_settings.backendService);
        const bool hasEngine = service != nullptr && service->engine;
        m_loadReporter->mailbox()->post(SlotsChanged {hasEngine ? service->engine->slots : 0});
        applyColdStartRules(service == nullptr ? Service() : *service);
    };
    hooks.onTargetVersion = [this](const TargetVersion &named, bool isOld, Duration age) {
        // A version announced before this process started is installed without waiting for a
        // rollout slot.
        const Instant at = isOld ? Instant() : monotonicNow() - age;
        m_installer->mailbox()->post(InstallerTargetVersionChanged {named.version, at});
        m_exchange->fetcher()->post(FetcherTargetVersionChanged {named});
        // Entries take the time since which it is known here for proof that it was announced by
        // then, so an estimate of the announcement will not do.
        m_loadReporter->mailbox()->post(TargetVersionKnown {named, monotonicNow()});
    };
    hooks.onPositionAdvanced = [](TopicPosition) { };
    FollowOptions follow;
    follow.name = operatorTopicName;
    follow.pollInterval = operatorPollPeriod;
    follow.readsSnapshotsOnly = true;
    RelayedReaderOptions options;
    options.topic = operatorTopicName;
    options.identity = {std::string(topicLinkRole), InstanceId(m_settings.ip), m_settings.zone,
                        m_secret};
    options.peerPort = m_settings.firstPort;
    options.continuesSnapshots = true;
    options.keeps = keepsNewerVersions(m_adapter.operatorHooks);
    options.startTimeout = operatorPollPeriod;
    m_operatorReader = std::make_shared<RelayedReader>(m_executor, options, m_adapter.operatorTopic,
                                                       TopicViewObserver(), m_log);
    m_operatorWatcher = std::make_shared<OperatorWatcher>(m_executor, m_operatorReader->reader(),
                                                          follow, Duration::zero(), hooks, m_log);
}

/** Only services with a limit for cold backend servers are asked for their health. */
void Sidecar::applyColdStartRules(const Service &service)
{
    const ColdStartRules rules = coldStartRules(service, m_settings.bounds);
    m_loadReporter->mailbox()->post(ColdStartRulesChanged {rules});
    m_coldProbe->setHealthPath(rules.isActive() ? service.healthPath : std::string());
}

void Sidecar::onReport(const std::optional<ReplicaReport> &report)
{
    if (!report) {
        return;
    }
    m_installer->mailbox()->post(InstallerReportReceived {*report});
    m_exchange->fetcher()->post(FetcherLoadedVersionsChanged {{report->loaded.runnableVersion()}});
    m_report = report;
    reportLoad();
}

void Sidecar::reportLoad()
{
    if (!m_report) {
        return;
    }
    LoadReport load;
    load.backend = m_settings.backendAddress;
    load.startedAtMs = m_report->startedAtMs;
    load.weightsVersion = m_report->loaded.runnableVersion();
    load.hasOrderInProgress = m_report->hasOrderInProgress || m_isDraining;
    load.waiting = m_report->waiting;
    load.running = m_report->running;
    load.slowdown = m_report->slowdown;
    m_loadReporter->mailbox()->post(load);
}

Awaitable<Outcome<std::vector<ReplicaEntry>>> Sidecar::readReplicas() const
{
    const Outcome<KeyedSnapshot> read = co_await m_adapter.replicaTopic.snapshot();
    if (const Failure *failure = failureOf(read)) {
        co_return *failure;
    }
    std::vector<ReplicaEntry> entries;
    for (const KeyedRecord &record : std::get<KeyedSnapshot>(read).records) {
        const Outcome<ReplicaEntry> entry = toOutcome(
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

void Sidecar::reload(const NodeSettings &)
{
    m_log.info("agent.reloaded");
}

Awaitable<void> Sidecar::shutDown()
{
    m_log.info("agent.stopping");
    co_await m_exchange->finish(shutdownTimeout);
    m_log.info("agent.stopped");
}

} // namespace greengageseam
