#include "agent/weightkeeper.h"

#include "core/common/hashing.h"
#include "net/clock.h"
#include "net/ticker.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 8192;
constexpr std::uint64_t maxManifestBytes = 64ULL * 1024 * 1024;
constexpr auto tickPeriod = std::chrono::milliseconds(20);
constexpr auto announceEvery = std::chrono::milliseconds(60);
constexpr auto announceFarEvery = std::chrono::milliseconds(150);
/**
 * Interval between updates of the peers to link. They depend on the state of the planner, which
 * also changes while the agents of the zone stay the same.
 */
constexpr auto keepPartnersEvery = std::chrono::milliseconds(200);
constexpr auto tellProgressEvery = std::chrono::milliseconds(500);
constexpr auto manifestPatience = std::chrono::seconds(2);

FetchResult resultOf(const Failure &failure)
{
    switch (failure.kind) {
    case ErrorKind::CorruptData:
    case ErrorKind::ProtocolViolation:
        return FetchResult::Corrupt;
    case ErrorKind::Overloaded:
        return FetchResult::Busy;
    case ErrorKind::NotFound:
        return FetchResult::NotHeld;
    default:
        return FetchResult::Failed;
    }
}

/** @returns the bytes if they match their digest, CorruptData otherwise */
Outcome<ChunkBytes> verified(Outcome<std::string> read, const Chunk &chunk)
{
    if (const Failure *failure = failureOf(read)) {
        return *failure;
    }
    if (digestOf(std::get<std::string>(read)) != chunk.digest) {
        return Failure {ErrorKind::CorruptData,
                        "chunk " + chunk.digest.text() + " does not match its digest"};
    }
    return std::make_shared<const std::string>(std::get<std::string>(std::move(read)));
}

} // namespace

WeightKeeper::WeightKeeper(const asio::any_io_executor &executor, MailboxPtr<WeightCommand> mailbox,
                           TransferPlanner planner, WeightSources sources, WeightTasks tasks,
                           WeightObserver observer, std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_mailbox(std::move(mailbox)), m_planner(std::move(planner)),
      m_sources(std::move(sources)), m_tasks(std::move(tasks)), m_observer(std::move(observer)),
      m_metrics(std::move(metrics)), m_log(std::move(log))
{ }

MailboxPtr<WeightCommand> WeightKeeper::makeCommands(const asio::any_io_executor &executor)
{
    return makeMailbox<WeightCommand>(executor, mailboxCapacity);
}

void WeightKeeper::start()
{
    asio::co_spawn(m_executor, [self = shared_from_this()] { return self->run(); }, asio::detached);
    startTicker(m_executor, tickPeriod, [mailbox = m_mailbox] {
        mailbox->post(WeightTick {});
        return true;
    });
}

Awaitable<void> WeightKeeper::run()
{
    while (std::optional<WeightCommand> command = co_await m_mailbox->receive()) {
        std::visit([this](const auto &message) { apply(message); }, *command);
    }
}

void WeightKeeper::apply(const VersionsWanted &command)
{
    plan(command);
    keepPartners();
}

void WeightKeeper::apply(const PeersKnown &command)
{
    m_known = command.peers;
    plan(command);
    // The planner may also read from peers that are not linked yet, so all addresses are sent.
    m_partners = m_planner.partners();
    m_tasks.links->post(KeepPartners {m_known, m_partners});
}

void WeightKeeper::apply(const OriginCopiesSet &command)
{
    plan(command);
}

void WeightKeeper::apply(const PeerGone &command)
{
    plan(command);
}

void WeightKeeper::apply(const LiveLoadSeen &command)
{
    plan(command);
    m_tasks.server->post(command);
}

void WeightKeeper::apply(const ManifestFetched &command)
{
    if (const Failure *failure = failureOf(command.manifest)) {
        m_lastFailure = failure->detail;
        m_log.debug("weights.manifest-failed", {{"reason", failure->detail}});
        plan(ManifestFailed {command.digest});
        return;
    }
    plan(ManifestKnown {command.digest, std::get<Manifest>(command.manifest)});
    if (m_planner.manifest(command.digest) != nullptr) {
        m_tasks.links->post(Announce {haveOf(command.digest, true)});
    }
}

void WeightKeeper::apply(const ChunkFetched &command)
{
    FetchEnded ended {command.chunk, command.source, FetchResult::Verified, command.retryAfter};
    m_readings.erase(command.chunk.digest);
    if (const Failure *failure = failureOf(command.bytes)) {
        ended.result = resultOf(*failure);
        noteTrouble(*failure, command.source);
        plan(ended);
        return;
    }
    const bool isOrigin = command.source.isOrigin();
    m_originBytes += isOrigin ? command.chunk.size : 0;
    m_metrics->count("weight_bytes_total", "Bytes of weights fetched",
                     {{"source", isOrigin ? "origin" : "peer"}},
                     static_cast<double>(command.chunk.size));
    m_chunks.insert_or_assign(command.chunk.digest, std::get<ChunkBytes>(command.bytes));
    plan(ended);
    if (!m_planner.holdsChunk(command.chunk.digest)) {
        m_chunks.erase(command.chunk.digest);
    }
}

void WeightKeeper::apply(const ChunkAsked &command)
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
    command.link.post(command.stream, FailedMessage {failure, Ran::No});
}

void WeightKeeper::apply(const PeerOffers &command)
{
    const Digest &manifest = command.has.manifest;
    if (m_planner.manifest(manifest) == nullptr) {
        return;
    }
    plan(command.has);
    if (command.isAnswerWanted) {
        m_tasks.links->post(Announce {haveOf(manifest, false), Reach::All, command.has.peer});
    }
}

void WeightKeeper::apply(const PeerLinked &command)
{
    for (const Digest &manifest : m_planner.offered()) {
        m_tasks.links->post(Announce {haveOf(manifest, true), Reach::All, command.peer});
    }
}

void WeightKeeper::apply(const ManifestRead &command)
{
    const Manifest *manifest = m_planner.manifest(command.manifest);
    if (manifest == nullptr || !m_planner.isWhole(command.manifest)) {
        command.reply->post(
                Failure {ErrorKind::NotFound, "not all chunks of the version are stored here"});
        return;
    }
    command.reply->post(manifest->text());
    plan(EngineReads {command.manifest});
}

void WeightKeeper::apply(const ChunkRead &command)
{
    const auto it = m_chunks.find(command.chunk);
    if (it == m_chunks.end()) {
        command.reply->post(Failure {ErrorKind::NotFound, "the chunk is not stored here"});
        return;
    }
    command.reply->post(it->second);
}

void WeightKeeper::apply(const WeightTick &)
{
    plan(TimePassed {});
    announceNews();
    const Instant now = monotonicNow();
    if (!m_planner.isDone() && now - m_progressToldAt >= tellProgressEvery) {
        m_progressToldAt = now;
        m_log.info("weights.progress",
                   {{"held_bytes", m_planner.heldBytes()},
                    {"origin_bytes", m_originBytes},
                    {"reading", m_readings.size()},
                    {"partners", m_partners.size()}});
    }
    if (now - m_partnersKeptAt >= keepPartnersEvery) {
        m_partnersKeptAt = now;
        keepPartners();
    }
}

void WeightKeeper::plan(const TransferEvent &event)
{
    for (const TransferAction &action : m_planner.step(event, monotonicNow())) {
        std::visit([this](const auto &one) { carryOut(one); }, action);
    }
    publish();
}

void WeightKeeper::carryOut(const ReadManifest &action)
{
    asio::co_spawn(
            m_executor, [self = shared_from_this(), action] { return self->fetchManifest(action); },
            asio::detached);
}

void WeightKeeper::carryOut(const ReadChunk &action)
{
    const MailboxPtr<StreamEvent> events = makeReadEvents(m_executor);
    m_readings.insert_or_assign(action.chunk.digest, events);
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), action, events] {
                return self->fetchChunk(action, events);
            },
            asio::detached);
}

void WeightKeeper::carryOut(const StopReading &action)
{
    const auto it = m_readings.find(action.chunk);
    if (it != m_readings.end()) {
        it->second->post(StreamEvent(LinkClosed {"the chunk is no longer wanted"}));
        m_readings.erase(it);
        m_metrics->count("weight_reads_stopped_total", "Reads of chunks that were cancelled");
    }
}

void WeightKeeper::carryOut(const DropChunk &action)
{
    m_chunks.erase(action.chunk);
}

Awaitable<void> WeightKeeper::fetchManifest(ReadManifest action)
{
    Outcome<Manifest> manifest = Failure {};
    if (action.source.isOrigin()) {
        manifest = co_await m_sources.readManifest(action.digest);
    } else {
        PeerRead read {action.source.peer, action.digest, maxManifestBytes, manifestPatience,
                       makeReadEvents(m_executor)};
        const Outcome<std::string> text = co_await m_sources.readPeer(std::move(read));
        const Failure *failure = failureOf(text);
        manifest = failure != nullptr
                ? Outcome<Manifest>(*failure)
                : settle([&] { return parseManifest(std::get<std::string>(text), action.digest); });
    }
    WeightCommand fetched = ManifestFetched {action.digest, std::move(manifest)};
    co_await m_mailbox->send(std::move(fetched));
}

Awaitable<void> WeightKeeper::fetchChunk(ReadChunk action, MailboxPtr<StreamEvent> events)
{
    Outcome<std::string> bytes = Failure {};
    Duration retryAfter {};
    if (action.source.isOrigin()) {
        OriginAnswer answer = co_await m_sources.readOrigin(action.chunk);
        bytes = std::move(answer.bytes);
        retryAfter = answer.retryAfter;
    } else {
        PeerRead read {action.source.peer, action.chunk.digest, action.chunk.size, action.patience,
                       std::move(events)};
        bytes = co_await m_sources.readPeer(std::move(read));
    }
    Outcome<ChunkBytes> checked = verified(std::move(bytes), action.chunk);
    WeightCommand fetched =
            ChunkFetched {action.chunk, action.source, std::move(checked), retryAfter};
    co_await m_mailbox->send(std::move(fetched));
}

void WeightKeeper::noteTrouble(const Failure &failure, const ChunkSource &source)
{
    const std::string name = source.isOrigin() ? "origin" : "peer";
    m_metrics->count("chunks_failed_total", "Chunks that could not be fetched",
                     {{"source", name}, {"kind", std::string(answerFor(failure.kind).name)}});
    if (source.isOrigin() || failure.kind != ErrorKind::Overloaded) {
        m_lastFailure = failure.detail;
        m_log.warning("weights.chunk-failed",
                      {{"reason", failure.detail}, {"source", name}, {"peer", source.peer.text()}});
    }
}

void WeightKeeper::keepPartners()
{
    std::vector<WeightPeer> partners = m_planner.partners();
    if (partners != m_partners || !partners.empty()) {
        m_partners = std::move(partners);
        m_tasks.links->post(KeepPartners {m_known, m_partners});
    }
}

/**
 * Announces new chunks to the peers. The interval is longer for other zones, to save bandwidth on
 * the links between zones.
 */
void WeightKeeper::announceNews()
{
    const Instant now = monotonicNow();
    if (now >= m_toldNearAt + announceEvery) {
        m_toldNearAt = now;
        announceTo(Reach::Near, m_toldNear);
    }
    if (now >= m_toldFarAt + announceFarEvery) {
        m_toldFarAt = now;
        announceTo(Reach::Far, m_toldFar);
    }
}

void WeightKeeper::announceTo(Reach reach, std::map<Digest, ChunkBits> &told)
{
    for (const Digest &manifest : m_planner.offered()) {
        HaveMessage have = haveOf(manifest, false);
        ChunkBits &last = told[manifest];
        if (last != have.bits) {
            last = have.bits;
            m_tasks.links->post(Announce {std::move(have), reach});
        }
    }
    std::erase_if(told,
                  [this](const auto &entry) { return m_planner.manifest(entry.first) == nullptr; });
}

HaveMessage WeightKeeper::haveOf(const Digest &manifest, bool isAnswerWanted) const
{
    return {manifest, m_planner.held(manifest), isAnswerWanted};
}

void WeightKeeper::publish()
{
    WeightStatus status {m_planner.complete(), m_originBytes, m_planner.trouble()};
    if (status.trouble.empty() && !m_planner.isDone()) {
        status.trouble = m_lastFailure;
    }
    if (m_reportedBytes != m_planner.heldBytes()) {
        m_reportedBytes = m_planner.heldBytes();
        m_metrics->set("weights_held_bytes", "Bytes of weight chunks stored, without control data",
                       static_cast<double>(m_planner.heldBytes()));
    }
    if (status == m_status) {
        return;
    }
    m_status = std::move(status);
    m_metrics->set("weights_refused", "1 if a wanted version does not fit into memory",
                   m_planner.trouble().empty() ? 0 : 1);
    m_observer(m_status);
}

} // namespace greengageseam
