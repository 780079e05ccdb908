#include "edge/edge.h"

#include "edge/lostrecords.h"
#include "net/clock.h"

namespace greengageseam {

namespace {

/**
 * Number of reads of the operator's topic within the bound on applying a configuration while
 * nothing changes. Each confirms that the configuration in force is the newest one.
 */
constexpr int confirmationsPerBound = 4;
/** Share of the bound on applying a configuration after which a view of it is not passed on. */
constexpr int relayedViewsPerBound = 2;
/**
 * Number of reads within the bound on applying a configuration while configurations arrive in a
 * burst. Each of these reads returns a complete configuration.
 */
constexpr int burstReadsPerBound = 4;
/**
 * Number of bounds on applying a configuration until records that the store has lost are in force
 * again: one until the operator has written them again, one until they are read.
 */
constexpr int boundsUntilRewritten = 2;
/** Interval between two reads of the list of backend servers. */
constexpr auto replicaPollInterval = std::chrono::milliseconds(600);
/** Time that a request may take from the choice of its backend server to its arrival there. */
constexpr auto removalMargin = std::chrono::milliseconds(100);
/**
 * Time until the load balancer in front stops sending requests: it does so after two failed
 * checks, which are 1 s apart.
 */
constexpr auto balancerDeregistrationTime = std::chrono::milliseconds(2600);
/** Interval at which a shutdown checks whether all connections are closed. */
constexpr auto drainCheckInterval = std::chrono::milliseconds(50);
/** The process exits this long before the platform would kill it. */
constexpr auto graceMargin = std::chrono::milliseconds(400);
/** Time before that at which requests in progress expire, in which their answers are sent. */
constexpr auto expiryMargin = std::chrono::milliseconds(300);
/**
 * Time after the start of the process at which the bound expires for target versions that were
 * announced before. It does not depend on when the store could be read: the announcement is older.
 */
constexpr auto initialTargetGrace = std::chrono::seconds(3);
/** Limits of the readiness and metrics ports, whose connections are not part of the budget. */
constexpr std::size_t maxProbeBodyBytes = 4UL * 1024;
constexpr std::size_t maxProbeConnections = 32;
constexpr auto probeReadTimeout = std::chrono::seconds(3);
/** Share of the machine's link bandwidth that weight transfers may use. */
constexpr double weightsLinkShare = 0.4;
constexpr double bytesPerMegabit = 125'000;
/** Maximum number of chunks that are fetched concurrently. */
constexpr std::uint32_t maxFetches = 12;
constexpr int statusOk = 200;
constexpr int statusUnavailable = 503;
constexpr int statusNotFound = 404;

} // namespace

Edge::Edge(const asio::any_io_executor &executor, NodeSettings settings, PlatformAdapter adapter,
           std::string secret, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_adapter(std::move(adapter)),
      m_secret(std::move(secret)), m_log(std::move(log)), m_metrics(std::make_shared<Metrics>())
{ }

Result<void> Edge::start()
{
    m_startedAt = monotonicNow();
    DispatcherOptions options;
    options.loads.zone = m_settings.zone;
    options.loads.zoneRegions = m_settings.zoneRegions;
    if (!m_settings.region.isEmpty()) {
        options.loads.zoneRegions.emplace(m_settings.zone, m_settings.region);
    }
    options.loads.ip = m_settings.ip;
    options.loads.bounds = m_settings.bounds;
    options.bounds = m_settings.bounds;
    options.hedgeRatio = m_settings.hedgeRatio;
    DispatcherHooks dispatcherHooks;
    dispatcherHooks.onDemand = [this](const std::vector<ServiceDemand> &demands) {
        m_loadListener->mailbox()->post(DemandMeasured {demands});
    };
    m_dispatcher =
            std::make_shared<Dispatcher>(m_executor, options, dispatcherHooks, m_metrics, m_log);

    makeQuarantine();

    const RequestContext context {m_executor,
                                  m_dispatcher->mailbox(),
                                  m_quarantine->mailbox(),
                                  m_adapter.codec,
                                  m_metrics,
                                  m_log};
    m_budget = std::make_shared<ProcessBudget>(
            budgetLimits(m_settings.memoryLimitMb, m_settings.descriptorLimit), m_metrics, m_log);
    m_callerServer = std::make_shared<CallerServer>(context, m_budget, defaultMaxSockets,
                                                    balancerDeregistrationTime);
    BOOST_LEAF_CHECK(m_callerServer->listen(m_settings.frontAddress));

    const HttpServerOptions probeOptions = HttpServerOptions()
                                                   .withMaxBodyBytes(maxProbeBodyBytes)
                                                   .withReadTimeout(probeReadTimeout)
                                                   .withMaxConnections(maxProbeConnections);
    const HttpHandler handler = [this](HttpExchange &exchange) { return handle(exchange); };
    const ProcessBudgetPtr probeBudget = makeUnlimitedBudget(m_log);
    m_readinessServer =
            std::make_shared<HttpServer>(m_executor, probeOptions, probeBudget, handler, m_log);
    BOOST_LEAF_CHECK(m_readinessServer->listen(m_settings.readyAddress));
    const Address metrics(m_settings.ip + ":" + std::to_string(m_settings.lastPort));
    m_controlServer =
            std::make_shared<HttpServer>(m_executor, probeOptions, probeBudget, handler, m_log);
    BOOST_LEAF_CHECK(m_controlServer->listen(metrics));

    BOOST_LEAF_CHECK(makeLoadListener());
    makeTopicRelay();
    makeWatchers();
    makeReplicaWatcher();
    BOOST_LEAF_CHECK(startExchange());
    m_dispatcher->start();
    m_quarantine->start();
    m_topicRelay->start();
    m_operatorWatcher->start();
    m_replicaWatcher->start();
    m_readinessServer->start();
    m_controlServer->start();
    m_callerServer->start();
    m_log.info("entry.started", {{"callers", m_settings.frontAddress.text()}});
    return {};
}

void Edge::makeQuarantine()
{
    QuarantineHooks hooks;
    hooks.onJudged = [this](const CrashJudgement &judgement) {
        m_dispatcher->mailbox()->post(CrashJudged {judgement});
    };
    hooks.send = [this](const std::string &ip, const Datagram &datagram) {
        m_loadListener->mailbox()->post(SendToEntry {ip, datagram});
    };
    m_quarantine =
            std::make_shared<PromptQuarantine>(m_executor, m_settings.ip, hooks, m_metrics, m_log);
}

Result<void> Edge::makeLoadListener()
{
    const EntryLocation self {m_settings.instance, m_settings.zone, m_settings.ip};
    LoadListenerHooks hooks;
    hooks.onReport = [this](const LoadReport &report) {
        m_operatorWatcher->catchUpTo(report.operatorPosition);
        m_dispatcher->mailbox()->post(LoadReportReceived {report});
    };
    hooks.onEntriesChanged = [this, self](const std::vector<EntryLocation> &entries) {
        m_log.info("entries.changed", {{"entries", entries.size()}});
        EntryCountChanged change {static_cast<std::uint32_t>(entries.size()), {}};
        for (const EntryLocation &entry : entries) {
            change.ips.push_back(entry.ip);
        }
        m_dispatcher->mailbox()->post(std::move(change));
        m_exchange->fetcher()->post(FetcherEntriesChanged {entries});
        m_replicaWatcher->relyOnPeers(zoneReaderRank(entries, self));
        m_operatorReader->setEntries(entries);
        m_quarantine->mailbox()->post(QuarantinePeersChanged {entries});
    };
    hooks.onTargetVersion = [this](const KnownTargetVersion &known) {
        m_operatorWatcher->applyPeerTargetVersion(known.targetVersion, VersionSource::Agent,
                                                  known.age);
    };
    hooks.onTopicUnreadable = [this] { m_operatorWatcher->recordOutage(); };
    hooks.onListDelta = [this](const ReplicaListDelta &delta) {
        m_replicaWatcher->applyPeerDelta(delta);
    };
    hooks.onCrashReport = [this](const CrashReport &report) {
        m_quarantine->mailbox()->post(CrashReportReceived {report});
    };
    hooks.onCrashDigest = [this](const CrashDigest &digest, const std::string &ip) {
        m_quarantine->mailbox()->post(CrashDigestReceived {digest, ip});
    };
    m_loadListener = std::make_shared<LoadListener>(
            m_executor, self, static_cast<std::uint16_t>(m_settings.firstPort + 1), hooks, m_log);
    return {};
}

Result<void> Edge::startExchange()
{
    ExchangeOptions options;
    options.fetcher.self = InstanceId(m_settings.ip);
    options.fetcher.zone = m_settings.zone;
    options.fetcher.isSeeder = true;
    options.fetcher.peerPort = m_settings.firstPort;
    options.secret = m_secret;
    options.linkBytesPerSecond =
            static_cast<std::uint64_t>(m_settings.linkMbps * bytesPerMegabit * weightsLinkShare);
    options.serveBytesPerSecond = options.linkBytesPerSecond;
    options.maxFetches = maxFetches;
    options.onTopicRequest = [relay = m_topicRelay->mailbox()](const PeerLinkHandle &link,
                                                               StreamId stream,
                                                               const TopicRequestMessage &request) {
        relay->post(TopicRequested {request, link, stream});
    };
    m_exchange = std::make_shared<WeightExchange>(
            m_executor, options, m_adapter.openOrigin, ReadStagedPiece(),
            [](const CompleteVersion &) { }, m_metrics, m_log);
    BOOST_LEAF_CHECK(m_exchange->start());
    return m_loadListener->start();
}

void Edge::makeTopicRelay()
{
    TopicRelayOptions relayOptions;
    relayOptions.topic = operatorTopicName;
    relayOptions.maxViewAge = m_settings.bounds.configApply / relayedViewsPerBound;
    m_topicRelay = std::make_shared<TopicRelay>(m_executor, relayOptions,
                                                [this] { return m_operatorReader->progress(); });
    RelayedReaderOptions options;
    options.topic = operatorTopicName;
    options.identity = {std::string(topicLinkRole), InstanceId(m_settings.ip), m_settings.zone,
                        m_secret};
    options.peerPort = m_settings.firstPort;
    options.keeps = keepsNewerVersions(m_adapter.operatorHooks);
    const auto onRead = [relay = m_topicRelay->mailbox()](const TopicView &view) {
        relay->post(TopicUpdated {view});
    };
    m_operatorReader = std::make_shared<RelayedReader>(m_executor, options, m_adapter.operatorTopic,
                                                       onRead, m_log);
}

void Edge::makeWatchers()
{
    OperatorHooks hooks = m_adapter.operatorHooks;
    hooks.onConfig = [this](const RouteTablePtr &table) {
        m_routes = table;
        m_callerServer->setLimits(table->config().limits);
        m_dispatcher->mailbox()->post(RoutesChanged {table});
        m_exchange->fetcher()->post(FetcherConfigChanged {table});
        onReplicasChanged(m_replicaEntries);
    };
    hooks.onTargetVersion = [this](const TargetVersion &targetVersion, bool isInitial,
                                   Duration age) {
        const Instant now = monotonicNow();
        const Instant initialAt = m_startedAt - m_settings.bounds.weightsApply + initialTargetGrace;
        const Instant at = isInitial ? initialAt : std::min(now, std::max(initialAt, now - age));
        m_dispatcher->mailbox()->post(TargetVersionChanged {targetVersion, at});
        m_exchange->fetcher()->post(FetcherTargetVersionChanged {targetVersion});
        const AnnounceTargetVersion announced {targetVersion, now - age};
        m_targetVersions.insert_or_assign(targetVersion.model, announced);
        m_loadListener->mailbox()->post(announced);
    };
    hooks.onEvacuationsChanged = [this](const std::set<ZoneName> &zones) {
        m_dispatcher->mailbox()->post(EvacuationsChanged {zones});
    };
    hooks.onPositionAdvanced = [this](TopicPosition position) {
        m_metrics->set("store_era", "Era of the store in which the operator's topic was read",
                       static_cast<double>(position.era));
        m_loadListener->mailbox()->post(OperatorPositionUpdated {position});
    };
    hooks.onCurrent = [this](Instant completeAsOf) {
        m_dispatcher->mailbox()->post(RoutesConfirmed {m_routes, completeAsOf});
    };
    hooks.onConfirmed = [this](Instant completeAsOf) {
        OperatorViewConfirmed confirmed {completeAsOf, {}};
        for (const auto &[model, announced] : m_targetVersions) {
            confirmed.targetVersions.push_back(announced);
        }
        m_loadListener->mailbox()->post(std::move(confirmed));
    };
    FollowOptions followOptions;
    followOptions.name = operatorTopicName;
    followOptions.pollTimeout = m_settings.bounds.configApply / confirmationsPerBound;
    followOptions.burstInterval = m_settings.bounds.configApply / burstReadsPerBound;
    m_operatorWatcher = std::make_shared<OperatorWatcher>(
            m_executor, m_operatorReader->reader(), followOptions,
            m_settings.bounds.configApply * boundsUntilRewritten, hooks, m_log);
}

void Edge::makeReplicaWatcher()
{
    ReplicaWatcherHooks watcherHooks;
    watcherHooks.decode = m_adapter.decodeReplica;
    watcherHooks.onChanged = [this](std::vector<ReplicaEntry> entries) {
        m_hasReplicaList = true;
        m_operatorReader->limitWaitForEntries();
        onReplicasChanged(std::move(entries));
    };
    watcherHooks.onStoreRecovered = [this] {
        if (m_operatorReader->isReadingStore()) {
            m_operatorWatcher->restartRead();
        }
    };
    watcherHooks.onDelta = [this](const ReplicaListDelta &delta) {
        m_loadListener->mailbox()->post(RelayListDelta {delta});
    };
    ReplicaRegistryOptions registryOptions;
    registryOptions.maxGraceAfterFailure = m_settings.bounds.reconnect - removalMargin;
    m_replicaWatcher =
            std::make_shared<ReplicaWatcher>(m_executor, m_adapter.replicaTopic, watcherHooks,
                                             replicaPollInterval, m_log, registryOptions);
}

void Edge::onReplicasChanged(std::vector<ReplicaEntry> entries)
{
    m_replicaEntries = std::move(entries);
    AgentsUpdated agents;
    FetcherLoadedVersionsChanged loaded;
    FetcherAgentsChanged holders;
    for (const ReplicaEntry &entry : m_replicaEntries) {
        const Service *service = m_routes ? m_routes->service(entry.service) : nullptr;
        const bool hasEngine = service != nullptr && service->engine;
        // Agents tell the entries of each other. An entry needs to know the others before its first
        // configuration, and any backend server may have an agent then.
        if (hasEngine || !m_routes) {
            agents.agents.push_back({entry.address, entry.zone});
        }
        if (hasEngine) {
            loaded.versions.insert(entry.loaded.runnableVersion());
            const InstanceId agent = agentOfBackend(entry.address);
            const std::string address = agent.text() + ":" + std::to_string(m_settings.firstPort);
            holders.agents.push_back({agent, entry.zone, Address(address)});
        }
    }
    m_loadListener->mailbox()->post(std::move(agents));
    m_exchange->fetcher()->post(std::move(loaded));
    m_exchange->fetcher()->post(std::move(holders));
    m_dispatcher->mailbox()->post(ReplicasChanged {m_replicaEntries});
}

bool Edge::isReady() const
{
    return m_routes != nullptr && m_hasReplicaList && !m_isDraining;
}

Awaitable<void> Edge::handle(HttpExchange &exchange)
{
    const std::string path = exchange.request().path();
    HttpResponse response;
    response.contentType = "text/plain";
    if (path == "/-/readiness") {
        response.status = isReady() ? statusOk : statusUnavailable;
    } else if (path == "/metrics") {
        m_budget->updateGauges();
        response.body = m_metrics->text();
    } else {
        response.status = statusNotFound;
    }
    co_await exchange.respond(std::move(response));
}

void Edge::reload(const NodeSettings &)
{
    m_log.info("entry.reloaded");
}

Awaitable<void> Edge::shutDown()
{
    const Instant startedAt = monotonicNow();
    const Instant deadline = startedAt + m_settings.bounds.grace - graceMargin;
    m_isDraining = true;
    m_log.info("entry.draining", {{"in_progress", m_callerServer->inProgress()}});
    m_callerServer->drain();
    Timer timer(m_executor, balancerDeregistrationTime);
    co_await timer.async_wait(asTuple);
    m_callerServer->stop();
    while (m_callerServer->connections() > 0 && monotonicNow() < deadline) {
        if (monotonicNow() >= deadline - expiryMargin) {
            m_callerServer->expire();
        }
        timer.expires_after(drainCheckInterval);
        co_await timer.async_wait(asTuple);
    }
    m_log.info("entry.stopped", {{"in_progress", m_callerServer->inProgress()}});
}

} // namespace greengageseam
