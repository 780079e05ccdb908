/**
 * Wiring of the entry process: creates the tasks, connects their hooks and dispatches HTTP paths.
 */
#include "entry/entry.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr auto platformTimeout = std::chrono::seconds(5);
/**
 * Timeout of log reads. It is short, so that the follower recovers soon after a network partition
 * ends.
 */
constexpr auto followerTimeout = std::chrono::seconds(3);
/** Interval at which other entries are notified of the configuration offset in force here. */
constexpr auto appliedOffsetInterval = std::chrono::seconds(1);
constexpr auto listPollInterval = std::chrono::seconds(1);
constexpr StreamId linkStream = 0;
/** A body is held by its request, by the message to the agent, and by that message's encoding. */
constexpr std::size_t bodyCopies = 3;
constexpr auto flushTimeout = std::chrono::seconds(5);
constexpr auto drainPollInterval = std::chrono::milliseconds(20);
const std::string plainTextType = "text/plain; charset=utf-8";

/** @returns a hook that requests a configuration snapshot from the peer of @p link */
std::function<void(Offset)> makeSnapshotRequester(const PeerLinkHandle &link)
{
    return [link](Offset applied) { link.post(linkStream, ConfigRequestMessage {applied}); };
}

} // namespace

Entry::Entry(const asio::any_io_executor &executor, EntrySettings settings, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_log(std::move(log)),
      m_metrics(std::make_shared<Metrics>())
{ }

Result<void> Entry::start()
{
    m_router = std::make_shared<Router>(m_executor, m_settings.zone, makeRoundRobinWithTwoRandom(),
                                        RouterOptions().withMaxQueueTime(m_settings.maxQueueTime),
                                        m_metrics, m_log);
    m_adminManager = std::make_shared<AdminManager>(m_executor, m_settings.zone);
    m_fleetManager = std::make_shared<FleetManager>(
            m_executor, m_settings, MemberTableOptions(),
            [router = m_router->mailbox(),
             admin = m_adminManager->mailbox()](const FleetView &view) {
                router->post(view);
                admin->post(view);
            },
            [this](PeerEntriesCommand command) {
                m_peerEntries->mailbox()->post(std::move(command));
            },
            m_log);
    const LogClient logClient(m_executor, m_settings.logAddress, platformTimeout);
    makeConfigurationTasks(logClient);
    m_claimManager =
            std::make_shared<ClaimManager>(m_executor, ClaimManagerOptions(), logClient.appender(),
                                           logClient.reader(), m_metrics, m_log);
    BOOST_LEAF_CHECK(startPeerListener());
    BOOST_LEAF_CHECK(startHttpServer(logClient));
    m_router->start();
    m_adminManager->start();
    m_fleetManager->start();
    m_claimManager->start();
    startConfigurationTasks();
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->pollInstanceList(); },
            asio::detached);
    m_log.info("entry.started",
               {{"http", m_settings.httpAddress.text()}, {"peers", m_settings.peerAddress.text()}});
    return {};
}

Result<void> Entry::startHttpServer(const LogClient &logClient)
{
    const ForwarderChannels forwarding {m_router->mailbox(), m_claimManager->mailbox(),
                                        makeAttemptQuery(m_executor, identity(), m_log)};
    m_callerHandler = std::make_shared<CallerHandler>(m_executor, forwarding,
                                                      m_settings.requestTimeout, m_metrics, m_log);
    const AdminChannels channels {m_adminManager->mailbox(), m_fleetManager->mailbox(),
                                  logClient.appender(), logClient.reader()};
    m_adminHandler = std::make_shared<AdminHandler>(m_executor, m_settings, channels, m_log);
    const HttpServerOptions options = HttpServerOptions().withBodyCopies(bodyCopies);
    m_budget = std::make_shared<ProcessBudget>(budgetLimits(m_settings.limits.memoryMb,
                                                            m_settings.limits.descriptors,
                                                            options.maxConnections),
                                               m_metrics, m_log);
    m_httpServer = std::make_shared<HttpServer>(
            m_executor, options, m_budget,
            [self = weak_from_this()](HttpExchange &exchange) {
                return self.lock()->handle(exchange);
            },
            m_log);
    BOOST_LEAF_ASSIGN(m_settings.httpAddress, m_httpServer->listen(m_settings.httpAddress));
    m_httpServer->start();
    return {};
}

PeerIdentity Entry::identity() const
{
    return {"entry", m_settings.instance, m_settings.zone, m_settings.secret};
}

Result<void> Entry::startPeerListener()
{
    m_peerListener =
            std::make_shared<PeerListener>(m_executor, identity(), acceptedLinkHooks(), m_log);
    BOOST_LEAF_ASSIGN(m_settings.peerAddress, m_peerListener->listen(m_settings.peerAddress));
    makePeerEntries();
    m_peerListener->start();
    return {};
}

void Entry::makePeerEntries()
{
    PeerEntriesHooks hooks;
    hooks.onMessage = [this](const HelloMessage &peer, const Message &message) {
        onEntryMessage(peer, message);
    };
    hooks.onLinkedEntriesChanged = [this](const std::vector<LinkedEntry> &entries) {
        onLinkedEntriesChanged(entries);
    };
    m_peerEntries = std::make_shared<PeerEntries>(m_executor, m_settings, PeerEntriesOptions(),
                                                  std::move(hooks), m_log);
    m_peerEntries->start();
}

/** Agents and other entries connect to an entry; an agent sends its heartbeats over its link. */
LinkHooks Entry::acceptedLinkHooks() const
{
    LinkHooks hooks;
    hooks.onStarted = [this](const PeerLinkHandle &link) {
        m_peerEntries->mailbox()->post(PeerEntryLinked {link});
    };
    hooks.onMessage = [this](const PeerLinkHandle &link, StreamMessage message) {
        if (auto *heartbeat = std::get_if<HeartbeatMessage>(&message.message)) {
            m_configManager->mailbox()->post(PeerOffsetReceived {heartbeat->heartbeat.appliedConfig,
                                                                 makeSnapshotRequester(link)});
            m_fleetManager->mailbox()->post(HeartbeatReceived {std::move(*heartbeat), link});
        } else if (link.peer().role == "entry" && message.stream == 0) {
            m_peerEntries->mailbox()->post(
                    PeerEntryMessageReceived {link, std::move(message.message)});
        } else if (const auto *push = std::get_if<ConfigPushMessage>(&message.message)) {
            m_configManager->mailbox()->post(RestoreSnapshot {push->snapshot});
        }
    };
    hooks.onClosed = [this](const PeerLinkHandle &link, const LinkClosed &) {
        m_fleetManager->mailbox()->post(HeartbeatLinkLost {link.peer().instance});
        m_peerEntries->mailbox()->post(PeerEntryLost {link});
    };
    return hooks;
}

/** Routes a message of another entry to the task that handles it. */
void Entry::onEntryMessage(const HelloMessage &peer, const Message &message)
{
    const auto send = [peers = m_peerEntries->mailbox(), instance = peer.instance](Message answer) {
        peers->post(SendToEntry {instance, std::move(answer)});
    };
    if (const auto *applied = std::get_if<ConfigAppliedMessage>(&message)) {
        m_configManager->mailbox()->post(
                PeerOffsetReceived {applied->appliedOffset, [send](Offset offset) {
                                        send(ConfigRequestMessage {offset});
                                    }});
    } else if (const auto *request = std::get_if<ConfigRequestMessage>(&message)) {
        m_configManager->mailbox()->post(
                SnapshotQuery {request->appliedOffset, [send](const std::string &text) {
                                   ConfigPushMessage push;
                                   push.snapshot = text;
                                   send(std::move(push));
                               }});
    } else if (const auto *push = std::get_if<ConfigPushMessage>(&message)) {
        m_configManager->mailbox()->post(RestoreSnapshot {push->snapshot});
    } else {
        m_fleetManager->mailbox()->post(EntryMessageReceived {peer, message});
    }
}

void Entry::onLinkedEntriesChanged(const std::vector<LinkedEntry> &entries)
{
    m_fleetManager->mailbox()->post(LinkedEntriesChanged {entries});
}

void Entry::makeConfigurationTasks(const LogClient &logClient)
{
    m_snapshotWriter = std::make_shared<SnapshotWriter>(
            m_executor, SnapshotWriterOptions(), logClient.appender(),
            [options = m_settings.snapshots](const SnapshotLag &lag) {
                return isSnapshotDue(lag, options);
            },
            m_log);
    std::vector<ConfigObserver> observers;
    observers.push_back([router = m_router->mailbox(), fleet = m_fleetManager->mailbox(),
                         admin = m_adminManager->mailbox(), snapshots = m_snapshotWriter->mailbox(),
                         metrics = m_metrics](const ConfigView &view) {
        updateConfigMetrics(*metrics, view);
        router->post(view);
        fleet->post(view);
        admin->post(view);
        snapshots->post(view);
    });
    m_configManager = std::make_shared<ConfigManager>(m_executor, std::move(observers), m_log);
    const LogClient followerClient(m_executor, m_settings.logAddress, followerTimeout);
    m_logFollower = std::make_shared<LogFollower>(
            m_executor, LogFollowerOptions(), followerClient.reader(), m_configManager->mailbox(),
            [admin = m_adminManager->mailbox()](bool isAvailable) {
                admin->post(LogHealth {isAvailable});
            },
            m_log);
}

void Entry::startConfigurationTasks()
{
    m_configManager->start();
    m_snapshotWriter->start();
    m_logFollower->start();
    // Entries announce their offsets, so that an entry without a configuration, or one that cannot
    // reach the log, requests a snapshot from another entry.
    startTicker(m_executor, appliedOffsetInterval,
                [config = m_configManager->mailbox(), peers = m_peerEntries->mailbox()] {
                    config->post(AppliedOffsetQuery {[peers](Offset applied) {
                        peers->post(SendToZone {ConfigAppliedMessage {applied}});
                        peers->post(SendToOtherZones {ConfigAppliedMessage {applied}});
                    }});
                    return true;
                });
}

Awaitable<void> Entry::shutDown()
{
    m_log.info("entry.draining");
    m_router->mailbox()->post(DrainRouter {});
    m_httpServer->drain();
    Timer timer(m_executor, m_settings.drainNotice);
    co_await timer.async_wait(asTuple);
    m_httpServer->stop();
    const Instant deadline = monotonicNow() + m_settings.drainTimeout;
    while (m_httpServer->inProgress() > 0 && monotonicNow() < deadline) {
        timer.expires_after(drainPollInterval);
        co_await timer.async_wait(asTuple);
    }
    co_await flushClaims();
    m_peerListener->stop();
    m_log.info("entry.stopped");
}

/** Waits until the outcomes of the last requests are in the log, at most for a time limit. */
Awaitable<void> Entry::flushClaims()
{
    const auto reply = makeMailbox<ClaimsFlushed>(m_executor, 1);
    ClaimCommand command = FlushClaims {reply};
    co_await m_claimManager->mailbox()->send(std::move(command));
    co_await reply->receiveWithin(flushTimeout);
}

Awaitable<void> Entry::handle(HttpExchange &exchange)
{
    const std::string path = exchange.request().path();
    if (CallerHandler::isCallerPath(path)) {
        co_await m_callerHandler->handle(exchange);
    } else if (AdminHandler::isAdminPath(path)) {
        co_await m_adminHandler->handle(exchange);
    } else {
        HttpResponse response = co_await handleHealthRequest(path);
        co_await exchange.respond(std::move(response));
    }
}

Awaitable<HttpResponse> Entry::handleHealthRequest(const std::string &path) const
{
    if (path == "/healthz") {
        co_return HttpResponse {200, plainTextType, {}, "ok\n"};
    }
    if (path == "/metrics") {
        m_budget->updateGauges();
        co_return HttpResponse {200, "text/plain; version=0.0.4", {}, m_metrics->text()};
    }
    if (path == "/readyz") {
        const auto reply = makeMailbox<bool>(m_executor, 1);
        RouterCommand query = ReadinessQuery {reply};
        co_await m_router->mailbox()->send(std::move(query));
        const bool isReady = (co_await reply->receive()).value_or(false);
        co_return HttpResponse {
                isReady ? 200 : 503, plainTextType, {}, isReady ? "ready\n" : "not ready\n"};
    }
    const Failure failure {ErrorKind::NotFound, path + " does not exist"};
    co_return problemResponse(failure);
}

Awaitable<void> Entry::pollInstanceList()
{
    const ReadInstanceList read =
            makeListReader(m_executor, m_settings.listAddress, platformTimeout);
    Timer timer(m_executor);
    while (true) {
        Outcome<std::vector<ListedInstance>> list = co_await read();
        if (failureOf(list) == nullptr) {
            auto &instances = std::get<std::vector<ListedInstance>>(list);
            m_peerEntries->mailbox()->post(PeerListReceived {instances});
            m_fleetManager->mailbox()->post(InstanceListReceived {std::move(instances)});
        }
        timer.expires_after(listPollInterval);
        co_await timer.async_wait(asTuple);
    }
}

} // namespace greengageseam
