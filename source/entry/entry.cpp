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

constexpr auto platformLimit = std::chrono::seconds(5);
/** Short, so that the follower recovers soon after a network partition ends. */
constexpr auto tailLimit = std::chrono::seconds(3);
/** Interval at which other entries are notified of the configuration offset in force here. */
constexpr auto tellEvery = std::chrono::seconds(1);
constexpr auto listEvery = std::chrono::seconds(1);
constexpr StreamId linkStream = 0;
constexpr auto flushLimit = std::chrono::seconds(5);
constexpr auto drainPoll = std::chrono::milliseconds(20);
const std::string plainType = "text/plain; charset=utf-8";

/** @returns a hook that requests a configuration snapshot from the peer of @p link */
std::function<void(Offset)> askForSnapshot(const PeerLinkHandle &link)
{
    return [link](Offset applied) { link.post(linkStream, ConfigWantedMessage {applied}); };
}

} // namespace

Entry::Entry(const asio::any_io_executor &executor, EntrySettings settings, Log log)
    : m_executor(executor), m_settings(std::move(settings)), m_log(std::move(log)),
      m_metrics(std::make_shared<Metrics>())
{ }

Result<void> Entry::start()
{
    m_router = std::make_shared<Router>(m_executor, m_settings.zone, makeTurnAndTwo(),
                                        RouterOptions().withLongestWait(m_settings.longestWait),
                                        m_metrics, m_log);
    m_admin = std::make_shared<AdminKeeper>(m_executor, m_settings.zone);
    m_fleet = std::make_shared<FleetKeeper>(
            m_executor, m_settings, RosterOptions(),
            [router = m_router->mailbox(), admin = m_admin->mailbox()](const FleetView &view) {
                router->post(view);
                admin->post(view);
            },
            [this](PeerEntriesCommand command) { m_peers->mailbox()->post(std::move(command)); },
            m_log);
    const LogClient logClient(m_executor, m_settings.logAddress, platformLimit);
    makeConfiguration(logClient);
    m_claims = std::make_shared<ClaimKeeper>(m_executor, ClaimKeeperOptions(), logClient.appender(),
                                             logClient.reader(), m_metrics, m_log);
    BOOST_LEAF_CHECK(startPeers());
    BOOST_LEAF_CHECK(startHttp(logClient));
    m_router->start();
    m_admin->start();
    m_fleet->start();
    m_claims->start();
    startConfigurationTasks();
    asio::co_spawn(
            m_executor, [self = shared_from_this()] { return self->followList(); }, asio::detached);
    m_log.info("entry.started",
               {{"http", m_settings.httpAddress.text()}, {"peers", m_settings.peerAddress.text()}});
    return {};
}

Result<void> Entry::startHttp(const LogClient &logClient)
{
    const ForwarderChannels forwarding {m_router->mailbox(), m_claims->mailbox(),
                                        makeAttemptQuery(m_executor, identity(), m_log)};
    m_callerDesk = std::make_shared<CallerDesk>(m_executor, forwarding, m_settings.requestLimit,
                                                m_metrics, m_log);
    const AdminChannels channels {m_admin->mailbox(), m_fleet->mailbox(), logClient.appender(),
                                  logClient.reader()};
    m_adminDesk = std::make_shared<AdminDesk>(m_executor, m_settings, channels, m_log);
    m_http = std::make_shared<HttpServer>(
            m_executor, HttpServerOptions(),
            [self = weak_from_this()](HttpExchange &exchange) {
                return self.lock()->handle(exchange);
            },
            m_log);
    BOOST_LEAF_ASSIGN(m_settings.httpAddress, m_http->listen(m_settings.httpAddress));
    m_http->start();
    return {};
}

PeerIdentity Entry::identity() const
{
    return {"entry", m_settings.instance, m_settings.zone, m_settings.secret};
}

Result<void> Entry::startPeers()
{
    m_listener = std::make_shared<PeerListener>(m_executor, identity(), acceptedLinkHooks(), m_log);
    BOOST_LEAF_ASSIGN(m_settings.peerAddress, m_listener->listen(m_settings.peerAddress));
    makePeerEntries();
    m_listener->start();
    return {};
}

void Entry::makePeerEntries()
{
    PeerEntriesHooks hooks;
    hooks.receive = [this](const HelloMessage &peer, const Message &message) {
        onEntryMessage(peer, message);
    };
    hooks.linked = [this](const std::vector<LinkedEntry> &entries) { onLinkedEntries(entries); };
    m_peers = std::make_shared<PeerEntries>(m_executor, m_settings, PeerEntriesOptions(),
                                            std::move(hooks), m_log);
    m_peers->start();
}

/** Agents and other entries connect to an entry; an agent sends its heartbeats over its link. */
LinkHooks Entry::acceptedLinkHooks() const
{
    LinkHooks hooks;
    hooks.started = [this](const PeerLinkHandle &link) {
        m_peers->mailbox()->post(PeerEntryLinked {link});
    };
    hooks.receive = [this](const PeerLinkHandle &link, StreamMessage message) {
        if (auto *heartbeat = std::get_if<HeartbeatMessage>(&message.message)) {
            m_config->mailbox()->post(
                    PeerApplied {heartbeat->heartbeat.appliedConfig, askForSnapshot(link)});
            m_fleet->mailbox()->post(HeartbeatHeard {std::move(*heartbeat), link});
        } else if (link.peer().role == "entry" && message.stream == 0) {
            m_peers->mailbox()->post(PeerEntrySaid {link, std::move(message.message)});
        } else if (const auto *push = std::get_if<ConfigPushMessage>(&message.message)) {
            m_config->mailbox()->post(RestoreSnapshot {push->snapshot});
        }
    };
    hooks.ended = [this](const PeerLinkHandle &link, const LinkClosed &) {
        m_fleet->mailbox()->post(HeartbeatLinkLost {link.peer().instance});
        m_peers->mailbox()->post(PeerEntryLost {link});
    };
    return hooks;
}

/** Routes a message of another entry to the task that handles it. */
void Entry::onEntryMessage(const HelloMessage &peer, const Message &message)
{
    const auto send = [peers = m_peers->mailbox(), instance = peer.instance](Message answer) {
        peers->post(SendToEntry {instance, std::move(answer)});
    };
    if (const auto *applied = std::get_if<ConfigAppliedMessage>(&message)) {
        m_config->mailbox()->post(PeerApplied {
                applied->applied, [send](Offset offset) { send(ConfigWantedMessage {offset}); }});
    } else if (const auto *wanted = std::get_if<ConfigWantedMessage>(&message)) {
        m_config->mailbox()->post(SnapshotAsked {wanted->applied, [send](const std::string &text) {
                                                     ConfigPushMessage push;
                                                     push.snapshot = text;
                                                     send(std::move(push));
                                                 }});
    } else if (const auto *push = std::get_if<ConfigPushMessage>(&message)) {
        m_config->mailbox()->post(RestoreSnapshot {push->snapshot});
    } else {
        m_fleet->mailbox()->post(EntryHeard {peer, message});
    }
}

void Entry::onLinkedEntries(const std::vector<LinkedEntry> &entries)
{
    m_fleet->mailbox()->post(EntriesLinked {entries});
}

void Entry::makeConfiguration(const LogClient &logClient)
{
    m_snapshots = std::make_shared<SnapshotWriter>(
            m_executor, SnapshotWriterOptions(), logClient.appender(),
            [options = m_settings.snapshots](const SnapshotNeed &need) {
                return isSnapshotDue(need, options);
            },
            m_log);
    std::vector<ConfigObserver> observers;
    observers.push_back([router = m_router->mailbox(), fleet = m_fleet->mailbox(),
                         admin = m_admin->mailbox(), snapshots = m_snapshots->mailbox(),
                         metrics = m_metrics](const ConfigView &view) {
        countConfig(*metrics, view);
        router->post(view);
        fleet->post(view);
        admin->post(view);
        snapshots->post(view);
    });
    m_config = std::make_shared<ConfigKeeper>(m_executor, std::move(observers), m_log);
    const LogClient tailClient(m_executor, m_settings.logAddress, tailLimit);
    m_tail = std::make_shared<LogTail>(
            m_executor, LogTailOptions(), tailClient.reader(), m_config->mailbox(),
            [admin = m_admin->mailbox()](bool answers) { admin->post(LogHealth {answers}); },
            m_log);
}

void Entry::startConfigurationTasks()
{
    m_config->start();
    m_snapshots->start();
    m_tail->start();
    // Entries announce their offsets, so that an entry without a configuration, or one that cannot
    // reach the log, requests a snapshot from another entry.
    startTicker(m_executor, tellEvery, [config = m_config->mailbox(), peers = m_peers->mailbox()] {
        config->post(AppliedAsked {[peers](Offset applied) {
            peers->post(SendToZone {ConfigAppliedMessage {applied}});
            peers->post(SendToAllZones {ConfigAppliedMessage {applied}});
        }});
        return true;
    });
}

Awaitable<void> Entry::shutDown()
{
    m_log.info("entry.draining");
    m_router->mailbox()->post(DrainRouter {});
    m_http->drain();
    asio::steady_timer timer(m_executor, m_settings.drainNotice);
    co_await timer.async_wait(asTuple);
    m_http->stop();
    const Instant deadline = monotonicNow() + m_settings.drainLimit;
    while (m_http->inProgress() > 0 && monotonicNow() < deadline) {
        timer.expires_after(drainPoll);
        co_await timer.async_wait(asTuple);
    }
    co_await flushClaims();
    m_listener->stop();
    m_log.info("entry.stopped");
}

/** Waits until the outcomes of the last requests are in the log, at most for a time limit. */
Awaitable<void> Entry::flushClaims()
{
    const auto reply = makeMailbox<ClaimsFlushed>(m_executor, 1);
    ClaimCommand command = FlushClaims {reply};
    co_await m_claims->mailbox()->send(std::move(command));
    co_await reply->receiveWithin(flushLimit);
}

Awaitable<void> Entry::handle(HttpExchange &exchange)
{
    const std::string path = exchange.request().path();
    if (CallerDesk::isCallerPath(path)) {
        co_await m_callerDesk->handle(exchange);
    } else if (AdminDesk::isAdminPath(path)) {
        co_await m_adminDesk->handle(exchange);
    } else {
        HttpResponse response = co_await answerHealth(path);
        co_await exchange.respond(std::move(response));
    }
}

Awaitable<HttpResponse> Entry::answerHealth(const std::string &path) const
{
    if (path == "/healthz") {
        co_return HttpResponse {200, plainType, {}, "ok\n"};
    }
    if (path == "/metrics") {
        co_return HttpResponse {200, "text/plain; version=0.0.4", {}, m_metrics->text()};
    }
    if (path == "/readyz") {
        const auto reply = makeMailbox<bool>(m_executor, 1);
        RouterCommand asked = EntryReadyAsked {reply};
        co_await m_router->mailbox()->send(std::move(asked));
        const bool isReady = (co_await reply->receive()).value_or(false);
        co_return HttpResponse {
                isReady ? 200 : 503, plainType, {}, isReady ? "ready\n" : "not ready\n"};
    }
    const Failure failure {ErrorKind::NotFound, path + " does not exist"};
    co_return problemResponse(failure);
}

Awaitable<void> Entry::followList()
{
    const ReadInstanceList read = makeListReader(m_executor, m_settings.listAddress, platformLimit);
    asio::steady_timer timer(m_executor);
    while (true) {
        Outcome<std::vector<ListedInstance>> list = co_await read();
        if (failureOf(list) == nullptr) {
            auto &instances = std::get<std::vector<ListedInstance>>(list);
            m_peers->mailbox()->post(PeersListed {instances});
            m_fleet->mailbox()->post(ListRead {std::move(instances)});
        }
        timer.expires_after(listEvery);
        co_await timer.async_wait(asTuple);
    }
}

} // namespace greengageseam
