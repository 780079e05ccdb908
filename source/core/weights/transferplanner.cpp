#include "core/weights/transferplanner.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr auto minStallTimeout = std::chrono::seconds(2);
constexpr auto maxStallTimeout = std::chrono::seconds(15);
constexpr int stallTimeoutFactor = 4;
constexpr int averagingWindow = 4;
constexpr auto busyCooldown = std::chrono::milliseconds(40);
constexpr auto firstCooldown = std::chrono::milliseconds(250);
constexpr auto corruptCooldown = std::chrono::seconds(10);
constexpr std::uint32_t maxDoublings = 2;
constexpr auto manifestRetryDelay = std::chrono::milliseconds(100);
constexpr auto retentionTime = std::chrono::seconds(30);

Duration cooldownAfter(std::uint32_t failures)
{
    return firstCooldown * (1U << std::min(failures, maxDoublings));
}

} // namespace

TransferPlanner::TransferPlanner(TransferOptions options, TransferPolicy policy, Instant now)
    : m_options(std::move(options)), m_policy(std::move(policy)),
      m_linkLimiter(m_options.linkBytesPerSecond, now),
      m_zoneLinkLimiter(m_options.zoneLinkBytesPerSecond, now)
{ }

std::vector<TransferAction> TransferPlanner::step(const TransferEvent &event, Instant now)
{
    Actions actions;
    std::visit([&](const auto &happened) { apply(happened, now, actions); }, event);
    if (std::holds_alternative<PeerChunksAnnounced>(event)) {
        return actions;
    }
    enforceMemoryLimit();
    planManifests(now, actions);
    for (const Digest &digest : incompleteVersions()) {
        planChunks(digest, m_versions.at(digest), now, actions);
    }
    return actions;
}

const ZoneName &TransferPlanner::storeZone(const VersionPlacement &placement) const
{
    return placement.originZone.isEmpty() ? m_options.storeZone : placement.originZone;
}

std::vector<Digest> TransferPlanner::incompleteVersions() const
{
    std::vector<std::pair<std::uint64_t, Digest>> missing;
    for (const auto &[digest, version] : m_versions) {
        if (version.isWanted && version.missingChunks > 0 && !version.isRefused) {
            missing.emplace_back(version.placement.fetchOrder, digest);
        }
    }
    std::sort(missing.begin(), missing.end());
    std::vector<Digest> digests;
    for (const auto &[order, digest] : missing) {
        digests.push_back(digest);
    }
    return digests;
}

void TransferPlanner::apply(const WantedVersionsChanged &event, Instant now, Actions &actions)
{
    for (auto &[digest, version] : m_versions) {
        if (version.isWanted && !event.versions.contains(digest)) {
            version.isWanted = false;
            version.retainUntil = now + retentionTime;
        }
    }
    for (const auto &[digest, placement] : event.versions) {
        Version &version = m_versions[digest];
        version.isWanted = true;
        if (version.placement != placement) {
            version.placement = placement;
            if (version.manifest) {
                version.assignments = assignChunks(*version.manifest, placement, m_options.self,
                                                   storeZone(placement));
            }
        }
    }
    dropUnneeded(now, actions);
}

void TransferPlanner::apply(const PeersChanged &event, Instant, Actions &)
{
    for (const WeightPeer &peer : event.peers) {
        m_peers[peer.instance].info = peer;
    }
    std::erase_if(m_peers, [&](const auto &entry) {
        const bool isKnown =
                std::any_of(event.peers.begin(), event.peers.end(),
                            [&](const WeightPeer &peer) { return peer.instance == entry.first; });
        return !isKnown && entry.second.bits.empty() && entry.second.outstanding == 0;
    });
}

void TransferPlanner::apply(const OriginCopiesChanged &event, Instant, Actions &)
{
    m_originCopies = std::max(1U, event.copies);
}

void TransferPlanner::apply(const ManifestReceived &event, Instant now, Actions &actions)
{
    const auto it = m_versions.find(event.digest);
    if (it == m_versions.end() || it->second.manifest) {
        return;
    }
    Version &version = it->second;
    version.manifest = event.manifest;
    version.isFetchingManifest = false;
    version.manifestReceivedAt = now;
    version.assignments = assignChunks(event.manifest, version.placement, m_options.self,
                                       storeZone(version.placement));
    const std::vector<Chunk> &chunks = event.manifest.chunks();
    for (std::size_t i = 0; i < chunks.size(); ++i) {
        version.index[chunks[i].digest].push_back(i);
        version.chunkPhases.push_back(phaseOf(chunks[i].digest));
        version.missingChunks += version.chunkPhases.back() == ChunkPhase::Stored ? 0 : 1;
    }
    dropUnneeded(now, actions);
}

void TransferPlanner::apply(const ManifestFailed &event, Instant now, Actions &)
{
    const auto it = m_versions.find(event.digest);
    if (it != m_versions.end()) {
        it->second.isFetchingManifest = false;
        ++it->second.manifestAttempts;
        it->second.nextManifestFetch = now + manifestRetryDelay;
    }
}

void TransferPlanner::apply(const PeerChunksAnnounced &event, Instant, Actions &)
{
    Peer &peer = m_peers[event.peer];
    peer.info.instance = event.peer;
    peer.info.zone = event.zone;
    peer.tieBreak = checksumOf(event.peer.text(), 1);
    peer.bits.insert_or_assign(event.manifest, event.bits);
}

void TransferPlanner::apply(const PeerDisconnected &event, Instant, Actions &)
{
    const auto it = m_peers.find(event.peer);
    if (it != m_peers.end()) {
        it->second.bits.clear();
    }
}

void TransferPlanner::apply(const FetchFinished &event, Instant now, Actions &)
{
    const auto fetch = m_activeFetches.find(event.chunk.digest);
    if (fetch == m_activeFetches.end() || fetch->second.source != event.source) {
        return;
    }
    const Duration elapsed = now - fetch->second.startedAt;
    m_activeFetches.erase(fetch);
    if (event.source.isOrigin()) {
        --m_originFetches;
    } else if (const auto peer = m_peers.find(event.source.peer); peer != m_peers.end()) {
        --peer->second.outstanding;
        peer->second.fetchTime += elapsed;
    }
    if (event.result != FetchResult::Verified) {
        setPhase(event.chunk.digest, ChunkPhase::Missing);
        m_linkLimiter = m_linkLimiter.refunded(event.chunk.size);
        m_zoneLinkLimiter = isInOtherZone(event.source)
                ? m_zoneLinkLimiter.refunded(event.chunk.size)
                : m_zoneLinkLimiter;
        backOffSource(event, now);
        return;
    }
    Duration &average = m_averageChunkTime[isInOtherZone(event.source)];
    average = average == Duration::zero()
            ? elapsed
            : (average * (averagingWindow - 1) + elapsed) / averagingWindow;
    (event.source.isOrigin() ? m_originFailures : m_peers[event.source.peer].failures) = 0;
    m_storedChunks.emplace(event.chunk.digest, event.chunk.size);
    m_storedBytes += event.chunk.size;
    setPhase(event.chunk.digest, ChunkPhase::Stored);
}

void TransferPlanner::apply(const EngineReadStarted &event, Instant now, Actions &)
{
    const auto it = m_versions.find(event.manifest);
    if (it != m_versions.end()) {
        it->second.retainUntil = now + retentionTime;
    }
}

void TransferPlanner::apply(const LiveLoadChanged &event, Instant, Actions &)
{
    m_linkLimiter = m_linkLimiter.throttled(event.isHigh);
    m_zoneLinkLimiter = m_zoneLinkLimiter.throttled(event.isHigh);
}

void TransferPlanner::apply(const TransferTick &, Instant now, Actions &actions)
{
    dropUnneeded(now, actions);
}

void TransferPlanner::startFetch(const Chunk &chunk, const ChunkSource &source, Instant now,
                                 Actions &actions)
{
    m_linkLimiter = m_linkLimiter.consumed(chunk.size);
    if (source.isOrigin()) {
        ++m_originFetches;
    } else {
        ++m_peers.at(source.peer).outstanding;
        m_zoneLinkLimiter =
                isInOtherZone(source) ? m_zoneLinkLimiter.consumed(chunk.size) : m_zoneLinkLimiter;
    }
    m_activeFetches.emplace(chunk.digest, ActiveFetch {chunk, source, now});
    setPhase(chunk.digest, ChunkPhase::Fetching);
    actions.push_back(FetchChunk {chunk, source, stallTimeoutFor(source)});
}

/** Starts a cooldown for a source after a failed fetch; it grows with consecutive failures. */
void TransferPlanner::backOffSource(const FetchFinished &event, Instant now)
{
    if (event.source.isOrigin()) {
        m_originCooldownUntil = now + std::max(event.retryAfter, cooldownAfter(m_originFailures));
        ++m_originFailures;
        return;
    }
    const auto it = m_peers.find(event.source.peer);
    if (it == m_peers.end()) {
        return;
    }
    Peer &peer = it->second;
    if (event.result == FetchResult::Busy) {
        peer.cooldownUntil = now + busyCooldown;
        return;
    }
    if (event.result == FetchResult::NotAvailable) {
        for (auto &[digest, bits] : peer.bits) {
            const auto version = m_versions.find(digest);
            if (version != m_versions.end() && version->second.index.contains(event.chunk.digest)) {
                bits = bits.without(version->second.index.at(event.chunk.digest).front());
            }
        }
        return;
    }
    const Duration cooldown = cooldownAfter(peer.failures);
    const bool isCorrupt = event.result == FetchResult::Corrupt;
    peer.cooldownUntil =
            now + (isCorrupt ? std::max<Duration>(cooldown, corruptCooldown) : cooldown);
    ++peer.failures;
}

void TransferPlanner::setPhase(const Digest &chunk, ChunkPhase phase)
{
    for (auto &[digest, version] : m_versions) {
        const auto it = version.index.find(chunk);
        if (it == version.index.end()) {
            continue;
        }
        for (const std::size_t index : it->second) {
            version.missingChunks -= phase == ChunkPhase::Stored ? 1 : 0;
            version.chunkPhases[index] = phase;
        }
    }
}

TransferPlanner::ChunkPhase TransferPlanner::phaseOf(const Digest &chunk) const
{
    if (m_storedChunks.contains(chunk)) {
        return ChunkPhase::Stored;
    }
    return m_activeFetches.contains(chunk) ? ChunkPhase::Fetching : ChunkPhase::Missing;
}

bool TransferPlanner::isOriginAvailable(Instant now) const
{
    return m_originFetches < m_options.maxOriginFetches && m_originCooldownUntil <= now;
}

bool TransferPlanner::isInOtherZone(const ChunkSource &source) const
{
    const auto it = m_peers.find(source.peer);
    return !source.isOrigin() && it != m_peers.end() && it->second.info.zone != m_options.zone;
}

Duration TransferPlanner::stallTimeoutFor(const ChunkSource &source) const
{
    const auto it = m_averageChunkTime.find(isInOtherZone(source));
    if (it == m_averageChunkTime.end()) {
        return maxStallTimeout;
    }
    return std::clamp<Duration>(it->second * stallTimeoutFactor, minStallTimeout, maxStallTimeout);
}

} // namespace greengageseam
