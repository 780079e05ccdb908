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

constexpr auto minPatience = std::chrono::seconds(2);
constexpr int shareFactor = 2;
/** Agents that own no chunks wait longer before they take over, to avoid crowding the origin. */
constexpr int guestFactor = 2;
/** A fetch time above this indicates that the chunk saturates the link, which is shared. */
constexpr auto slowChunk = std::chrono::milliseconds(150);
/** Resolution at which the fetch times of peers are compared. */
constexpr auto waitedStep = std::chrono::milliseconds(40);
constexpr std::uint32_t manifestPeerTries = 20;

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
        const bool isWhole = version.manifest && version.missing == 0;
        const bool isKept = isWhole && (awaitsManifest || version.keepUntil > now);
        const bool mayShare = version.manifest && awaitsManifest && version.keepUntil > now;
        return !version.isWanted && !isKept && !mayShare;
    });
    if (dropped == 0) {
        return;
    }
    const auto isNeeded = [&](const Digest &chunk) {
        return std::any_of(m_versions.begin(), m_versions.end(),
                           [&](const auto &entry) { return entry.second.index.contains(chunk); });
    };
    std::erase_if(m_held, [&](const auto &entry) {
        if (isNeeded(entry.first)) {
            return false;
        }
        m_heldBytes -= entry.second;
        actions.push_back(DropChunk {entry.first});
        return true;
    });
    std::erase_if(m_reading, [&](const auto &entry) {
        const Reading &reading = entry.second;
        if (isNeeded(entry.first)) {
            return false;
        }
        if (reading.source.isOrigin()) {
            --m_originReading;
        } else if (const auto it = m_peers.find(reading.source.peer); it != m_peers.end()) {
            --it->second.outstanding;
        }
        actions.push_back(StopReading {entry.first});
        return true;
    });
}

/**
 * Refuses versions that exceed the memory limit. Complete versions are counted first, then
 * incomplete ones in the order of their digests.
 */
void TransferPlanner::admit()
{
    if (m_options.memoryBytes == 0) {
        return;
    }
    m_trouble.clear();
    std::vector<std::pair<bool, const Digest *>> order;
    for (const auto &[digest, version] : m_versions) {
        if (version.manifest) {
            order.emplace_back(version.missing > 0, &digest);
        }
    }
    std::stable_sort(order.begin(), order.end(),
                     [](const auto &left, const auto &right) { return left.first < right.first; });
    std::set<Digest> chunks;
    std::uint64_t bytes = 0;
    for (const auto &[isMissing, digest] : order) {
        Version &version = m_versions.at(*digest);
        std::uint64_t more = 0;
        for (const auto &[chunk, at] : version.index) {
            more += chunks.contains(chunk) ? 0 : version.manifest->chunks()[at.front()].size;
        }
        version.isRefused = bytes + more > m_options.memoryBytes;
        if (version.isRefused) {
            m_trouble = "version " + digest->text() + " needs " + std::to_string(more)
                    + " bytes in addition to the " + std::to_string(bytes)
                    + " stored; the memory limit is " + std::to_string(m_options.memoryBytes);
            continue;
        }
        bytes += more;
        for (const auto &[chunk, at] : version.index) {
            chunks.insert(chunk);
        }
    }
}

/**
 * Plans the fetches of missing manifests. The zone's owner of a manifest reads it from the origin;
 * all other members request it from their peers and fall back to the origin every
 * manifestPeerAttempts attempts.
 */
void TransferPlanner::planManifests(Instant now, Actions &actions)
{
    for (auto &[digest, version] : m_versions) {
        if (!version.isWanted || version.manifest || version.isManifestRead
            || now < version.manifestAfter) {
            continue;
        }
        const std::vector<InstanceId> owners = choosePartners(
                InstanceId(digest.text()), version.places.members, version.places.members.size());
        ChunkSource source;
        const bool isOwner = owners.empty() || owners.front() == m_options.self;
        const bool asksOrigin = m_options.makesManifests || isOwner
                ? m_options.makesManifests || version.manifestTries % 2 == 0
                : version.manifestTries % manifestPeerTries == manifestPeerTries - 1;
        if (!asksOrigin) {
            const std::size_t n = version.manifestTries % std::max<std::size_t>(1, owners.size());
            source.peer = owners.empty() || owners[n] == m_options.self ? InstanceId() : owners[n];
        }
        if (source.isOrigin() && !asksOrigin) {
            ++version.manifestTries;
            continue;
        }
        version.isManifestRead = true;
        actions.push_back(ReadManifest {digest, source});
    }
}

void TransferPlanner::planChunks(const Digest &digest, Version &version, Instant now,
                                 Actions &actions)
{
    m_pace = m_pace.at(now);
    m_zonePace = m_zonePace.at(now);
    noteShare(version, now);
    if (m_reading.size() >= m_options.maxFetches || m_pace.wait() > Duration::zero()) {
        return;
    }
    if (isLinkSlow() && !m_reading.empty()) {
        return;
    }
    for (Wish &wish : wishes(digest, version, now)) {
        const bool isFull =
                m_reading.size() >= m_options.maxFetches || (isLinkSlow() && !m_reading.empty());
        if (isFull || m_pace.wait() > Duration::zero()) {
            return;
        }
        const Chunk &chunk = version.manifest->chunks()[wish.index];
        if (version.phases[wish.index] != ChunkPhase::Missing) {
            continue;
        }
        const SourceQuestion question =
                questionFor(digest, version, wish.index, turnState(version, now), now);
        if (const std::optional<ChunkSource> source = m_policy.choose(question)) {
            begin(chunk, *source, now, actions);
        }
    }
}

/** @returns whether recent fetches were slow from all kinds of sources */
bool TransferPlanner::isLinkSlow() const
{
    return m_options.yieldsWhenSlow && !m_chunkTime.empty()
            && std::all_of(m_chunkTime.begin(), m_chunkTime.end(),
                           [](const auto &entry) { return entry.second > slowChunk; });
}

/**
 * @returns the missing chunks of a version, rarest first; ties are broken pseudo-randomly for each
 *          agent, so that the agents of a zone start with different chunks
 */
std::vector<TransferPlanner::Wish>
TransferPlanner::wishes(const Digest &digest, const Version &version, Instant now) const
{
    std::vector<const ChunkBits *> offers;
    for (const auto &[instance, peer] : m_peers) {
        const auto it = peer.bits.find(digest);
        if (it != peer.bits.end() && peer.leftAloneUntil <= now) {
            offers.push_back(&it->second);
        }
    }
    std::vector<Wish> wishes;
    for (std::size_t i = 0; i < version.phases.size(); ++i) {
        if (version.phases[i] != ChunkPhase::Missing) {
            continue;
        }
        Wish wish;
        wish.index = i;
        wish.offers = static_cast<std::size_t>(std::count_if(
                offers.begin(), offers.end(), [&](const auto *bits) { return bits->has(i); }));
        wish.tieBreak = checksumOf(m_options.self.text(), i);
        wishes.push_back(std::move(wish));
    }
    std::sort(wishes.begin(), wishes.end(), [](const Wish &left, const Wish &right) {
        return std::tie(left.offers, left.tieBreak) < std::tie(right.offers, right.tieBreak);
    });
    return wishes;
}

SourceQuestion TransferPlanner::questionFor(const Digest &digest, const Version &version,
                                            std::size_t index, const TurnState &state,
                                            Instant now) const
{
    const ChunkTurn &turn = version.turns.turns[index];
    SourceQuestion question {m_options.self, version.places.members, {}, false, false};
    bool isOffered = false;
    for (const auto &[instance, peer] : m_peers) {
        const auto bits = peer.bits.find(digest);
        if (bits == peer.bits.end() || !bits->second.has(index)) {
            continue;
        }
        const bool isPeerFar = peer.info.zone != m_options.zone;
        const bool isTrusted = peer.failures == 0 || peer.leftAloneUntil <= now;
        isOffered = isOffered || (!isPeerFar && isTrusted);
        const bool isAllowed = !isPeerFar
                || (m_zonePace.wait() == Duration::zero()
                    && mayReadZone(turn, m_options.zone, peer.info.zone, state));
        if (isAllowed && peer.leftAloneUntil <= now
            && peer.outstanding < m_options.maxFetchesPerPeer) {
            question.candidates.push_back(
                    {instance, isPeerFar, peer.outstanding,
                     static_cast<std::uint64_t>(peer.waited / waitedStep),
                     checksumOf(m_options.self.text(), index * peer.tieBreak)});
        }
    }
    if (isOffered) {
        std::erase_if(question.candidates,
                      [](const SourceCandidate &candidate) { return candidate.isFar; });
    }
    question.isOriginTurn = !isOffered && mayReadOrigin(turn, m_options.zone, state);
    question.isOriginUsable = isOriginUsable(now);
    return question;
}

/**
 * Returns how far failover to lower-ranked owners has progressed. An owner times out after
 * TransferOptions::ownerTimeout if it is set. Otherwise the timeout is derived from the time that
 * this agent took for its own chunks, scaled to the member that owns the most chunks; owners do not
 * time out before this agent has fetched its own chunks.
 */
TurnState TransferPlanner::turnState(const Version &version, Instant now) const
{
    TurnState state {m_originCopies, 0};
    Duration patience = m_options.ownerPatience;
    if (patience > Duration::zero() && version.turns.ownShare == 0) {
        patience *= guestFactor;
    } else if (patience == Duration::zero()) {
        if (!version.shareTook) {
            return state;
        }
        const auto ownShare =
                static_cast<Duration::rep>(std::max<std::size_t>(1, version.turns.ownShare));
        const auto most = static_cast<Duration::rep>(version.turns.largestShare);
        const Duration wholeShare = *version.shareTook / ownShare * most * shareFactor;
        patience = std::max<Duration>(minPatience, wholeShare);
    }
    state.passes = static_cast<std::uint32_t>((now - version.since) / patience);
    return state;
}

void TransferPlanner::noteShare(Version &version, Instant now)
{
    if (version.shareTook) {
        return;
    }
    for (std::size_t i = 0; i < version.phases.size(); ++i) {
        if (version.turns.turns[i].rank == 0 && version.phases[i] != ChunkPhase::Held) {
            return;
        }
    }
    version.shareTook = now - version.since;
}

} // namespace greengageseam
