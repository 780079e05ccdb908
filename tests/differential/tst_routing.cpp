/**
 * Compares the choice of versions and backend servers with naive reference models that scan all
 * data for each choice.
 */
#include "core/routing/routing.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace greengageseam {
namespace {

const ModelName model("drafts");
const ZoneName zone("fyn");
const AccountName account("caps");

/** A table with versions of one model, and the manifests of those that are served. */
struct VersionSetup
{
    ConfigTable table;
    std::set<Digest> served;
};

VersionSetup generateVersions()
{
    VersionSetup simulation;
    const auto rows = *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(rc::gen::tuple(
            rc::gen::inRange(0, 4), rc::gen::inRange(-1, 4), rc::gen::arbitrary<bool>()));
    for (std::size_t n = 0; n < rows.size(); ++n) {
        const auto &[zoneWeight, accountWeight, isServed] = rows[n];
        ModelVersion row;
        row.key = {model, VersionName("v" + std::to_string(n))};
        row.manifest = Digest("m" + std::to_string(n));
        row.zoneWeights[zone] = static_cast<Weight>(zoneWeight);
        if (accountWeight >= 0) {
            row.accountWeights[account] = static_cast<Weight>(accountWeight);
        }
        if (isServed) {
            simulation.served.insert(row.manifest);
        }
        simulation.table.modelVersions.emplace(row.key, row);
    }
    ModelVersion other;
    other.key = {ModelName("other"), VersionName("v1")};
    other.zoneWeights[zone] = 7;
    simulation.table.modelVersions.emplace(other.key, other);
    return simulation;
}

TEST_CASE("versionChoice_everyRandomNumber_choosesInProportionToTheWeights")
{
    rc::prop("over all remainders, each version is chosen as often as its weight", [] {
        const VersionSetup simulation = generateVersions();
        std::map<std::string, std::uint64_t> expected;
        std::uint64_t total = 0;
        for (const auto &[key, row] : simulation.table.modelVersions) {
            const auto own = row.accountWeights.find(account);
            const Weight weight =
                    own != row.accountWeights.end() ? own->second : row.zoneWeights.at(zone);
            if (key.model == model && weight > 0 && simulation.served.contains(row.manifest)) {
                expected[key.version.text()] = weight;
                total += weight;
            }
        }
        std::map<std::string, std::uint64_t> drawn;
        for (std::uint64_t random = 0; random < std::max<std::uint64_t>(total, 1); ++random) {
            const VersionChoice choice = chooseVersion(
                    simulation.table, model, zone, account,
                    [&](const ModelVersion &row) {
                        return simulation.served.contains(row.manifest);
                    },
                    random);
            if (choice.row != nullptr) {
                ++drawn[choice.row->key.version.text()];
            }
        }
        RC_ASSERT(drawn == expected);
    });
}

/** Reference model of one backend server. */
struct ReferenceBackend
{
    BackendReport report;
    std::uint32_t own = 0;
    BackendHealth health;
    ConcurrencyLimit limit;
};

/** Runs the index together with a reference model that scans a list for each query. */
class IndexSimulation
{
public:
    void update(const std::vector<std::pair<int, int>> &drawn)
    {
        std::map<InstanceId, ReferenceBackend> before = m_reference;
        std::vector<BackendReport> reports;
        m_reference.clear();
        for (const auto &[number, serves] : drawn) {
            BackendReport report {InstanceId("a" + std::to_string(number)), {}, 0, ++m_sequence};
            for (int n = 0; n < 2; ++n) {
                if ((serves >> n & 1) != 0) {
                    report.serves.push_back(key(n));
                }
            }
            if (m_reference.contains(report.instance)) {
                continue;
            }
            reports.push_back(report);
            ReferenceBackend backend = before[report.instance];
            backend.report = report;
            m_reference.emplace(report.instance, backend);
            before.erase(report.instance);
        }
        for (auto &[id, backend] : before) {
            if (backend.own > 0 || !backend.health.hasNoFailureHistory()) {
                backend.report.serves.clear();
                m_reference.emplace(id, backend);
            }
        }
        m_reports = reports;
        m_index.update(reports, m_now);
    }

    void acquire(int pool, int tried, std::uint64_t random)
    {
        const std::set<InstanceId> excluded {InstanceId("a" + std::to_string(tried))};
        std::set<InstanceId> allowed = allowedOf(pool);
        RC_ASSERT(m_index.hasCapacity(key(pool), m_now) == !allowed.empty());
        allowed.erase(*excluded.begin());
        const auto chosen = m_index.acquire(key(pool), excluded, {random, random / 3}, m_now);
        RC_ASSERT(chosen.has_value() == !allowed.empty());
        if (chosen) {
            const InstanceId &instance = m_reports[*chosen].instance;
            RC_ASSERT(allowed.contains(instance));
            ++m_reference[instance].own;
            RC_ASSERT(m_index.inFlight(instance) == m_reference[instance].own);
        }
    }

    void finish(int number, int verdict)
    {
        const InstanceId instance("a" + std::to_string(number));
        const auto it = m_reference.find(instance);
        if (it == m_reference.end() || it->second.own == 0) {
            return;
        }
        ReferenceBackend &backend = it->second;
        const auto kind = static_cast<AttemptVerdict>(verdict);
        m_index.finished(instance, kind, 0.1, m_now);
        if (kind == AttemptVerdict::Answered) {
            backend.health = backend.health.succeeded({});
            backend.limit = backend.limit.answered(backend.own);
        } else if (kind == AttemptVerdict::Full) {
            backend.limit = backend.limit.rejected(backend.own);
        } else if (kind == AttemptVerdict::Failed) {
            backend.health = backend.health.failed(m_now, {});
        }
        --backend.own;
    }

    void advanceTime(int milliseconds)
    {
        m_now += std::chrono::milliseconds(milliseconds);
        for (auto &[id, backend] : m_reference) {
            backend.health = backend.health.at(m_now);
        }
    }

private:
    static PoolKey key(int n) { return {Digest("m" + std::to_string(n)), ServiceName()}; }

    std::set<InstanceId> allowedOf(int pool) const
    {
        std::set<InstanceId> open;
        std::set<InstanceId> ejected;
        std::size_t members = 0;
        for (const auto &[id, backend] : m_reference) {
            const auto &serves = backend.report.serves;
            if (std::find(serves.begin(), serves.end(), key(pool)) == serves.end()) {
                continue;
            }
            ++members;
            if (backend.health.isEjected()) {
                ejected.insert(id);
            } else if (backend.own
                       < std::min(backend.limit.current(), backend.health.allowedInFlight())) {
                open.insert(id);
            }
        }
        return ejected.size() == members ? ejected : open;
    }

    Instant m_now {std::chrono::hours(1)};
    std::uint64_t m_sequence = 0;
    std::vector<BackendReport> m_reports;
    std::map<InstanceId, ReferenceBackend> m_reference;
    BackendIndex m_index {makeRoundRobinWithTwoRandom()};
};

TEST_CASE("backendIndex_anyEvents_choosesOnlyWhatTheReferenceModelAllows")
{
    rc::prop("the index and the reference model agree on which backend servers have capacity", [] {
        IndexSimulation simulation;
        const auto events = *rc::gen::container<std::vector<std::tuple<int, int, int>>>(
                rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, 8),
                               rc::gen::inRange(0, 3000)));
        simulation.update({{0, 1}, {1, 3}, {2, 2}, {3, 3}});
        for (const auto &[kind, number, amount] : events) {
            if (kind == 0) {
                simulation.update({{number, amount & 3}, {(number + 1) % 8, 1}, {amount % 8, 3}});
            } else if (kind == 1) {
                simulation.advanceTime(amount);
            } else if (kind < 7) {
                simulation.acquire(amount % 2, number, static_cast<std::uint64_t>(amount) * 7919);
            } else {
                simulation.finish(number, amount % 4);
            }
        }
    });
}

TEST_CASE("policies_anyPool_chooseAMemberAndTheScanningOnesTheLeastLoaded")
{
    rc::prop("each policy chooses a member; the scanning ones choose the least loaded", [] {
        const auto drawn = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 9)));
        std::vector<BackendLoad> loads;
        std::vector<std::uint32_t> members;
        for (const auto &[own, reported] : drawn) {
            members.push_back(static_cast<std::uint32_t>(loads.size()));
            loads.push_back({static_cast<std::uint32_t>(own), 0,
                             static_cast<std::uint32_t>(reported), 10, Instant(), 0.5});
        }
        const BackendPool pool(members, loads, Instant());
        const ChoiceRandom random {*rc::gen::arbitrary<std::uint64_t>(), 11};
        for (const ChooseBackend &choose :
             {ChooseBackend(choosePowerOfTwo), makeRoundRobinWithTwoRandom(), makeRoundRobin()}) {
            const auto chosen = choose(pool, random);
            RC_ASSERT(chosen.has_value() == !members.empty());
            RC_ASSERT(!chosen || *chosen < members.size());
        }
        if (members.empty()) {
            return;
        }
        const auto least = std::min_element(drawn.begin(), drawn.end(), [](auto left, auto right) {
            return std::max(left.first, left.second) < std::max(right.first, right.second);
        });
        const auto &byConnections = drawn[*chooseLeastConnections(pool, random)];
        RC_ASSERT(std::max(byConnections.first, byConnections.second)
                  == std::max(least->first, least->second));
        const auto idlest = std::min_element(drawn.begin(), drawn.end(), [](auto left, auto right) {
            return left.second * (10 - right.second) < right.second * (10 - left.second);
        });
        RC_ASSERT(drawn[*chooseMaximumIdle(pool, random)].second == idlest->second);
    });
}

TEST_CASE("backendHealth_recoveryAfterEjection_isInSteps")
{
    const HealthOptions options;
    BackendHealth health;
    for (std::uint32_t n = 0; n < options.consecutiveFailures; ++n) {
        health = health.failed(Instant(), options);
    }
    REQUIRE(health.allowedInFlight() == 0);
    health = health.at(Instant(options.baseEjectionTime));
    REQUIRE(health.allowedInFlight() == 1);
    REQUIRE(health.succeeded(options).allowedInFlight() == 2);
    REQUIRE(health.succeeded(options).succeeded(options).allowedInFlight() == 4);
    REQUIRE(health.failed(Instant(), options).allowedInFlight() == 0);
}

} // namespace
} // namespace greengageseam
