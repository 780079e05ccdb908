/**
 * Property tests of the transfer planner on a simulated network that loses, corrupts and stalls
 * transfers. The reference is a naive planner that reads every chunk from the origin.
 * labels: differential
 */
#include "core/common/hashing.h"
#include "core/weights/weights.h"

#include <catch2/catch.hpp>
#include <deque>
#include <rapidcheck/catch.h>

namespace greengageseam {
namespace {

constexpr auto roundTime = std::chrono::milliseconds(100);
constexpr int faultyRounds = 60;
constexpr int maxRounds = 3000;
/** Simulated networks per RapidCheck case. */
constexpr int worldsPerCase = 10;

/** Randomly drawn parameters of a simulated network. */
struct Case
{
    std::size_t zones = 1;
    std::size_t perZone = 1;
    std::size_t chunks = 1;
    std::uint32_t originCopies = 1;
    /** Probabilities in percent. */
    int loss = 0;
    int corruption = 0;
    int stalls = 0;
    int restarts = 0;
    bool hasStoreZone = false;
    std::uint32_t seed = 0;
};

/** Simulates agents, an origin, and the network between them. One round is 100 ms. */
class World
{
public:
    explicit World(const Case &drawn) : m_case(drawn), m_random(drawn.seed)
    {
        std::vector<Chunk> chunks;
        for (std::size_t i = 0; i < drawn.chunks; ++i) {
            chunks.push_back({digestOf(std::to_string(i) + "." + std::to_string(drawn.seed)), 100});
        }
        m_manifest = Manifest(chunks);
        for (std::size_t n = 0; n < drawn.zones * drawn.perZone; ++n) {
            const InstanceId name("agent" + std::to_string(n));
            m_peers.push_back({name, zoneOf(n), Address("127.0.0.1:" + std::to_string(1000 + n))});
        }
        for (std::size_t n = 0; n < m_peers.size(); ++n) {
            m_planners.push_back(makePlanner(n));
        }
        m_pending.resize(m_peers.size());
        m_verifiedChunks.resize(m_peers.size());
        for (std::size_t n = 0; n < m_peers.size(); ++n) {
            initialize(n);
        }
    }

    /**
     * Runs until all agents have stored the complete version. Faults stop after faultyRounds.
     * @returns whether all agents have stored it within @p rounds
     */
    bool run(int rounds)
    {
        for (int n = 0; n < rounds; ++n) {
            m_isFaulty = n < faultyRounds;
            round();
            if (!m_isFaulty && isDone()) {
                return true;
            }
        }
        return isDone();
    }

    bool isDone() const
    {
        return std::all_of(m_planners.begin(), m_planners.end(), [this](const auto &planner) {
            return planner.completeVersions() == std::set<Digest> {m_manifest.digest()};
        });
    }

    /** Number of successful reads from the origin for each chunk. */
    std::map<Digest, std::size_t> originReads;
    /** Set if an agent announced a chunk that it had not verified. */
    bool isUnverifiedChunkOffered = false;
    bool isFetchedTwiceAtOnce = false;

private:
    struct Pending
    {
        FetchChunk read;
        int dueIn = 0;
        FetchResult result = FetchResult::Verified;
    };

    ZoneName zoneOf(std::size_t n) const
    {
        return ZoneName("zone" + std::to_string(n % m_case.zones));
    }

    TransferPlanner makePlanner(std::size_t n) const
    {
        TransferOptions options;
        options.self = m_peers[n].instance;
        options.zone = m_peers[n].zone;
        options.storeZone = ZoneName(m_case.hasStoreZone ? "zone0" : "");
        return {options, swarmPolicy(), m_now};
    }

    void initialize(std::size_t n)
    {
        VersionPlacement placement;
        for (const WeightPeer &peer : m_peers) {
            if (peer.zone == m_peers[n].zone) {
                placement.members.push_back(peer.instance);
            }
        }
        for (std::size_t zone = 0; zone < m_case.zones; ++zone) {
            placement.zones.push_back(zoneOf(zone));
        }
        std::vector<WeightPeer> others = m_peers;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(n));
        deliver(n, OriginCopiesChanged {m_case.originCopies});
        deliver(n, PeersChanged {others});
        deliver(n, WantedVersionsChanged {{{m_manifest.digest(), placement}}});
    }

    /** Restarts an agent with empty state. */
    void restart(std::size_t n)
    {
        m_planners[n] = makePlanner(n);
        m_pending[n].clear();
        m_verifiedChunks[n].clear();
        for (std::size_t other = 0; other < m_peers.size(); ++other) {
            if (other != n) {
                deliver(other, PeerDisconnected {m_peers[n].instance});
            }
        }
        initialize(n);
    }

    void round()
    {
        m_now += roundTime;
        for (std::size_t n = 0; n < m_peers.size(); ++n) {
            if (m_isFaulty && chance(m_case.restarts)) {
                restart(n);
            }
            finishDueFetches(n);
            announce(n);
            deliver(n, TransferTick {});
        }
    }

    void finishDueFetches(std::size_t n)
    {
        std::deque<Pending> due;
        std::deque<Pending> later;
        for (Pending &pending : m_pending[n]) {
            (--pending.dueIn <= 0 ? due : later).push_back(pending);
        }
        m_pending[n] = later;
        for (const Pending &pending : due) {
            finishFetch(n, pending);
        }
    }

    void finishFetch(std::size_t n, const Pending &pending)
    {
        FetchResult result = pending.result;
        const Digest &chunk = pending.read.chunk.digest;
        if (!pending.read.source.isOrigin()
            && !m_verifiedChunks[indexOf(pending.read.source.peer)].contains(chunk)) {
            result = FetchResult::NotAvailable;
        }
        if (result == FetchResult::Verified) {
            m_verifiedChunks[n].insert(chunk);
            originReads[chunk] += pending.read.source.isOrigin() ? 1 : 0;
        }
        deliver(n, FetchFinished {pending.read.chunk, pending.read.source, result, {}});
    }

    void announce(std::size_t n)
    {
        const ChunkBits bits = m_planners[n].storedChunks(m_manifest.digest());
        for (std::size_t i = 0; i < m_manifest.chunks().size(); ++i) {
            const bool isHeld = m_verifiedChunks[n].contains(m_manifest.chunks()[i].digest);
            isUnverifiedChunkOffered = isUnverifiedChunkOffered || (bits.has(i) && !isHeld);
        }
        for (std::size_t other = 0; other < m_peers.size(); ++other) {
            if (other != n) {
                deliver(other,
                        PeerChunksAnnounced {m_peers[n].instance, m_peers[n].zone,
                                             m_manifest.digest(), bits});
            }
        }
    }

    void deliver(std::size_t n, const TransferEvent &event)
    {
        for (const TransferAction &action : m_planners[n].step(event, m_now)) {
            if (const auto *read = std::get_if<FetchChunk>(&action)) {
                const bool isTwice = std::any_of(
                        m_pending[n].begin(), m_pending[n].end(),
                        [&](const Pending &pending) { return pending.read.chunk == read->chunk; });
                isFetchedTwiceAtOnce = isFetchedTwiceAtOnce || isTwice;
                m_pending[n].push_back(drawOutcome(*read));
            } else if (const auto *manifest = std::get_if<FetchManifest>(&action)) {
                if (m_isFaulty && chance(m_case.loss)) {
                    deliver(n, ManifestFailed {manifest->digest});
                } else {
                    deliver(n, ManifestReceived {manifest->digest, m_manifest});
                }
            }
        }
    }

    Pending drawOutcome(const FetchChunk &read)
    {
        Pending pending {read, 1 + static_cast<int>(m_random() % 3), FetchResult::Verified};
        if (m_isFaulty && chance(m_case.loss)) {
            pending.result = FetchResult::Failed;
        } else if (m_isFaulty && chance(m_case.corruption)) {
            pending.result = FetchResult::Corrupt;
        } else if (m_isFaulty && chance(m_case.stalls)) {
            pending.result = FetchResult::Failed;
            pending.dueIn = static_cast<int>(read.stallTimeout / roundTime);
        }
        return pending;
    }

    std::size_t indexOf(const InstanceId &peer) const
    {
        const auto it = std::find_if(m_peers.begin(), m_peers.end(),
                                     [&](const auto &one) { return one.instance == peer; });
        return static_cast<std::size_t>(it - m_peers.begin());
    }

    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }

    Case m_case;
    std::mt19937 m_random;
    Instant m_now {};
    bool m_isFaulty = true;
    Manifest m_manifest;
    std::vector<WeightPeer> m_peers;
    std::vector<TransferPlanner> m_planners;
    std::vector<std::deque<Pending>> m_pending;
    /** The chunks that each agent has received intact: the reference for its announcements. */
    std::vector<std::set<Digest>> m_verifiedChunks;
};

Case drawCase()
{
    Case drawn;
    drawn.zones = *rc::gen::inRange<std::size_t>(1, 4);
    drawn.perZone = *rc::gen::inRange<std::size_t>(1, 5);
    drawn.chunks = *rc::gen::inRange<std::size_t>(1, 24);
    drawn.originCopies = *rc::gen::inRange<std::uint32_t>(1, 5);
    drawn.hasStoreZone = *rc::gen::arbitrary<bool>();
    drawn.seed = *rc::gen::arbitrary<std::uint32_t>();
    return drawn;
}

class PlannerFixture
{ };

TEST_CASE_METHOD(PlannerFixture, "transferPlanner_anyFaults_allAgentsCompleteTheVersion")
{
    rc::prop("every agent completes the version, like one that reads all chunks from the origin",
             [] {
                 for (int n = 0; n < worldsPerCase; ++n) {
                     Case drawn = drawCase();
                     drawn.loss = *rc::gen::inRange(0, 30);
                     drawn.corruption = *rc::gen::inRange(0, 20);
                     drawn.stalls = *rc::gen::inRange(0, 10);
                     drawn.restarts = *rc::gen::inRange(0, 4);
                     World world(drawn);
                     RC_ASSERT(world.run(maxRounds));
                     RC_ASSERT(!world.isUnverifiedChunkOffered);
                     RC_ASSERT(!world.isFetchedTwiceAtOnce);
                 }
             });
}

TEST_CASE_METHOD(PlannerFixture, "transferPlanner_noFaults_originReadsStayWithinLimit")
{
    rc::prop("no chunk is read from the origin more often than allowed", [] {
        for (int n = 0; n < worldsPerCase; ++n) {
            const Case drawn = drawCase();
            World world(drawn);
            RC_ASSERT(world.run(maxRounds));
            for (const auto &[chunk, reads] : world.originReads) {
                RC_ASSERT(reads >= 1U);
                RC_ASSERT(reads <= drawn.originCopies);
            }
        }
    });
}

} // namespace
} // namespace greengageseam
