/**
 * Compares the attempt registry with a reference that evicts nothing.
 * labels: differential promise-3
 */
#include "core/once/once.h"

#include <catch2/catch.hpp>
#include <map>
#include <rapidcheck.h>
#include <set>

namespace greengageseam {
namespace {

constexpr int retention = 100;
constexpr std::size_t capacity = 6;

Instant at(std::int64_t microseconds)
{
    return Instant(Duration(microseconds));
}

/** One step of a random history. */
struct Step
{
    int kind = 0;
    int attempt = 0;
    int pause = 0;
};

rc::Gen<Step> steps()
{
    return rc::gen::build<Step>(
            rc::gen::set(&Step::kind, rc::gen::inRange(0, 3)),
            rc::gen::set(&Step::attempt, rc::gen::inRange(0, 24)),
            rc::gen::set(&Step::pause, rc::gen::weightedElement<int>({{6, 3}, {2, 30}, {1, 120}})));
}

/** What actually happened to an attempt; never evicted. */
struct ActualState
{
    bool hasRun = false;
    bool wasPromisedNotToRun = false;
    std::int64_t stamp = 0;
};

/** Applies the same history to a registry and to the unbounded reference. */
class AttemptRegistryFixture
{
protected:
    static void compare(const std::vector<Step> &history)
    {
        AttemptRegistry registry(
                AttemptRegistryOptions().withRetention(Duration(retention)).withCapacity(capacity));
        std::map<int, ActualState> actualStates;
        std::size_t running = 0;
        std::set<int> runningAttempts;
        std::int64_t now = 1;
        for (const Step &step : history) {
            now += step.pause;
            // The timestamp is the agent's clock at the time when the attempt is created.
            const auto [it, isNew] =
                    actualStates.try_emplace(step.attempt, ActualState {false, false, now});
            ActualState &actual = it->second;
            const AttemptId attempt(std::to_string(step.attempt));
            if (step.kind == 0) {
                const StartResult verdict = registry.start(attempt, at(actual.stamp), at(now));
                if (verdict == StartResult::Start) {
                    RC_ASSERT(!actual.hasRun && !actual.wasPromisedNotToRun);
                    actual.hasRun = true;
                    runningAttempts.insert(step.attempt);
                    ++running;
                } else {
                    RC_ASSERT(!isNew);
                }
            } else if (step.kind == 1) {
                running -= runningAttempts.erase(step.attempt);
                registry.finish(attempt, at(now));
            } else {
                const AttemptPhase phase = registry.cancel(attempt, at(actual.stamp), at(now));
                if (phase == AttemptPhase::Unseen || phase == AttemptPhase::Tombstone) {
                    RC_ASSERT(!actual.hasRun);
                    actual.wasPromisedNotToRun = true;
                } else {
                    RC_ASSERT(!isNew);
                }
            }
            RC_ASSERT(registry.runningCount() == running);
            RC_ASSERT(registry.size() <= running + capacity);
        }
    }
};

TEST_CASE_METHOD(AttemptRegistryFixture, "attemptRegistry_randomHistory_keepsItsGuarantees")
{
    const bool holds = rc::check([] {
        const auto length = *rc::gen::inRange(1, 80);
        compare(*rc::gen::container<std::vector<Step>>(length, steps()));
    });
    REQUIRE(holds);
}

} // namespace
} // namespace greengageseam
