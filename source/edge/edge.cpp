#include "edge/edge.h"

#include "net/clock.h"

namespace greengageseam {

namespace {

/** Long-poll timeout for reads of the operator's topic. */
constexpr auto operatorWait = std::chrono::seconds(25);
/**
 * Number of reads within the bound on applying a configuration while configurations arrive in a
 * burst. Each of these reads returns a complete configuration.
 */
constexpr int stormReads = 4;
/** Interval between two reads of the list of backend servers. */
constexpr auto listPause = std::chrono::milliseconds(600);
/** The load balancer stops sending requests after two failed checks, which are 1 s apart. */
constexpr auto balancerNotice = std::chrono::milliseconds(2600);
/** Interval at which a shutdown checks whether all connections are closed. */
constexpr auto lastCheck = std::chrono::milliseconds(50);
/** The process exits this long before the platform would kill it. */
constexpr auto graceMargin = std::chrono::milliseconds(400);
/** Target versions announced before this process started are required after this time. */
constexpr auto oldWeightsLead = std::chrono::seconds(3);
constexpr std::size_t maxCallers = 2000;
/** Share of the machine's link bandwidth that weight transfers may use. */
constexpr double linkShare = 0.4;
constexpr double bytesPerMegabit = 125'000;
/** Limit of chunks that are fetched concurrently. */
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
    DispatcherOptions options;
    options.loads.zone = m_settings.zone;
    options.bounds = m_settings.bounds;
    m_dispatcher = std::make_shared<Dispatcher>(m_executor, options, m_metrics, m_log);

    const RequestContext context {m_executor, m_dispatcher->mailbox(), m_adapter.codec, m_metrics,
                                  m_log};
    m_callers = std::make_shared<CallerServer>(context, maxCallers);
    BOOST_LEAF_CHECK(m_callers->listen(m_settings.callers));

    const HttpHandler handler = [this](HttpExchange &exchange) { return handle(exchange); };
    m_ready = std::make_shared<HttpServer>(m_executor, HttpServerOptions(), handler, m_log);
    BOOST_LEAF_CHECK(m_ready->listen(m_settings.ready));
    const Address metrics(m_settings.ip + ":" + std::to_string(m_settings.lastPort));
    m_control = std::make_shared<HttpServer>(m_executor, HttpServerOptions(), handler, m_log);
    BOOST_LEAF_CHECK(m_control->listen(metrics));

    BOOST_LEAF_CHECK(startLoads());
    makeFeeds();
    BOOST_LEAF_CHECK(startExchange());
    m_dispatcher->start();
    m_operator->start();
    m_replicas->start();
    m_ready->start();
    m_control->start();
    m_callers->start();
    m_log.info("entry.started", {{"callers", m_settings.callers.text()}});
    return {};
}

Result<void> Edge::startLoads()
{
    const EntrySite self {m_settings.instance, m_settings.zone, m_settings.ip};
    LoadListenerHooks hooks;
    hooks.report = [this](const LoadReport &report) {
        m_operator->hearOf(report.news);
        m_dispatcher->mailbox()->post(LoadHeard {report});
    };
    hooks.entries = [this, self](const std::vector<EntrySite> &entries) {
        m_log.info("entries.changed", {{"entries", entries.size()}});
        m_dispatcher->mailbox()->post(EntriesCounted {static_cast<std::uint32_t>(entries.size())});
        m_exchange->fetcher()->post(FetcherEntries {entries});
        m_replicas->relyOnOthers(!readsList(entries, self));
    };
    hooks.list = [this](const ListNews &news) { m_replicas->hear(news); };
    m_loads = std::make_shared<LoadListener>(
            m_executor, self, static_cast<std::uint16_t>(m_settings.firstPort + 1), hooks, m_log);
    return {};
}

Result<void> Edge::startExchange()
{
    ExchangeOptions options;
    options.fetcher.self = InstanceId(m_settings.ip);
    options.fetcher.zone = m_settings.zone;
    options.fetcher.isSource = true;
    options.fetcher.peerPort = m_settings.firstPort;
    options.secret = m_secret;
    options.linkBytesPerSecond =
            static_cast<std::uint64_t>(m_settings.linkMbps * bytesPerMegabit * linkShare);
    options.serveBytesPerSecond = options.linkBytesPerSecond;
    options.maxFetches = maxFetches;
    m_exchange = std::make_shared<WeightExchange>(
            m_executor, options, m_adapter.openOrigin, ReadStagedPiece(),
            [](const HeldVersion &) { }, m_metrics, m_log);
    BOOST_LEAF_CHECK(m_exchange->start());
    return m_loads->start();
}

void Edge::makeFeeds()
{
    OperatorHooks hooks = m_adapter.operatorHooks;
    hooks.config = [this](const RouteTablePtr &table) {
        m_table = table;
        m_callers->setLimits(table->config().limits);
        m_dispatcher->mailbox()->post(RoutesChanged {table});
        m_exchange->fetcher()->post(FetcherRoutes {table});
        onReplicas(m_entries);
    };
    hooks.named = [this](const NamedVersion &named, bool isOld) {
        const Instant at = isOld ? monotonicNow() - m_settings.bounds.weightsApply + oldWeightsLead
                                 : monotonicNow();
        m_dispatcher->mailbox()->post(WeightsNamed {named, at});
        m_exchange->fetcher()->post(FetcherNamed {named});
        m_loads->mailbox()->post(WeightsToTell {named});
    };
    hooks.readUpTo = [this](std::uint64_t offset) { m_loads->mailbox()->post(NewsRead {offset}); };
    FollowOptions follow;
    follow.name = "operator";
    follow.wait = operatorWait;
    follow.stormPause = m_settings.bounds.configApply / stormReads;
    m_operator = std::make_shared<OperatorFeed>(m_executor, m_adapter.operatorTopic, follow, hooks,
                                                m_log);

    ReplicaHooksOfFeed feed;
    feed.decode = m_adapter.decodeReplica;
    feed.changed = [this](std::vector<ReplicaEntry> entries) {
        m_hasReplicas = true;
        onReplicas(std::move(entries));
    };
    feed.regained = [this] { m_operator->readAnew(); };
    feed.read = [this](const ListNews &news) { m_loads->mailbox()->post(PassList {news}); };
    m_replicas = std::make_shared<ReplicaFeed>(m_executor, m_adapter.replicaTopic, feed, listPause,
                                               m_log);
}

void Edge::onReplicas(std::vector<ReplicaEntry> entries)
{
    m_entries = std::move(entries);
    AgentsKnown agents;
    FetcherLoaded loaded;
    FetcherAgents holders;
    for (const ReplicaEntry &entry : m_entries) {
        const Service *service = m_table ? m_table->service(entry.service) : nullptr;
        if (service != nullptr && service->engine) {
            agents.backends.push_back(entry.address);
            loaded.versions.insert(entry.loaded.wholeVersion());
            const InstanceId agent = agentBeside(entry.address);
            const std::string address = agent.text() + ":" + std::to_string(m_settings.firstPort);
            holders.agents.push_back({agent, entry.zone, Address(address)});
        }
    }
    m_loads->mailbox()->post(std::move(agents));
    m_exchange->fetcher()->post(std::move(loaded));
    m_exchange->fetcher()->post(std::move(holders));
    m_dispatcher->mailbox()->post(ReplicasChanged {m_entries});
}

bool Edge::isReady() const
{
    return m_table != nullptr && m_hasReplicas && !m_isDraining;
}

Awaitable<void> Edge::handle(HttpExchange &exchange)
{
    const std::string path = exchange.request().path();
    HttpResponse response;
    response.contentType = "text/plain";
    if (path == "/-/readiness") {
        response.status = isReady() ? statusOk : statusUnavailable;
    } else if (path == "/metrics") {
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
    const Instant begin = monotonicNow();
    const Instant end = begin + m_settings.bounds.grace - graceMargin;
    m_isDraining = true;
    m_log.info("entry.draining", {{"in_progress", m_callers->inProgress()}});
    m_callers->drain();
    asio::steady_timer timer(m_executor, balancerNotice);
    co_await timer.async_wait(asTuple);
    m_callers->stop();
    while (m_callers->connections() > 0 && monotonicNow() < end) {
        timer.expires_after(lastCheck);
        co_await timer.async_wait(asTuple);
    }
    m_log.info("entry.stopped", {{"in_progress", m_callers->inProgress()}});
}

} // namespace greengageseam
