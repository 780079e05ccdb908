#include "agent/agent.h"

#include "agent/agenthttp.h"
#include "agent/peerchunks.h"
#include "net/clock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr auto platformTimeout = std::chrono::seconds(5);
constexpr auto chunkTimeout = std::chrono::seconds(60);
constexpr auto orderTimeout = std::chrono::seconds(5);
constexpr auto recordEndTimeout = std::chrono::seconds(1);
/** Time within which every entry learns that the agent is draining and stops using it. */
constexpr auto drainPropagationTime = std::chrono::seconds(3);
constexpr std::uint64_t bytesPerMegabyte = 1024UL * 1024;
/** Time that entries have to read the last responses before the links are closed. */
constexpr auto responseFlushTimeout = std::chrono::seconds(5);

} // namespace

Agent::Agent(const asio::any_io_executor &executor, AgentSettings settings, Log log,
             TransferPolicy policy)
    : m_executor(executor), m_settings(std::move(settings)), m_log(std::move(log)),
      m_policy(std::move(policy)), m_metrics(std::make_shared<Metrics>()),
      m_logClient(executor, m_settings.logAddress, platformTimeout)
{
    m_settings.startedAt = wallNow();
}

Result<void> Agent::start()
{
    const PeerIdentity identity {"agent", m_settings.instance, m_settings.zone, m_settings.secret};
    LinkHooks hooks;
    hooks.onMessage = [this](const PeerLinkHandle &link, StreamMessage message) {
        onLinkMessage(link, std::move(message));
    };
    hooks.onClosed = [this](const PeerLinkHandle &link, const LinkClosed &) {
        if (link.peer().role == "agent") {
            m_chunkLinks->mailbox()->post(PeerLinkClosed {link.peer().instance});
        }
    };
    m_peerListener = std::make_shared<PeerListener>(m_executor, identity, hooks, m_log);
    BOOST_LEAF_ASSIGN(m_settings.peerAddress, m_peerListener->listen(m_settings.peerAddress));

    std::vector<ConfigObserver> observers {[this](const ConfigView &view) { onConfig(view); }};
    m_configManager = std::make_shared<ConfigManager>(m_executor, std::move(observers), m_log);

    const GateOptions gateOptions {m_settings.backendAddress, m_settings.service,
                                   m_settings.startedAt};
    const HttpServerOptions httpOptions;
    m_budget = makeBudget(httpOptions);
    m_gate = std::make_shared<Gate>(
            m_executor, gateOptions, m_budget,
            [this](const GateStatus &status) { onGateStatus(status); }, m_metrics, m_log);

    makeWeightTasks(identity);

    EntryLinksHooks entryHooks;
    entryHooks.onNeighboursChanged = [this](const std::vector<Heartbeat> &neighbours) {
        onNeighboursChanged(neighbours);
    };
    entryHooks.onDrain = [gate = m_gate->mailbox()] { gate->post(DrainGate {}); };
    entryHooks.onSuperseded = [this](Offset by) {
        onOrderLeaseEvent(IncarnationsChecked {monotonicNow(), by});
    };
    m_entryLinks = std::make_shared<EntryLinks>(m_executor, m_settings, m_configManager->mailbox(),
                                                entryHooks, listReader(), m_log);

    m_placer = std::make_shared<Placer>(
            m_executor, m_settings.instance, m_settings.zone,
            [this](const Assignment &assignment) { onAssignment(assignment); });

    HttpHandler handler =
            makeAgentHandler(m_executor, m_weightManager->mailbox(), m_placer->mailbox(),
                             [metrics = m_metrics, budget = m_budget] {
                                 budget->updateGauges();
                                 return metrics->text();
                             });
    m_httpServer = std::make_shared<HttpServer>(m_executor, httpOptions, m_budget, handler, m_log);
    BOOST_LEAF_ASSIGN(m_settings.httpAddress, m_httpServer->listen(m_settings.httpAddress));

    m_configManager->start();
    m_gate->start();
    m_placer->start();
    makeIncarnationManager();
    if (m_settings.backendKind == BackendKind::Engine) {
        startEngineTasks();
    }
    m_incarnationManager->start();
    m_entryLinks->start();
    m_httpServer->start();
    m_peerListener->start();
    m_log.info("agent.started",
               {{"http", m_settings.httpAddress.text()}, {"peers", m_settings.peerAddress.text()}});
    return {};
}

ReadInstanceList Agent::listReader() const
{
    return m_settings.listAddress.isEmpty()
            ? ReadInstanceList()
            : makeListReader(m_executor, m_settings.listAddress, platformTimeout);
}

ProcessBudgetPtr Agent::makeBudget(const HttpServerOptions &options) const
{
    const ProcessLimits &limits = m_settings.limits;
    const std::uint64_t weightsMb = std::min<std::uint64_t>(
            m_settings.weights.memoryBytes / bytesPerMegabyte, limits.memoryMb);
    const auto memoryMb = static_cast<std::uint32_t>(limits.memoryMb - weightsMb);
    return std::make_shared<ProcessBudget>(
            budgetLimits(memoryMb, limits.descriptors, options.maxConnections), m_metrics, m_log);
}

void Agent::makeWeightTasks(const PeerIdentity &identity)
{
    const WeightSettings &settings = m_settings.weights;
    const auto commands = WeightManager::makeCommandMailbox(m_executor);
    const auto serverOptions = ChunkServerOptions().withBytesPerSecond(settings.linkBytesPerSecond);
    m_chunkServer = std::make_shared<ChunkServer>(m_executor, serverOptions, m_metrics);

    ChunkLinksHooks hooks;
    hooks.onChunksAnnounced = [commands](const PeerChunksAnnounced &has, bool isAnswerWanted) {
        commands->post(PeerAnnouncementReceived {has, isAnswerWanted});
    };
    hooks.onLinked = [commands](const InstanceId &peer) { commands->post(PeerLinked {peer}); };
    hooks.onLinkLost = [commands](const InstanceId &peer) {
        commands->post(PeerDisconnected {peer});
    };
    hooks.onRequest = [this](const PeerLinkHandle &link, StreamMessage message) {
        onPeerMessage(link, std::move(message));
    };
    m_chunkLinks = std::make_shared<ChunkLinks>(m_executor, identity, hooks, m_metrics, m_log);

    TransferOptions options;
    options.self = m_settings.instance;
    options.zone = m_settings.zone;
    options.storeZone = settings.storeZone;
    options = options.withLinkBytesPerSecond(settings.linkBytesPerSecond)
                      .withZoneLinkBytesPerSecond(settings.zoneLinkBytesPerSecond)
                      .withMemoryBytes(settings.memoryBytes);
    const StoreClient store(m_executor, m_settings.storeAddress, chunkTimeout);
    const WeightSources sources {store.manifestReader(), store.chunkReader(),
                                 makePeerReader(m_executor, m_chunkLinks->mailbox())};
    const WeightTasks tasks {m_chunkLinks->mailbox(), m_chunkServer->mailbox()};
    m_weightManager = std::make_shared<WeightManager>(
            m_executor, commands, TransferPlanner(options, m_policy, monotonicNow()), sources,
            tasks, WeightHooks {[this](const WeightStatus &status) { onWeightStatus(status); }, {}},
            m_metrics, m_log);
    m_reachableZones.insert(m_settings.zone);
    for (const WeightPeer &peer : settings.otherZonePeers) {
        m_reachableZones.insert(peer.zone);
    }
}

void Agent::startEngineTasks()
{
    const EngineClient client(m_executor, m_settings.backendAddress, orderTimeout);
    const EngineHooks hooks {
            client.stateReader(), client.orderSender(),
            [mailbox = m_incarnationManager->mailbox()] { mailbox->post(CheckIncarnation {}); }};
    m_engineManager = std::make_shared<EngineManager>(
            m_executor, hooks, m_settings.httpAddress, m_settings.enginePollInterval,
            m_gate->mailbox(),
            [entries = m_entryLinks->mailbox()](const EngineState &state) { entries->post(state); },
            m_log);
    m_chunkLinks->start();
    m_chunkServer->start();
    m_weightManager->start();
    m_engineManager->start();
}

Awaitable<void> Agent::shutDown()
{
    m_log.info("agent.draining");
    const auto reply = makeMailbox<Released>(m_executor, 1);
    m_gate->mailbox()->post(DrainGate {reply});
    Timer propagationTimer(m_executor, drainPropagationTime);
    co_await reply->receiveWithin(m_settings.drainTimeout);
    if (m_incarnationNumber.value != 0) {
        const auto endRecorded = makeMailbox<bool>(m_executor, 1);
        m_incarnationManager->mailbox()->post(EndIncarnation {endRecorded});
        co_await endRecorded->receiveWithin(recordEndTimeout);
    }
    co_await propagationTimer.async_wait(asTuple);
    co_await m_peerListener->finish(responseFlushTimeout);
    m_peerListener->stop();
    m_httpServer->stop();
    m_log.info("agent.stopped");
}

void Agent::onLinkMessage(const PeerLinkHandle &link, StreamMessage message)
{
    if (auto *open = std::get_if<OpenMessage>(&message.message)) {
        if (!m_gate->mailbox()->post(StartAttempt {std::move(*open), link, message.stream})) {
            const Failure failure {ErrorKind::Overloaded, "the agent's queue is full"};
            link.post(message.stream, FailedMessage {failure, ExecutionStatus::NotExecuted});
        }
    } else if (const auto *cancel = std::get_if<CancelMessage>(&message.message)) {
        m_gate->mailbox()->post(CancelAttempt {*cancel, link, message.stream});
    } else {
        onPeerMessage(link, std::move(message));
    }
}

void Agent::onPeerMessage(const PeerLinkHandle &link, StreamMessage message)
{
    if (const auto *wanted = std::get_if<ChunkRequestMessage>(&message.message)) {
        m_weightManager->mailbox()->post(ChunkRequested {wanted->digest, link, message.stream});
    } else if (const auto *have = std::get_if<HaveMessage>(&message.message)) {
        m_chunkLinks->mailbox()->post(HaveMessageReceived {link, *have});
    }
}

void Agent::onConfig(const ConfigView &view)
{
    updateConfigMetrics(*m_metrics, view);
    m_entryLinks->mailbox()->post(ActiveConfigChanged {view});
    m_placer->mailbox()->post(view);
}

void Agent::onNeighboursChanged(const std::vector<Heartbeat> &neighbours)
{
    // Entries report only agents of their own zone, and omit the zone field.
    std::vector<WeightPeer> peers = m_settings.weights.otherZonePeers;
    for (const Heartbeat &neighbour : neighbours) {
        if (neighbour.kind == BackendKind::Engine && neighbour.instance != m_settings.instance) {
            peers.push_back({neighbour.instance, m_settings.zone, neighbour.peerAddress});
        }
    }
    m_weightManager->mailbox()->post(PeersChanged {std::move(peers)});
    m_placer->mailbox()->post(NeighboursUpdated {neighbours});
}

void Agent::onAssignment(const Assignment &assignment)
{
    WantedVersionsChanged wanted {assignment.versions};
    std::set<Digest> manifests;
    for (auto &[digest, placement] : wanted.versions) {
        manifests.insert(digest);
        std::erase_if(placement.zones,
                      [this](const ZoneName &zone) { return !m_reachableZones.contains(zone); });
    }
    if (m_engineManager) {
        m_weightManager->mailbox()->post(OriginCopiesChanged {assignment.originCopies});
        m_weightManager->mailbox()->post(std::move(wanted));
        m_engineManager->mailbox()->post(AssignVersions {manifests});
    }
}

void Agent::onWeightStatus(const WeightStatus &status)
{
    m_entryLinks->mailbox()->post(status);
    m_engineManager->mailbox()->post(CompleteVersionsChanged {status.completeVersions});
}

void Agent::onGateStatus(const GateStatus &status)
{
    m_entryLinks->mailbox()->post(status);
    m_placer->mailbox()->post(status);
    const bool isLoadHigh = status.running > m_settings.weights.throttleThreshold;
    if (isLoadHigh != m_isLoadHigh && m_engineManager) {
        m_isLoadHigh = isLoadHigh;
        m_weightManager->mailbox()->post(LiveLoadChanged {isLoadHigh});
    }
}

void Agent::makeIncarnationManager()
{
    const IncarnationHooks hooks {
            m_logClient.appender(), m_logClient.reader(),
            [this](const OrderLeaseEvent &event) { onOrderLeaseEvent(event); }};
    m_incarnationManager =
            std::make_shared<IncarnationManager>(m_executor, m_settings.instance, hooks, m_log);
}

/** Passes the event on to the tasks. Drains the gate if a successor has taken over the slot. */
void Agent::onOrderLeaseEvent(const OrderLeaseEvent &event)
{
    if (m_engineManager) {
        m_engineManager->mailbox()->post(event);
    }
    if (const auto *granted = std::get_if<IncarnationGranted>(&event)) {
        m_incarnationNumber = granted->number;
        m_gate->mailbox()->post(IncarnationUpdated {m_incarnationNumber});
        m_entryLinks->mailbox()->post(IncarnationUpdated {m_incarnationNumber});
    }
    const auto *checked = std::get_if<IncarnationsChecked>(&event);
    if (checked != nullptr && checked->newestOther > m_incarnationNumber) {
        m_log.warning("agent.superseded", {{"by", checked->newestOther.value}});
        m_gate->mailbox()->post(DrainGate {});
    }
}

} // namespace greengageseam
