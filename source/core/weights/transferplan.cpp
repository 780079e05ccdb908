/**
 * The planning part of TransferPlanner: which versions are retained, which fit into memory, and
 * which manifests and chunks are fetched next.
 */
#include "core/common/hashing.h"
#include "core/weights/transferplanner.h"

#include <algorithm>
#include <tuple>

namespace greengageseam {

namespace {

constexpr auto minOwnerTimeout = std::chrono::seconds(2);
constexpr int ownerTimeoutFactor = 2;
/** Agents that own no chunks wait longer before they take over, to avoid crowding the origin. */
constexpr int nonOwnerTimeoutFactor = 2;
/** A fetch time above this indicates that the chunk saturates the link, which is shared. */
constexpr auto slowChunkTime = std::chrono::milliseconds(150);
/** Resolution at which the fetch times of peers are compared. */
constexpr auto fetchTimeStep = std::chrono::milliseconds(40);
constexpr std::uint32_t manifestPeerAttempts = 20;

} // namespace

/**
 * Drops versions that are no longer needed and the chunks that belong to none of the remaining
 * versions, and cancels the fetches of such chunks. A version that is no longer wanted is retained
 * while a pending manifest may share its chunks, and while an engine that was ordered to load the
 * version may still read it.
 */
void TransferPlanner::dropUnneeded(Instant now, Actions &actions)
{
    const bool awaitsManifest =
            std::any_of(m_versions.begin(), m_versions.end(), [](const auto &entry) {
                return entry.second.isWanted && !entry.second.manifest;
            });
    const std::size_t dropped = std::erase_if(m_versions, [&](const auto &entry) {
        const Version &version = entry.second;
        const bool hasAllChunks = version.manifest && version.missingChunks == 0;
        const bool isRetained = hasAllChunks && (awaitsManifest || version.retainUntil > now);
        const bool mayShareChunks = version.manifest && awaitsManifest && version.retainUntil > now;
        return !version.isWanted && !isRetained && !mayShareChunks;
    });
    if (dropped == 0) {
        return;
    }
    const auto isNeeded = [&](const Digest &chunk) {
        return std::any_of(m_versions.begin(), m_versions.end(),
                           [&](const auto &entry) { return entry.second.index.contains(chunk); });
    };
    std::erase_if(m_storedChunks, [&](const auto &entry) {
        if (isNeeded(entry.first)) {
            return false;
        }
        m_storedBytes -= entry.second;
        actions.push_back(DropChunk {entry.first});
        return true;
    });
    std::erase_if(m_activeFetches, [&](const auto &entry) {
        const ActiveFetch &fetch = entry.second;
        if (isNeeded(entry.first)) {
            return false;
        }
        if (fetch.source.isOrigin()) {
            --m_originFetches;
        } else if (const auto it = m_peers.find(fetch.source.peer); it != m_peers.end()) {
            --it->second.outstanding;
        }
        actions.push_back(CancelFetch {entry.first});
        return true;
    });
}

/**
 * Refuses versions that exceed the memory limit. Complete versions are counted first, then
 * incomplete ones in the order of their digests.
 */
void TransferPlanner::enforceMemoryLimit()
{
    if (m_options.memoryBytes == 0) {
        return;
    }
    m_problem.clear();
    std::vector<std::pair<bool, const Digest *>> order;
    for (const auto &[digest, version] : m_versions) {
        if (version.manifest) {
            order.emplace_back(version.missingChunks > 0, &digest);
        }
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    std::set<Digest> chunks;
    std::uint64_t bytes = 0;
    for (const auto &[isMissing, digest] : order) {
        Version &version = m_versions.at(*digest);
        std::uint64_t additionalBytes = 0;
        for (const auto &[chunk, indices] : version.index) {
            additionalBytes +=
                    chunks.contains(chunk) ? 0 : version.manifest->chunks()[indices.front()].size;
        }
        version.isRefused = bytes + additionalBytes > m_options.memoryBytes;
        if (version.isRefused) {
            m_problem = "version " + digest->text() + " needs " + std::to_string(additionalBytes)
                    + " bytes in addition to the " + std::to_string(bytes)
                    + " bytes of other versions; the memory limit is "
                    + std::to_string(m_options.memoryBytes);
            continue;
        }
        bytes += additionalBytes;
        for (const auto &[chunk, indices] : version.index) {
            chunks.insert(chunk);
        }
    }
}

/**
 * Plans the fetches of missing manifests. The zone's owner of a manifest reads it from the origin,
 * and after a failed attempt alternates between its peers and the origin; all other members request
 * it from their peers and fall back to the origin every manifestPeerAttempts attempts.
 */
void TransferPlanner::planManifests(Instant now, Actions &actions)
{
    for (auto &[digest, version] : m_versions) {
        if (!version.isWanted || version.manifest || version.isFetchingManifest
            || now < version.nextManifestFetch) {
            continue;
        }
        const std::vector<InstanceId> owners =
                selectByRendezvous(InstanceId(digest.text()), version.placement.members,
                                   version.placement.members.size());
        ChunkSource source;
        const bool isOwner = owners.empty() || owners.front() == m_options.self;
        const bool readsOrigin = m_options.buildsManifestsLocally || isOwner
                ? m_options.buildsManifestsLocally || version.manifestAttempts % 2 == 0
                : version.manifestAttempts % manifestPeerAttempts == manifestPeerAttempts - 1;
        if (!readsOrigin) {
            const std::size_t n =
                    version.manifestAttempts % std::max<std::size_t>(1, owners.size());
            source.peer = owners.empty() || owners[n] == m_options.self ? InstanceId() : owners[n];
        }
        if (source.isOrigin() && !readsOrigin) {
            ++version.manifestAttempts;
            continue;
        }
        version.isFetchingManifest = true;
        actions.push_back(FetchManifest {digest, source});
    }
}

void TransferPlanner::planChunks(const Digest &digest, Version &version, Instant now,
                                 Actions &actions)
{
    m_linkLimiter = m_linkLimiter.at(now);
    m_zoneLinkLimiter = m_zoneLinkLimiter.at(now);
    recordOwnedChunksTime(version, now);
    if (m_activeFetches.size() >= m_options.maxFetches
        || m_linkLimiter.waitTime() > Duration::zero()) {
        return;
    }
    if (isLinkSlow() && !m_activeFetches.empty()) {
        return;
    }
    for (MissingChunk &missing : missingRarestFirst(digest, version, now)) {
        const bool isAtLimit = m_activeFetches.size() >= m_options.maxFetches
                || (isLinkSlow() && !m_activeFetches.empty());
        if (isAtLimit || m_linkLimiter.waitTime() > Duration::zero()) {
            return;
        }
        const Chunk &chunk = version.manifest->chunks()[missing.index];
        if (version.chunkPhases[missing.index] != ChunkPhase::Missing) {
            continue;
        }
        const SourceQuery query =
                sourceQueryFor(digest, version, missing.index, failoverState(version, now), now);
        if (const std::optional<ChunkSource> source = m_policy.chooseSource(query)) {
            startFetch(chunk, *source, now, actions);
        }
    }
}

/** @returns whether the average fetch is slow, both from this zone and from other zones */
bool TransferPlanner::isLinkSlow() const
{
    return m_options.singleFetchWhenSlow && !m_averageChunkTime.empty()
            && std::all_of(m_averageChunkTime.begin(), m_averageChunkTime.end(),
                           [](const auto &entry) { return entry.second > slowChunkTime; });
}

/**
 * @returns the missing chunks of a version, rarest first; ties are broken pseudo-randomly for each
 *          agent, so that the agents of a zone start with different chunks
 */
std::vector<TransferPlanner::MissingChunk>
TransferPlanner::missingRarestFirst(const Digest &digest, const Version &version, Instant now) const
{
    std::vector<const ChunkBits *> offers;
    for (const auto &[instance, peer] : m_peers) {
        const auto it = peer.bits.find(digest);
        if (it != peer.bits.end() && peer.cooldownUntil <= now) {
            offers.push_back(&it->second);
        }
    }
    std::vector<MissingChunk> result;
    for (std::size_t i = 0; i < version.chunkPhases.size(); ++i) {
        if (version.chunkPhases[i] != ChunkPhase::Missing) {
            continue;
        }
        MissingChunk missing;
        missing.index = i;
        missing.offerCount = static_cast<std::size_t>(std::count_if(
                offers.begin(), offers.end(), [&](const auto *bits) { return bits->has(i); }));
        missing.tieBreak = checksumOf(m_options.self.text(), i);
        result.push_back(std::move(missing));
    }
    std::sort(result.begin(), result.end(),
              [](const MissingChunk &left, const MissingChunk &right) {
                  return std::tie(left.offerCount, left.tieBreak)
                          < std::tie(right.offerCount, right.tieBreak);
              });
    return result;
}

SourceQuery TransferPlanner::sourceQueryFor(const Digest &digest, const Version &version,
                                            std::size_t index, const FailoverState &state,
                                            Instant now) const
{
    const ChunkAssignment &assignment = version.assignments.chunks[index];
    SourceQuery query {m_options.self, version.placement.members, {}, false, false};
    bool isOffered = false;
    for (const auto &[instance, peer] : m_peers) {
        const auto bits = peer.bits.find(digest);
        if (bits == peer.bits.end() || !bits->second.has(index)) {
            continue;
        }
        const bool isOtherZone = peer.info.zone != m_options.zone;
        const bool isUsable = peer.failures == 0 || peer.cooldownUntil <= now;
        isOffered = isOffered || (!isOtherZone && isUsable);
        const bool isAllowed = !isOtherZone
                || (m_zoneLinkLimiter.waitTime() == Duration::zero()
                    && mayReadZone(assignment, m_options.zone, peer.info.zone, state));
        if (isAllowed && peer.cooldownUntil <= now
            && peer.outstanding < m_options.maxFetchesPerPeer) {
            query.candidates.push_back({instance, isOtherZone, peer.outstanding,
                                        static_cast<std::uint64_t>(peer.fetchTime / fetchTimeStep),
                                        checksumOf(m_options.self.text(), index * peer.tieBreak)});
        }
    }
    if (isOffered) {
        std::erase_if(query.candidates,
                      [](const SourceCandidate &candidate) { return candidate.isOtherZone; });
    }
    query.isOriginAllowed = !isOffered && mayReadOrigin(assignment, m_options.zone, state);
    query.isOriginAvailable = isOriginAvailable(now);
    return query;
}

/**
 * Returns how far failover to lower-ranked owners has progressed. An owner times out after
 * TransferOptions::ownerTimeout if it is set. Otherwise the timeout is derived from the time that
 * this agent took for its own chunks, scaled to the member that owns the most chunks; owners do not
 * time out before this agent has fetched its own chunks.
 */
FailoverState TransferPlanner::failoverState(const Version &version, Instant now) const
{
    FailoverState state {m_originCopies, 0};
    Duration timeout = m_options.ownerTimeout;
    if (timeout > Duration::zero() && version.assignments.ownedChunks == 0) {
        timeout *= nonOwnerTimeoutFactor;
    } else if (timeout == Duration::zero()) {
        if (!version.ownedChunksTime) {
            return state;
        }
        const auto ownedChunks = static_cast<Duration::rep>(
                std::max<std::size_t>(1, version.assignments.ownedChunks));
        const auto maxOwnedChunks = static_cast<Duration::rep>(version.assignments.maxOwnedChunks);
        const Duration expectedTime =
                *version.ownedChunksTime / ownedChunks * maxOwnedChunks * ownerTimeoutFactor;
        timeout = std::max<Duration>(minOwnerTimeout, expectedTime);
    }
    state.skippedOwners = static_cast<std::uint32_t>((now - version.manifestReceivedAt) / timeout);
    return state;
}

void TransferPlanner::recordOwnedChunksTime(Version &version, Instant now)
{
    if (version.ownedChunksTime) {
        return;
    }
    for (std::size_t i = 0; i < version.chunkPhases.size(); ++i) {
        if (version.assignments.chunks[i].rank == 0
            && version.chunkPhases[i] != ChunkPhase::Stored) {
            return;
        }
    }
    version.ownedChunksTime = now - version.manifestReceivedAt;
}

} // namespace greengageseam
