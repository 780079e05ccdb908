#include "core/routing/backendchoice.h"

#include <algorithm>
#include <cmath>

namespace greengageseam {

namespace {

constexpr double meanShare = 0.02;
/** Half-life of the weight given to the requests of other entries in a report. */
constexpr double reportHalfLifeSeconds = 2.0;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Compares the expected waits behind a number of requests; uses the means if both are known. */
bool isShorter(const BackendLoad &left, double leftRequests, const BackendLoad &right,
               double rightRequests)
{
    const bool areKnown = left.meanSeconds > 0 && right.meanSeconds > 0;
    return (leftRequests + 1) * (areKnown ? left.meanSeconds : 1)
            < (rightRequests + 1) * (areKnown ? right.meanSeconds : 1);
}

bool isShorterOfOwn(const BackendLoad &left, const BackendLoad &right)
{
    return isShorter(left, left.ownInFlight, right, right.ownInFlight);
}

/** @returns the member with the lowest cost; among equals, the first one from a random start */
template <typename Cost>
std::optional<std::size_t> leastCost(const BackendPool &pool, std::uint64_t random, Cost cost)
{
    if (pool.size() == 0) {
        return std::nullopt;
    }
    std::size_t best = random % pool.size();
    auto bestCost = cost(pool.load(best));
    for (std::size_t n = 1; n < pool.size(); ++n) {
        const std::size_t it = (random + n) % pool.size();
        const auto itCost = cost(pool.load(it));
        if (itCost < bestCost) {
            best = it;
            bestCost = itCost;
        }
    }
    return best;
}

/** The paper's residue delay, queue length divided by idle threads; ties by queue length. */
struct ResidueDelay
{
    double delay = 0;
    std::uint32_t queue = 0;

    auto operator<=>(const ResidueDelay &) const = default;
};

ResidueDelay residueDelay(const BackendLoad &load)
{
    const std::uint32_t queue = load.reportedLoad;
    const std::uint32_t idle = load.batch > queue ? load.batch - queue : 0;
    return {idle == 0 ? HUGE_VAL : static_cast<double>(queue) / idle, queue};
}

} // namespace

BackendLoad BackendLoad::finished(double seconds) const
{
    BackendLoad next = *this;
    next.ownInFlight -= next.ownInFlight > 0 ? 1 : 0;
    next.meanSeconds =
            meanSeconds == 0 ? seconds : meanSeconds + meanShare * (seconds - meanSeconds);
    return next;
}

double expectedLoad(const BackendLoad &load, Instant now)
{
    const double others =
            load.reportedLoad > load.ownAtReport ? load.reportedLoad - load.ownAtReport : 0;
    const double age = std::max(0.0, secondsOf(now - load.reportedAt));
    return load.ownInFlight + others * std::exp2(-age / reportHalfLifeSeconds);
}

std::optional<std::size_t> chooseOfTwo(const BackendPool &pool, const ChoiceRandom &random)
{
    const std::size_t n = pool.size();
    if (n == 0) {
        return std::nullopt;
    }
    const std::size_t first = random.first % n;
    if (n == 1) {
        return first;
    }
    const std::size_t second = (first + 1 + random.second % (n - 1)) % n;
    const bool isSecond = isShorter(pool.load(second), expectedLoad(pool.load(second), pool.now()),
                                    pool.load(first), expectedLoad(pool.load(first), pool.now()));
    return isSecond ? second : first;
}

std::optional<std::size_t> chooseLeastConnections(const BackendPool &pool,
                                                  const ChoiceRandom &random)
{
    return leastCost(pool, random.first, [](const BackendLoad &load) {
        return std::max(load.ownInFlight, load.reportedLoad);
    });
}

std::optional<std::size_t> chooseMaximumIdle(const BackendPool &pool, const ChoiceRandom &random)
{
    return leastCost(pool, random.first, residueDelay);
}

ChooseBackend makeTurnAndTwo()
{
    return [turn = std::size_t {0}](
                   const BackendPool &pool,
                   const ChoiceRandom &random) mutable -> std::optional<std::size_t> {
        if (pool.size() == 0) {
            return std::nullopt;
        }
        std::size_t best = turn++ % pool.size();
        for (const std::uint64_t drawn : {random.first, random.second}) {
            const std::size_t it = drawn % pool.size();
            best = isShorterOfOwn(pool.load(it), pool.load(best)) ? it : best;
        }
        return best;
    };
}

ChooseBackend makeRoundRobin()
{
    return [next = std::size_t {0}](const BackendPool &pool,
                                    const ChoiceRandom &) mutable -> std::optional<std::size_t> {
        if (pool.size() == 0) {
            return std::nullopt;
        }
        return next++ % pool.size();
    };
}

} // namespace greengageseam
