#include "agent/agent.h"

#include "agent/agenthttp.h"
#include "agent/peerchunks.h"
#include "net/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr auto platformLimit = std::chrono::seconds(5);
constexpr auto chunkLimit = std::chrono::seconds(60);
constexpr auto orderLimit = std::chrono::seconds(5);
constexpr auto endLimit = std::chrono::seconds(1);
/** Time within which every entry learns that the agent is draining and stops using it. */
constexpr auto drainNotice = std::chrono::seconds(3);
/** Time that entries have to read the last responses before the links are closed. */
constexpr auto lastWordsLimit = std::chrono::seconds(5);

} // namespace

Agent::Agent(const asio::any_io_executor &executor, AgentSettings settings, Log log,
             TransferPolicy policy)
    : m_executor(executor), m_settings(std::move(settings)), m_log(std::move(log)),
      m_policy(std::move(policy)), m_metrics(std::make_shared<Metrics>()),
      m_logClient(executor, m_settings.logAddress, platformLimit)
{
    m_settings.startedAt = wallNow();
}

Result<void> Agent::start()
{
    const PeerIdentity identity {"agent", m_settings.instance, m_settings.zone, m_settings.secret};
    LinkHooks hooks;
    hooks.receive = [this](const PeerLinkHandle &link, StreamMessage message) {
        receive(link, std::move(message));
    };
    hooks.ended = [this](const PeerLinkHandle &link, const LinkClosed &) {
        if (link.peer().role == "agent") {
            m_chunkLinks->mailbox()->post(PeerLinkEnded {link.peer().instance});
        }
    };
    m_listener = std::make_shared<PeerListener>(m_executor, identity, hooks, m_log);
    BOOST_LEAF_ASSIGN(m_settings.peerAddress, m_listener->listen(m_settings.peerAddress));

    std::vector<ConfigObserver> observers {[this](const ConfigView &view) { onConfig(view); }};
    m_config = std::make_shared<ConfigKeeper>(m_executor, std::move(observers), m_log);

    const GateOptions gateOptions {m_settings.backendAddress, m_settings.service,
                                   m_settings.startedAt};
    m_gate = std::make_shared<Gate>(
            m_executor, gateOptions, [this](const GateStatus &status) { onGate(status); },
            m_metrics, m_log);

    makeWeightTasks(identity);

    EntryLinksHooks entryHooks;
    entryHooks.neighbours = [this](const std::vector<Heartbeat> &neighbours) {
        onNeighbours(neighbours);
    };
    entryHooks.drain = [gate = m_gate->mailbox()] { gate->post(DrainGate {}); };
    entryHooks.superseded = [this](Offset by) { onDuty(IncarnationsChecked {monotonicNow(), by}); };
    m_entries = std::make_shared<EntryLinks>(m_executor, m_settings, m_config->mailbox(),
                                             entryHooks, listReader(), m_log);

    m_placer = std::make_shared<Placer>(
            m_executor, m_settings.instance, m_settings.zone,
            [this](const Assignment &assignment) { onAssignment(assignment); });

    HttpHandler handler =
            makeAgentHandler(m_executor, m_weights->mailbox(), m_placer->mailbox(), m_metrics);
    m_http = std::make_shared<HttpServer>(m_executor, HttpServerOptions(), handler, m_log);
    BOOST_LEAF_ASSIGN(m_settings.httpAddress, m_http->listen(m_settings.httpAddress));

    m_config->start();
    m_gate->start();
    m_placer->start();
    makeIncarnation();
    if (m_settings.backendKind == BackendKind::Engine) {
        startEngineTasks();
    }
    m_incarnation->start();
    m_entries->start();
    m_http->start();
    m_listener->start();
    m_log.info("agent.started",
               {{"http", m_settings.httpAddress.text()}, {"peers", m_settings.peerAddress.text()}});
    return {};
}

ReadInstanceList Agent::listReader() const
{
    return m_settings.listAddress.isEmpty()
            ? ReadInstanceList()
            : makeListReader(m_executor, m_settings.listAddress, platformLimit);
}

void Agent::makeWeightTasks(const PeerIdentity &identity)
{
    const WeightSettings &settings = m_settings.weights;
    const auto commands = WeightKeeper::makeCommands(m_executor);
    const auto serverOptions = ServerOptions().withBytesPerSecond(settings.linkBytesPerSecond);
    m_chunkServer = std::make_shared<ChunkServer>(m_executor, serverOptions, m_metrics);

    ChunkLinksHooks hooks;
    hooks.have = [commands](const PeerHas &has, bool isAnswerWanted) {
        commands->post(PeerOffers {has, isAnswerWanted});
    };
    hooks.linked = [commands](const InstanceId &peer) { commands->post(PeerLinked {peer}); };
    hooks.lost = [commands](const InstanceId &peer) { commands->post(PeerGone {peer}); };
    hooks.asked = [this](const PeerLinkHandle &link, StreamMessage message) {
        receiveFromPeer(link, std::move(message));
    };
    m_chunkLinks = std::make_shared<ChunkLinks>(m_executor, identity, hooks, m_metrics, m_log);

    TransferOptions options;
    options.self = m_settings.instance;
    options.zone = m_settings.zone;
    options.storeZone = settings.storeZone;
    options = options.withLinkBytesPerSecond(settings.linkBytesPerSecond)
                      .withZoneLinkBytesPerSecond(settings.zoneLinkBytesPerSecond)
                      .withMemoryBytes(settings.memoryBytes);
    const StoreClient store(m_executor, m_settings.storeAddress, chunkLimit);
    const WeightSources sources {store.manifestReader(), store.chunkReader(),
                                 makePeerReader(m_executor, m_chunkLinks->mailbox())};
    const WeightTasks tasks {m_chunkLinks->mailbox(), m_chunkServer->mailbox()};
    m_weights = std::make_shared<WeightKeeper>(
            m_executor, commands, TransferPlanner(options, m_policy, monotonicNow()), sources,
            tasks, [this](const WeightStatus &status) { onWeights(status); }, m_metrics, m_log);
    m_reachableZones.insert(m_settings.zone);
    for (const WeightPeer &peer : settings.farPeers) {
        m_reachableZones.insert(peer.zone);
    }
}

void Agent::startEngineTasks()
{
    const EngineClient client(m_executor, m_settings.backendAddress, orderLimit);
    const EngineHooks hooks {
            client.stateReader(), client.orderGiver(),
            [mailbox = m_incarnation->mailbox()] { mailbox->post(CheckIncarnation {}); }};
    m_engine = std::make_shared<EngineKeeper>(
            m_executor, hooks, m_settings.httpAddress, m_settings.engineEvery, m_gate->mailbox(),
            [entries = m_entries->mailbox()](const EngineState &state) { entries->post(state); },
            m_log);
    m_chunkLinks->start();
    m_chunkServer->start();
    m_weights->start();
    m_engine->start();
}

Awaitable<void> Agent::shutDown()
{
    m_log.info("agent.draining");
    const auto reply = makeMailbox<Released>(m_executor, 1);
    m_gate->mailbox()->post(DrainGate {reply});
    asio::steady_timer notice(m_executor, drainNotice);
    co_await reply->receiveWithin(m_settings.drainLimit);
    if (m_number.value != 0) {
        const auto ended = makeMailbox<bool>(m_executor, 1);
        m_incarnation->mailbox()->post(EndIncarnation {ended});
        co_await ended->receiveWithin(endLimit);
    }
    co_await notice.async_wait(asTuple);
    co_await m_listener->finish(lastWordsLimit);
    m_listener->stop();
    m_http->stop();
    m_log.info("agent.stopped");
}

void Agent::receive(const PeerLinkHandle &link, StreamMessage message)
{
    if (auto *open = std::get_if<OpenMessage>(&message.message)) {
        if (!m_gate->mailbox()->post(StartAttempt {std::move(*open), link, message.stream})) {
            const Failure failure {ErrorKind::Overloaded, "the agent's queue is full"};
            link.post(message.stream, FailedMessage {failure, Ran::No});
        }
    } else if (const auto *cancel = std::get_if<CancelMessage>(&message.message)) {
        m_gate->mailbox()->post(CancelAttempt {*cancel, link, message.stream});
    } else {
        receiveFromPeer(link, std::move(message));
    }
}

void Agent::receiveFromPeer(const PeerLinkHandle &link, StreamMessage message)
{
    if (const auto *wanted = std::get_if<ChunkWantedMessage>(&message.message)) {
        m_weights->mailbox()->post(ChunkAsked {wanted->digest, link, message.stream});
    } else if (const auto *have = std::get_if<HaveMessage>(&message.message)) {
        m_chunkLinks->mailbox()->post(HaveHeard {link, *have});
    }
}

void Agent::onConfig(const ConfigView &view)
{
    countConfig(*m_metrics, view);
    m_entries->mailbox()->post(ConfigInForce {view});
    m_placer->mailbox()->post(view);
}

void Agent::onNeighbours(const std::vector<Heartbeat> &neighbours)
{
    // Entries report only agents of their own zone, and omit the zone field.
    std::vector<WeightPeer> peers = m_settings.weights.farPeers;
    for (const Heartbeat &neighbour : neighbours) {
        if (neighbour.kind == BackendKind::Engine && neighbour.instance != m_settings.instance) {
            peers.push_back({neighbour.instance, m_settings.zone, neighbour.peerAddress});
        }
    }
    m_weights->mailbox()->post(PeersKnown {std::move(peers)});
    m_placer->mailbox()->post(NeighboursSeen {neighbours});
}

void Agent::onAssignment(const Assignment &assignment)
{
    VersionsWanted wanted {assignment.versions};
    std::set<Digest> manifests;
    for (auto &[digest, places] : wanted.versions) {
        manifests.insert(digest);
        std::erase_if(places.zones,
                      [this](const ZoneName &zone) { return !m_reachableZones.contains(zone); });
    }
    if (m_engine) {
        m_weights->mailbox()->post(OriginCopiesSet {assignment.originCopies});
        m_weights->mailbox()->post(std::move(wanted));
        m_engine->mailbox()->post(AssignVersions {manifests});
    }
}

void Agent::onWeights(const WeightStatus &status)
{
    m_entries->mailbox()->post(status);
    m_engine->mailbox()->post(WeightsHeld {status.holding});
}

void Agent::onGate(const GateStatus &status)
{
    m_entries->mailbox()->post(status);
    m_placer->mailbox()->post(status);
    const bool isLoadHigh = status.running > m_settings.weights.yieldAbove;
    if (isLoadHigh != m_isLoadHigh && m_engine) {
        m_isLoadHigh = isLoadHigh;
        m_weights->mailbox()->post(LiveLoadSeen {isLoadHigh});
    }
}

void Agent::makeIncarnation()
{
    const IncarnationHooks hooks {m_logClient.appender(), m_logClient.reader(),
                                  [this](const DutyEvent &event) { onDuty(event); }};
    m_incarnation =
            std::make_shared<IncarnationKeeper>(m_executor, m_settings.instance, hooks, m_log);
}

/** Passes the event on to the tasks. Drains the gate if a successor has taken over the slot. */
void Agent::onDuty(const DutyEvent &event)
{
    if (m_engine) {
        m_engine->mailbox()->post(event);
    }
    if (const auto *granted = std::get_if<IncarnationGranted>(&event)) {
        m_number = granted->number;
        m_gate->mailbox()->post(IncarnationKnown {m_number});
        m_entries->mailbox()->post(IncarnationKnown {m_number});
    }
    const auto *checked = std::get_if<IncarnationsChecked>(&event);
    if (checked != nullptr && checked->newestOther > m_number) {
        m_log.warning("agent.superseded", {{"by", checked->newestOther.value}});
        m_gate->mailbox()->post(DrainGate {});
    }
}

} // namespace greengageseam
