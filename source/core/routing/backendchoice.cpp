#include "core/routing/backendchoice.h"

#include <algorithm>
#include <cmath>

namespace greengageseam {

namespace {

constexpr double meanWeight = 0.02;
/** Half-life of the weight given to the requests of other entries in a report. */
constexpr double reportHalfLifeSeconds = 2.0;

double secondsOf(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

/** Compares the expected waits behind a number of requests; uses the means if both are known. */
bool hasShorterWait(const BackendLoad &left, double leftRequests, const BackendLoad &right,
                    double rightRequests)
{
    const bool areMeansKnown = left.meanSeconds > 0 && right.meanSeconds > 0;
    return (leftRequests + 1) * (areMeansKnown ? left.meanSeconds : 1)
            < (rightRequests + 1) * (areMeansKnown ? right.meanSeconds : 1);
}

bool hasShorterLocalWait(const BackendLoad &left, const BackendLoad &right)
{
    return hasShorterWait(left, left.localInFlight, right, right.localInFlight);
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
        const std::size_t candidate = (random + n) % pool.size();
        const auto candidateCost = cost(pool.load(candidate));
        if (candidateCost < bestCost) {
            best = candidate;
            bestCost = candidateCost;
        }
    }
    return best;
}

/**
 * Residue delay as defined in the paper that backendchoice.h cites: queue length divided by idle
 * threads. Ties are broken by queue length.
 */
struct ResidueDelay
{
    double delay = 0;
    std::uint32_t queue = 0;

    auto operator<=>(const ResidueDelay &) const = default;
};

ResidueDelay residueDelay(const BackendLoad &load)
{
    const std::uint32_t queue = load.reportedLoad;
    const std::uint32_t idle = load.slots > queue ? load.slots - queue : 0;
    return {idle == 0 ? HUGE_VAL : static_cast<double>(queue) / idle, queue};
}

} // namespace

BackendLoad BackendLoad::finished(double seconds) const
{
    BackendLoad next = *this;
    next.localInFlight -= next.localInFlight > 0 ? 1 : 0;
    next.meanSeconds =
            meanSeconds == 0 ? seconds : meanSeconds + meanWeight * (seconds - meanSeconds);
    return next;
}

double expectedLoad(const BackendLoad &load, Instant now)
{
    const double others = load.reportedLoad > load.localInFlightAtReport
            ? load.reportedLoad - load.localInFlightAtReport
            : 0;
    const double age = std::max(0.0, secondsOf(now - load.reportedAt));
    return load.localInFlight + others * std::exp2(-age / reportHalfLifeSeconds);
}

std::optional<std::size_t> choosePowerOfTwo(const BackendPool &pool, const ChoiceRandom &random)
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
    const bool isSecond =
            hasShorterWait(pool.load(second), expectedLoad(pool.load(second), pool.now()),
                           pool.load(first), expectedLoad(pool.load(first), pool.now()));
    return isSecond ? second : first;
}

std::optional<std::size_t> chooseLeastConnections(const BackendPool &pool,
                                                  const ChoiceRandom &random)
{
    return leastCost(pool, random.first, [](const BackendLoad &load) {
        return std::max(load.localInFlight, load.reportedLoad);
    });
}

std::optional<std::size_t> chooseMaximumIdle(const BackendPool &pool, const ChoiceRandom &random)
{
    return leastCost(pool, random.first, residueDelay);
}

ChooseBackend makeRoundRobinWithTwoRandom()
{
    return [nextInOrder = std::size_t {0}](
                   const BackendPool &pool,
                   const ChoiceRandom &random) mutable -> std::optional<std::size_t> {
        if (pool.size() == 0) {
            return std::nullopt;
        }
        std::size_t best = nextInOrder++ % pool.size();
        for (const std::uint64_t drawn : {random.first, random.second}) {
            const std::size_t candidate = drawn % pool.size();
            best = hasShorterLocalWait(pool.load(candidate), pool.load(best)) ? candidate : best;
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
