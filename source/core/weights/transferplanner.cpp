#include "core/weights/transferplanner.h"

#include "core/common/hashing.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr auto minPatience = std::chrono::seconds(2);
constexpr auto maxPatience = std::chrono::seconds(15);
constexpr int patienceFactor = 4;
constexpr int rateMemory = 4;
constexpr auto busyPause = std::chrono::milliseconds(40);
constexpr auto firstPause = std::chrono::milliseconds(250);
constexpr auto corruptPause = std::chrono::seconds(10);
constexpr std::uint32_t maxDoublings = 2;
constexpr auto manifestPause = std::chrono::milliseconds(100);
constexpr auto keepTime = std::chrono::seconds(30);

Duration pauseAfter(std::uint32_t failures)
{
    return firstPause * (1U << std::min(failures, maxDoublings));
}

} // namespace

TransferPlanner::TransferPlanner(TransferOptions options, TransferPolicy policy, Instant now)
    : m_options(std::move(options)), m_policy(std::move(policy)),
      m_pace(m_options.linkBytesPerSecond, now), m_zonePace(m_options.zoneLinkBytesPerSecond, now)
{ }

std::vector<TransferAction> TransferPlanner::step(const TransferEvent &event, Instant now)
{
    Actions actions;
    std::visit([&](const auto &one) { apply(one, now, actions); }, event);
    if (std::holds_alternative<PeerHas>(event)) {
        return actions;
    }
    admit();
    planManifests(now, actions);
    for (const Digest &digest : missingInOrder()) {
        planChunks(digest, m_versions.at(digest), now, actions);
    }
    return actions;
}

const ZoneName &TransferPlanner::storeZone(const VersionPlaces &places) const
{
    return places.origin.isEmpty() ? m_options.storeZone : places.origin;
}

std::vector<Digest> TransferPlanner::missingInOrder() const
{
    std::vector<std::pair<std::uint64_t, Digest>> missing;
    for (const auto &[digest, version] : m_versions) {
        if (version.isWanted && version.missing > 0 && !version.isRefused) {
            missing.emplace_back(version.places.order, digest);
        }
    }
    std::sort(missing.begin(), missing.end());
    std::vector<Digest> digests;
    for (const auto &[order, digest] : missing) {
        digests.push_back(digest);
    }
    return digests;
}

void TransferPlanner::apply(const VersionsWanted &event, Instant now, Actions &actions)
{
    for (auto &[digest, version] : m_versions) {
        if (version.isWanted && !event.versions.contains(digest)) {
            version.isWanted = false;
            version.keepUntil = now + keepTime;
        }
    }
    for (const auto &[digest, places] : event.versions) {
        Version &version = m_versions[digest];
        version.isWanted = true;
        if (version.places != places) {
            version.places = places;
            if (version.manifest) {
                version.turns =
                        makeTurns(*version.manifest, places, m_options.self, storeZone(places));
            }
        }
    }
    dropUnneeded(now, actions);
}

void TransferPlanner::apply(const PeersKnown &event, Instant, Actions &)
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

void TransferPlanner::apply(const OriginCopiesSet &event, Instant, Actions &)
{
    m_originCopies = std::max(1U, event.copies);
}

void TransferPlanner::apply(const ManifestKnown &event, Instant now, Actions &actions)
{
    const auto it = m_versions.find(event.digest);
    if (it == m_versions.end() || it->second.manifest) {
        return;
    }
    Version &version = it->second;
    version.manifest = event.manifest;
    version.isManifestRead = false;
    version.since = now;
    version.turns =
            makeTurns(event.manifest, version.places, m_options.self, storeZone(version.places));
    const std::vector<Chunk> &chunks = event.manifest.chunks();
    for (std::size_t i = 0; i < chunks.size(); ++i) {
        version.index[chunks[i].digest].push_back(i);
        version.phases.push_back(phaseOf(chunks[i].digest));
        version.missing += version.phases.back() == ChunkPhase::Held ? 0 : 1;
    }
    dropUnneeded(now, actions);
}

void TransferPlanner::apply(const ManifestFailed &event, Instant now, Actions &)
{
    const auto it = m_versions.find(event.digest);
    if (it != m_versions.end()) {
        it->second.isManifestRead = false;
        ++it->second.manifestTries;
        it->second.manifestAfter = now + manifestPause;
    }
}

void TransferPlanner::apply(const PeerHas &event, Instant, Actions &)
{
    Peer &peer = m_peers[event.peer];
    peer.info.instance = event.peer;
    peer.info.zone = event.zone;
    peer.tieBreak = checksumOf(event.peer.text(), 1);
    peer.bits.insert_or_assign(event.manifest, event.bits);
}

void TransferPlanner::apply(const PeerGone &event, Instant, Actions &)
{
    const auto it = m_peers.find(event.peer);
    if (it != m_peers.end()) {
        it->second.bits.clear();
    }
}

void TransferPlanner::apply(const FetchEnded &event, Instant now, Actions &)
{
    const auto reading = m_reading.find(event.chunk.digest);
    if (reading == m_reading.end() || reading->second.source != event.source) {
        return;
    }
    const Duration took = now - reading->second.since;
    m_reading.erase(reading);
    if (event.source.isOrigin()) {
        --m_originReading;
    } else if (const auto peer = m_peers.find(event.source.peer); peer != m_peers.end()) {
        --peer->second.outstanding;
        peer->second.waited += took;
    }
    if (event.result != FetchResult::Verified) {
        setPhase(event.chunk.digest, ChunkPhase::Missing);
        m_pace = m_pace.returned(event.chunk.size);
        m_zonePace = isFar(event.source) ? m_zonePace.returned(event.chunk.size) : m_zonePace;
        blame(event, now);
        return;
    }
    Duration &usual = m_chunkTime[isFar(event.source)];
    usual = usual == Duration::zero() ? took : (usual * (rateMemory - 1) + took) / rateMemory;
    (event.source.isOrigin() ? m_originFailures : m_peers[event.source.peer].failures) = 0;
    m_held.emplace(event.chunk.digest, event.chunk.size);
    m_heldBytes += event.chunk.size;
    setPhase(event.chunk.digest, ChunkPhase::Held);
}

void TransferPlanner::apply(const EngineReads &event, Instant now, Actions &)
{
    const auto it = m_versions.find(event.manifest);
    if (it != m_versions.end()) {
        it->second.keepUntil = now + keepTime;
    }
}

void TransferPlanner::apply(const LiveLoadSeen &event, Instant, Actions &)
{
    m_pace = m_pace.yielding(event.isHigh);
    m_zonePace = m_zonePace.yielding(event.isHigh);
}

void TransferPlanner::apply(const TimePassed &, Instant now, Actions &actions)
{
    dropUnneeded(now, actions);
}

void TransferPlanner::begin(const Chunk &chunk, const ChunkSource &source, Instant now,
                            Actions &actions)
{
    m_pace = m_pace.taken(chunk.size);
    if (source.isOrigin()) {
        ++m_originReading;
    } else {
        ++m_peers.at(source.peer).outstanding;
        m_zonePace = isFar(source) ? m_zonePace.taken(chunk.size) : m_zonePace;
    }
    m_reading.emplace(chunk.digest, Reading {chunk, source, now});
    setPhase(chunk.digest, ChunkPhase::Reading);
    actions.push_back(ReadChunk {chunk, source, patienceFor(source)});
}

/** Starts a cooldown for a source after a failed fetch; it grows with consecutive failures. */
void TransferPlanner::blame(const FetchEnded &event, Instant now)
{
    if (event.source.isOrigin()) {
        m_originAfter = now + std::max(event.retryAfter, pauseAfter(m_originFailures));
        ++m_originFailures;
        return;
    }
    const auto it = m_peers.find(event.source.peer);
    if (it == m_peers.end()) {
        return;
    }
    Peer &peer = it->second;
    if (event.result == FetchResult::Busy) {
        peer.leftAloneUntil = now + busyPause;
        return;
    }
    if (event.result == FetchResult::NotHeld) {
        for (auto &[digest, bits] : peer.bits) {
            const auto version = m_versions.find(digest);
            if (version != m_versions.end() && version->second.index.contains(event.chunk.digest)) {
                bits = bits.without(version->second.index.at(event.chunk.digest).front());
            }
        }
        return;
    }
    const Duration pause = pauseAfter(peer.failures);
    const bool isCorrupt = event.result == FetchResult::Corrupt;
    peer.leftAloneUntil = now + (isCorrupt ? std::max<Duration>(pause, corruptPause) : pause);
    ++peer.failures;
}

void TransferPlanner::setPhase(const Digest &chunk, ChunkPhase phase)
{
    for (auto &[digest, version] : m_versions) {
        const auto it = version.index.find(chunk);
        if (it == version.index.end()) {
            continue;
        }
        for (const std::size_t at : it->second) {
            version.missing -= phase == ChunkPhase::Held ? 1 : 0;
            version.phases[at] = phase;
        }
    }
}

TransferPlanner::ChunkPhase TransferPlanner::phaseOf(const Digest &chunk) const
{
    if (m_held.contains(chunk)) {
        return ChunkPhase::Held;
    }
    return m_reading.contains(chunk) ? ChunkPhase::Reading : ChunkPhase::Missing;
}

bool TransferPlanner::isOriginUsable(Instant now) const
{
    return m_originReading < m_options.maxOriginFetches && m_originAfter <= now;
}

bool TransferPlanner::isFar(const ChunkSource &source) const
{
    const auto it = m_peers.find(source.peer);
    return !source.isOrigin() && it != m_peers.end() && it->second.info.zone != m_options.zone;
}

Duration TransferPlanner::patienceFor(const ChunkSource &source) const
{
    const auto it = m_chunkTime.find(isFar(source));
    if (it == m_chunkTime.end()) {
        return maxPatience;
    }
    return std::clamp<Duration>(it->second * patienceFactor, minPatience, maxPatience);
}

} // namespace greengageseam
