#include "agent/weightkeeper.h"

#include "net/clock.h"
#include "net/ticker.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace greengageseam {

namespace {

constexpr std::size_t mailboxCapacity = 4096;
constexpr std::size_t maxFetches = 4;
constexpr std::size_t partBytes = 256 * 1024;
constexpr auto tickPeriod = std::chrono::milliseconds(200);

} // namespace

WeightKeeper::WeightKeeper(const asio::any_io_executor &executor, WeightSources sources,
                           WeightObserver observer, std::shared_ptr<Metrics> metrics, Log log)
    : m_executor(executor), m_sources(std::move(sources)), m_observer(std::move(observer)),
      m_metrics(std::move(metrics)), m_log(std::move(log)),
      m_mailbox(makeMailbox<WeightCommand>(executor, mailboxCapacity))
{ }

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

void WeightKeeper::apply(const WantWeights &command)
{
    m_wanted = command.manifests;
    dropUnwanted();
    goOn();
}

void WeightKeeper::apply(const PeersSeen &command)
{
    m_peers = command.peers;
}

void WeightKeeper::apply(const ManifestFetched &command)
{
    m_fetching.erase(command.digest);
    if (const Failure *failure = failureOf(command.manifest)) {
        m_status.trouble = failure->detail;
        m_log.warning("weights.manifest-failed", {{"reason", failure->detail}});
        return;
    }
    m_manifests.insert_or_assign(command.digest, std::get<Manifest>(command.manifest));
    goOn();
}

void WeightKeeper::apply(const ChunkFetched &command)
{
    m_fetching.erase(command.chunk.digest);
    const std::string source = command.isFromOrigin ? "origin" : "peer";
    if (const Failure *failure = failureOf(command.bytes)) {
        m_status.trouble = failure->detail;
        m_metrics->count("chunks_failed_total", "Chunks that could not be fetched",
                         {{"source", source}});
        m_log.warning("weights.chunk-failed", {{"reason", failure->detail}, {"source", source}});
        return;
    }
    if (command.isFromOrigin) {
        m_status.originBytes += command.chunk.size;
    }
    m_metrics->count("weight_bytes_total", "Bytes of weights fetched", {{"source", source}},
                     static_cast<double>(command.chunk.size));
    m_chunks.insert_or_assign(command.chunk.digest, std::get<ChunkBytes>(command.bytes));
    goOn();
}

void WeightKeeper::apply(const ChunkAsked &command)
{
    const auto it = m_chunks.find(command.digest);
    if (it == m_chunks.end()) {
        const Failure failure {ErrorKind::NotFound, "the chunk is not held here"};
        command.link.post(command.stream, FailedMessage {failure, Ran::No});
        return;
    }
    asio::co_spawn(
            m_executor,
            [self = shared_from_this(), bytes = it->second, link = command.link,
             stream = command.stream] { return self->serveChunk(bytes, link, stream); },
            asio::detached);
}

void WeightKeeper::apply(const ManifestRead &command)
{
    const auto it = m_manifests.find(command.manifest);
    if (it == m_manifests.end() || !isComplete(it->second)) {
        command.reply->post(Failure {ErrorKind::NotFound, "the version is not held complete"});
        return;
    }
    command.reply->post(it->second.text());
}

void WeightKeeper::apply(const ChunkRead &command)
{
    const auto it = m_chunks.find(command.chunk);
    if (it == m_chunks.end()) {
        command.reply->post(Failure {ErrorKind::NotFound, "the chunk is not held here"});
        return;
    }
    command.reply->post(it->second);
}

void WeightKeeper::apply(const WeightTick &)
{
    goOn();
}

void WeightKeeper::goOn()
{
    for (const Digest &digest : m_wanted) {
        const auto it = m_manifests.find(digest);
        if (it != m_manifests.end()) {
            fetchMissingChunks(digest, it->second);
        } else if (m_fetching.insert(digest).second) {
            asio::co_spawn(
                    m_executor,
                    [self = shared_from_this(), digest] { return self->fetchManifest(digest); },
                    asio::detached);
        }
    }
    publish();
}

void WeightKeeper::fetchMissingChunks(const Digest &digest, const Manifest &manifest)
{
    for (const Chunk &chunk : manifest.chunks()) {
        if (m_fetching.size() >= maxFetches) {
            return;
        }
        if (m_chunks.contains(chunk.digest) || !m_fetching.insert(chunk.digest).second) {
            continue;
        }
        asio::co_spawn(
                m_executor,
                [self = shared_from_this(), chunk, peer = peerHolding(digest)] {
                    return self->fetchChunk(chunk, peer);
                },
                asio::detached);
    }
}

bool WeightKeeper::isComplete(const Manifest &manifest) const
{
    return std::all_of(manifest.chunks().begin(), manifest.chunks().end(),
                       [this](const Chunk &chunk) { return m_chunks.contains(chunk.digest); });
}

std::optional<Address> WeightKeeper::peerHolding(const Digest &manifest) const
{
    std::vector<Address> holders;
    for (const WeightPeer &peer : m_peers) {
        if (peer.holding.contains(manifest)) {
            holders.push_back(peer.address);
        }
    }
    if (holders.empty()) {
        return std::nullopt;
    }
    return holders[randomNumber() % holders.size()];
}

Awaitable<void> WeightKeeper::fetchManifest(Digest digest)
{
    Outcome<Manifest> manifest = co_await m_sources.readManifest(digest);
    WeightCommand fetched = ManifestFetched {digest, std::move(manifest)};
    co_await m_mailbox->send(std::move(fetched));
}

Awaitable<void> WeightKeeper::fetchChunk(Chunk chunk, std::optional<Address> peer)
{
    Outcome<std::string> read = Failure {};
    if (peer) {
        read = co_await m_sources.readPeer(*peer, chunk);
    } else {
        read = co_await m_sources.readOrigin(chunk);
    }
    Outcome<ChunkBytes> bytes = Failure {};
    if (const Failure *failure = failureOf(read)) {
        bytes = *failure;
    } else if (digestOf(std::get<std::string>(read)) != chunk.digest) {
        bytes = Failure {ErrorKind::CorruptData,
                         "chunk " + chunk.digest.text() + " came corrupted"};
    } else {
        bytes = std::make_shared<const std::string>(std::get<std::string>(std::move(read)));
    }
    WeightCommand fetched = ChunkFetched {chunk, std::move(bytes), !peer.has_value()};
    co_await m_mailbox->send(std::move(fetched));
}

Awaitable<void> WeightKeeper::serveChunk(ChunkBytes bytes, PeerLinkHandle link, StreamId stream)
{
    for (std::size_t at = 0; at < bytes->size(); at += partBytes) {
        const bool isLast = at + partBytes >= bytes->size();
        ChunkPartMessage part {bytes->substr(at, partBytes), isLast};
        if (!co_await link.send(stream, std::move(part))) {
            co_return;
        }
    }
    m_metrics->count("weight_bytes_served_total", "Bytes of weights served to peers", {},
                     static_cast<double>(bytes->size()));
}

void WeightKeeper::dropUnwanted()
{
    std::erase_if(m_manifests,
                  [this](const auto &entry) { return !m_wanted.contains(entry.first); });
    std::set<Digest> needed;
    for (const auto &[digest, manifest] : m_manifests) {
        for (const Chunk &chunk : manifest.chunks()) {
            needed.insert(chunk.digest);
        }
    }
    std::erase_if(m_chunks, [&](const auto &entry) { return !needed.contains(entry.first); });
}

void WeightKeeper::publish()
{
    m_status.holding.clear();
    for (const auto &[digest, manifest] : m_manifests) {
        if (isComplete(manifest)) {
            m_status.holding.insert(digest);
        }
    }
    m_observer(m_status);
}

} // namespace greengageseam
