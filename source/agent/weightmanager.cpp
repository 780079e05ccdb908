#include "agent/weightmanager.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 8192;
constexpr auto tickPeriod = std::chrono::milliseconds(20);
/**
 * Interval between updates of the peers to link. They depend on the state of the planner, which
 * also changes while the agents of the zone stay the same.
 */
constexpr auto peersToLinkInterval = std::chrono::milliseconds(200);
constexpr auto progressLogInterval = std::chrono::milliseconds(500);

FetchResult fetchResultFor(const Failure &failure)
{
    switch (failure.kind) {
    case ErrorKind::CorruptData:
    case ErrorKind::ProtocolViolation:
        return FetchResult::Corrupt;
    case ErrorKind::Overloaded:
        return FetchResult::Busy;
    case ErrorKind::NotFound:
        return FetchResult::NotAvailable;
    default:
        return FetchResult::Failed;
    }
}

} // namespace

WeightManager::WeightManager(const asio::any_io_executor &executor,
                             MailboxPtr<WeightCommand> mailbox, TransferPlanner planner,
                             WeightSources sources, WeightTasks tasks, WeightHooks hooks,
                             std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_mailbox(std::move(mailbox)), m_planner(std::move(planner)),
      m_sources(std::move(sources)), m_tasks(std::move(tasks)), m_hooks(std::move(hooks)),
      m_metrics(std::move(metrics)), m_log(std::move(log))
{ }

MailboxPtr<WeightCommand> WeightManager::makeCommandMailbox(const asio::any_io_executor &executor)
{
    return makeMailbox<WeightCommand>(executor, mailboxCapacity);
}

void WeightManager::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(WeightTick {});
        return true;
    });
}

Awaitable<void> WeightManager::run()
{
    while (std::optional<WeightCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void WeightManager::apply(const WantedVersionsChanged &command)
{
    plan(command);
    updatePeersToLink();
}

void WeightManager::apply(const PeersChanged &command)
{
    m_knownPeers = command.peers;
    plan(command);
    // The planner may also read from peers that are not linked yet, so all addresses are sent.
    m_peersToLink = m_planner.peersToLink();
    m_tasks.links->post(UpdatePeers {m_knownPeers, m_peersToLink});
}

void WeightManager::apply(const OriginCopiesChanged &command)
{
    plan(command);
}

void WeightManager::apply(const PeerDisconnected &command)
{
    plan(command);
}

void WeightManager::apply(const LiveLoadChanged &command)
{
    plan(command);
    m_tasks.server->post(command);
}

void WeightManager::apply(const ManifestFetched &command)
{
    if (const Failure *failure = failureOf(command.manifest)) {
        m_lastFailure = failure->detail;
        m_log.debug("weights.manifest-failed", {{"reason", failure->detail}});
        plan(ManifestFailed {command.digest});
        return;
    }
    plan(ManifestReceived {command.digest, std::get<Manifest>(command.manifest)});
    if (m_planner.manifest(command.digest) != nullptr) {
        m_tasks.links->post(AnnounceChunks {makeHaveMessage(m_planner, command.digest, true)});
    }
}

void WeightManager::apply(const ChunkFetched &command)
{
    FetchFinished finished {command.chunk, command.source, FetchResult::Verified,
                            command.retryAfter};
    m_activeReads.erase(command.chunk.digest);
    if (const Failure *failure = failureOf(command.bytes)) {
        finished.result = fetchResultFor(*failure);
        recordFetchFailure(*failure, command.source);
        if (command.source.isOrigin() && failure->kind == ErrorKind::CorruptData) {
            reportDoubt({});
        }
        plan(finished);
        return;
    }
    const bool isOrigin = command.source.isOrigin();
    m_originBytes += isOrigin ? command.chunk.size : 0;
    m_metrics->count("weight_bytes_total", "Bytes of weights fetched",
                     {{"source", isOrigin ? "origin" : "peer"}},
                     static_cast<double>(command.chunk.size));
    m_chunks.insert_or_assign(command.chunk.digest, std::get<ChunkBytes>(command.bytes));
    plan(finished);
    if (!m_planner.hasChunk(command.chunk.digest)) {
        m_chunks.erase(command.chunk.digest);
    }
}

void WeightManager::apply(const ChunkRequested &command)
{
    const auto it = m_chunks.find(command.digest);
    if (it != m_chunks.end()) {
        m_tasks.server->post(ServeBytes {it->second, command.link, command.stream});
        return;
    }
    if (const Manifest *manifest = m_planner.manifest(command.digest)) {
        auto text = std::make_shared<const std::string>(manifest->text());
        m_tasks.server->post(ServeBytes {std::move(text), command.link, command.stream});
        return;
    }
    const Failure failure {ErrorKind::NotFound, "the chunk is not stored here"};
    command.link.post(command.stream, FailedMessage {failure, ExecutionStatus::NotExecuted});
}

void WeightManager::apply(const PeerAnnouncementReceived &command)
{
    const Digest &manifest = command.chunks.manifest;
    if (m_planner.manifest(manifest) == nullptr) {
        reportDoubt({command.chunks.peer, manifest});
        return;
    }
    plan(command.chunks);
    if (command.isAnswerWanted) {
        m_tasks.links->post(AnnounceChunks {makeHaveMessage(m_planner, manifest, false),
                                            PeerScope::All, command.chunks.peer});
    }
}

void WeightManager::apply(const PeerLinked &command)
{
    for (const Digest &manifest : m_planner.offeredVersions()) {
        m_tasks.links->post(AnnounceChunks {makeHaveMessage(m_planner, manifest, true),
                                            PeerScope::All, command.peer});
    }
}

void WeightManager::apply(const ManifestQuery &command)
{
    const Manifest *manifest = m_planner.manifest(command.manifest);
    if (manifest == nullptr || !m_planner.isComplete(command.manifest)) {
        command.reply->post(
                Failure {ErrorKind::NotFound, "not all chunks of the version are stored here"});
        return;
    }
    command.reply->post(manifest->text());
    plan(EngineReadStarted {command.manifest});
}

void WeightManager::apply(const ChunkQuery &command)
{
    const auto it = m_chunks.find(command.chunk);
    if (it == m_chunks.end()) {
        command.reply->post(Failure {ErrorKind::NotFound, "the chunk is not stored here"});
        return;
    }
    command.reply->post(it->second);
}

void WeightManager::apply(const WeightTick &)
{
    plan(TransferTick {});
    announceChanges();
    const Instant now = monotonicNow();
    if (!m_planner.isDone() && now - m_progressLoggedAt >= progressLogInterval) {
        m_progressLoggedAt = now;
        m_log.info("weights.progress",
                   {{"held_bytes", m_planner.storedBytes()},
                    {"origin_bytes", m_originBytes},
                    {"reading", m_activeReads.size()},
                    {"partners", m_peersToLink.size()}});
    }
    if (now - m_peersToLinkUpdatedAt >= peersToLinkInterval) {
        m_peersToLinkUpdatedAt = now;
        updatePeersToLink();
    }
}

void WeightManager::plan(const TransferEvent &event)
{
    for (const TransferAction &action : m_planner.step(event, monotonicNow())) {
        std::visit([this](const auto &plannedAction) { carryOut(plannedAction); }, action);
    }
    publishStatus();
}

void WeightManager::carryOut(const FetchManifest &action)
{
    asio::co_spawn(
            m_executor, [self = shared_from_this(), action] { return self->fetchManifest(action); },
            asio::detached);
}

void WeightManager::carryOut(const FetchChunk &action)
{
    const MailboxPtr<StreamEvent> events = makeReadEvents(m_executor);
    m_activeReads.insert_or_assign(action.chunk.digest, events);
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), action, events] {
                return self->fetchChunk(action, events);
            },
            asio::detached);
}

void WeightManager::carryOut(const CancelFetch &action)
{
    const auto it = m_activeReads.find(action.chunk);
    if (it != m_activeReads.end()) {
        it->second->post(StreamEvent(LinkClosed {"the chunk is no longer wanted"}));
        m_activeReads.erase(it);
        m_metrics->count("weight_reads_stopped_total", "Reads of chunks that were cancelled");
    }
}

void WeightManager::carryOut(const DropChunk &action)
{
    m_chunks.erase(action.chunk);
}

Awaitable<void> WeightManager::fetchManifest(FetchManifest action)
{
    ManifestFetched result = co_await readManifest(m_executor, m_sources, action);
    WeightCommand fetched = std::move(result);
    co_await m_mailbox->send(std::move(fetched));
}

Awaitable<void> WeightManager::fetchChunk(FetchChunk action, MailboxPtr<StreamEvent> events)
{
    ChunkFetched result = co_await readChunk(m_sources, action, events);
    WeightCommand fetched = std::move(result);
    co_await m_mailbox->send(std::move(fetched));
}

void WeightManager::recordFetchFailure(const Failure &failure, const ChunkSource &source)
{
    const std::string name = source.isOrigin() ? "origin" : "peer";
    m_metrics->count("chunks_failed_total", "Chunks that could not be fetched",
                     {{"source", name}, {"kind", std::string(descriptorFor(failure.kind).name)}});
    if (source.isOrigin() || failure.kind != ErrorKind::Overloaded) {
        m_lastFailure = failure.detail;
        m_log.warning("weights.chunk-failed",
                      {{"reason", failure.detail}, {"source", name}, {"peer", source.peer.text()}});
    }
}

/** A version that is complete is beyond doubt, since its chunks match the manifest. */
void WeightManager::reportDoubt(const ManifestDoubt &doubt) const
{
    if (m_hooks.onManifestDoubt && !m_planner.isDone()) {
        m_hooks.onManifestDoubt(doubt);
    }
}

void WeightManager::updatePeersToLink()
{
    std::vector<WeightPeer> peersToLink = m_planner.peersToLink();
    if (peersToLink != m_peersToLink || !peersToLink.empty()) {
        m_peersToLink = std::move(peersToLink);
        m_tasks.links->post(UpdatePeers {m_knownPeers, m_peersToLink});
    }
}

void WeightManager::announceChanges()
{
    for (AnnounceChunks &announcement : m_announcements.takeDue(m_planner, monotonicNow())) {
        m_tasks.links->post(std::move(announcement));
    }
}

void WeightManager::publishStatus()
{
    WeightStatus status {m_planner.completeVersions(), m_originBytes, m_planner.problem()};
    if (status.problem.empty() && !m_planner.isDone()) {
        status.problem = m_lastFailure;
    }
    if (m_storedBytesMetric != m_planner.storedBytes()) {
        m_storedBytesMetric = m_planner.storedBytes();
        m_metrics->set("weights_held_bytes", "Bytes of weight chunks stored, without control data",
                       static_cast<double>(m_planner.storedBytes()));
    }
    if (status == m_status) {
        return;
    }
    m_status = std::move(status);
    m_metrics->set("weights_refused", "1 if a wanted version does not fit into memory",
                   m_planner.problem().empty() ? 0 : 1);
    m_hooks.onStatus(m_status);
}

} // namespace greengageseam
