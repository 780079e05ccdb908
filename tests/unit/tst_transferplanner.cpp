/**
 * Tests of the transfer planner: failover when an owner of chunks or of the manifest cannot be
 * reached, and the order in which peers and versions are chosen.
 */
#include "core/common/hashing.h"
#include "core/weights/weights.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace greengageseam {
namespace {

using std::chrono::milliseconds;

class TransferPlannerFixture
{
protected:
    TransferPlannerFixture()
    {
        std::vector<Chunk> chunks;
        for (int n = 0; n < 16; ++n) {
            chunks.push_back({digestOf(std::to_string(n)), 1000});
        }
        m_manifest = Manifest(chunks);
        m_options.self = InstanceId("self");
        m_options.zone = ZoneName("a");
        m_options.buildsManifestsLocally = true;
        m_options.ownerTimeout = milliseconds(1200);
    }

    WantedVersionsChanged wanted(const std::vector<std::string> &members) const
    {
        VersionPlacement placement;
        for (const std::string &member : members) {
            placement.members.emplace_back(member);
        }
        placement.zones = {ZoneName("a")};
        return {{{m_manifest.digest(), placement}}};
    }

    /** Finishes all fetches in @p actions successfully, and all that follow from them. */
    static void finishAllFetches(TransferPlanner &planner, std::vector<TransferAction> actions,
                                 Instant now, std::set<Digest> &stored)
    {
        while (!actions.empty()) {
            std::vector<TransferAction> next;
            for (const TransferAction &action : actions) {
                const auto *read = std::get_if<FetchChunk>(&action);
                if (read == nullptr) {
                    continue;
                }
                stored.insert(read->chunk.digest);
                const FetchFinished ended {read->chunk, read->source, FetchResult::Verified};
                const auto more = planner.step(ended, now);
                next.insert(next.end(), more.begin(), more.end());
            }
            actions = std::move(next);
        }
    }

    ChunkBits allChunks() const
    {
        return ChunkBits(std::vector<bool>(m_manifest.chunks().size(), true));
    }

    static std::size_t originReads(const std::vector<TransferAction> &actions)
    {
        return static_cast<std::size_t>(
                std::count_if(actions.begin(), actions.end(), [](const TransferAction &action) {
                    const auto *read = std::get_if<FetchChunk>(&action);
                    return read != nullptr && read->source.isOrigin();
                }));
    }

    Manifest m_manifest;
    TransferOptions m_options;
};

TEST_CASE_METHOD(TransferPlannerFixture, "planner_manifestBuiltLocally_isNotRequestedFromPeers")
{
    for (const std::string other : {"b", "c", "d", "e", "f", "g"}) {
        TransferPlanner planner(m_options, swarmPolicy(), Instant());
        const auto actions = planner.step(wanted({"self", other}), Instant());
        REQUIRE(actions.size() == 1);
        REQUIRE(std::get<FetchManifest>(actions.front()).source.isOrigin());
    }
}

TEST_CASE_METHOD(TransferPlannerFixture, "planner_nonOwnerWhileOwnersRead_doesNotReadFromOrigin")
{
    TransferPlanner planner(m_options, swarmPolicy(), Instant());
    planner.step(wanted({"b", "c"}), Instant());
    planner.step(ManifestReceived {m_manifest.digest(), m_manifest}, Instant());
    for (int ms = 0; ms < 2000; ms += 20) {
        const auto actions = planner.step(TransferTick {}, Instant(milliseconds(ms)));
        REQUIRE(originReads(actions) == 0);
    }
}

TEST_CASE_METHOD(TransferPlannerFixture, "planner_otherOwnerIsSilent_isSkippedAfterTimeout")
{
    TransferPlanner planner(m_options, swarmPolicy(), Instant());
    planner.step(wanted({"self", "b"}), Instant());
    std::set<Digest> stored;
    finishAllFetches(planner,
                     planner.step(ManifestReceived {m_manifest.digest(), m_manifest}, Instant()),
                     Instant(), stored);
    for (int ms = 0; ms < 1300; ms += 20) {
        const Instant now {milliseconds(ms)};
        finishAllFetches(planner, planner.step(TransferTick {}, now), now, stored);
    }
    REQUIRE(stored.size() == m_manifest.chunks().size());
}

TEST_CASE_METHOD(TransferPlannerFixture,
                 "planner_ownersAreSilent_nonOwnerEventuallyReadsFromOrigin")
{
    TransferPlanner planner(m_options, swarmPolicy(), Instant());
    planner.step(wanted({"b"}), Instant());
    planner.step(ManifestReceived {m_manifest.digest(), m_manifest}, Instant());
    std::size_t reads = 0;
    for (int ms = 0; ms < 12'000; ms += 20) {
        reads += originReads(planner.step(TransferTick {}, Instant(milliseconds(ms))));
    }
    REQUIRE(reads > 0);
}

TEST_CASE_METHOD(TransferPlannerFixture, "planner_oneOfTwoPeersIsSlow_mostChunksComeFromTheOther")
{
    m_options.maxFetches = 1;
    TransferPlanner planner(m_options, swarmPolicy(), Instant());
    const std::map<InstanceId, milliseconds> peers {{InstanceId("slow"), milliseconds(280)},
                                                    {InstanceId("quick"), milliseconds(40)}};
    for (const auto &[peer, time] : peers) {
        planner.step(PeerChunksAnnounced {peer, ZoneName("a"), m_manifest.digest(), allChunks()},
                     Instant());
    }
    planner.step(wanted({"slow", "quick"}), Instant());
    auto actions = planner.step(ManifestReceived {m_manifest.digest(), m_manifest}, Instant());
    std::map<InstanceId, int> reads;
    Instant now;
    while (!planner.isDone()) {
        REQUIRE(actions.size() == 1);
        const auto &read = std::get<FetchChunk>(actions.front());
        ++reads[read.source.peer];
        now += peers.at(read.source.peer);
        actions = planner.step(FetchFinished {read.chunk, read.source, FetchResult::Verified}, now);
    }
    REQUIRE(reads[InstanceId("slow")] <= 4);
    REQUIRE(reads[InstanceId("quick")] >= 12);
}

TEST_CASE_METHOD(TransferPlannerFixture,
                 "planner_twoVersionsAreMissing_lowerFetchOrderIsFetchedFirst")
{
    m_options.maxFetches = 4;
    std::vector<Chunk> chunks;
    for (int n = 0; n < 16; ++n) {
        chunks.push_back({digestOf("newer" + std::to_string(n)), 1000});
    }
    const Manifest newer(chunks);
    for (const std::uint64_t order : {1, 3}) {
        TransferPlanner planner(m_options, swarmPolicy(), Instant());
        WantedVersionsChanged both = wanted({"self"});
        both.versions.begin()->second.fetchOrder = 2;
        VersionPlacement placement = both.versions.begin()->second;
        placement.fetchOrder = order;
        both.versions.emplace(newer.digest(), placement);
        planner.step(both, Instant());
        auto actions = planner.step(ManifestReceived {m_manifest.digest(), m_manifest}, Instant());
        for (const TransferAction &action : actions) {
            const auto *read = std::get_if<FetchChunk>(&action);
            planner.step(FetchFinished {read->chunk, read->source, FetchResult::Failed}, Instant());
        }
        planner.step(ManifestReceived {newer.digest(), newer}, Instant());
        actions = planner.step(TransferTick {}, Instant(std::chrono::seconds(10)));
        REQUIRE_FALSE(actions.empty());
        for (const TransferAction &action : actions) {
            const auto &digest = std::get<FetchChunk>(action).chunk.digest;
            const bool isNewer = std::any_of(chunks.begin(), chunks.end(), [&](const Chunk &one) {
                return one.digest == digest;
            });
            REQUIRE(isNewer == (order == 1));
        }
    }
}

} // namespace
} // namespace greengageseam
