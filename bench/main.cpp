/**
 * greengageseam-bench: benchmarks, which print one line of JSON for each case.
 *
 * Usage: greengageseam-bench [name [options]]. Without a name, all benchmarks run. The name
 * `rollout-agent` is used internally: the rollout benchmark starts its agents with it.
 */
#include "burstbench.h"
#include "choicebench.h"
#include "configbench.h"
#include "membershipbench.h"
#include "policies.h"
#include "proxybench.h"
#include "rolloutbench.h"
#include "routebench.h"

#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace greengageseam {
namespace {

using Words = std::vector<std::string>;

constexpr int exitUsage = 2;

/** A benchmark and its name. The function returns whether it succeeded. */
struct Bench
{
    std::string name;
    std::function<bool(const Words &options)> run;
};

std::vector<Bench> allBenches()
{
    return {
            {"config", [](const Words &) { return runConfigBench(); }},
            {"membership", [](const Words &) { return runMembershipBench(); }},
            {"choice", [](const Words &) { return runChoiceBench(); }},
            {"route", [](const Words &) { return runRouteBench(); }},
            {"proxy", [](const Words &) { return runProxyBench() == 0; }},
            {"burst", [](const Words &) { return runBurstBench(); }},
            {"rollout", [](const Words &options) { return runRolloutBench(options) == 0; }},
    };
}

int run(const Words &words)
{
    const std::string wanted = words.empty() ? "" : words.front();
    const Words options = words.empty() ? Words() : Words(words.begin() + 1, words.end());
    if (wanted == "rollout-agent") {
        return runPolicyAgent(options);
    }
    bool isKnown = false;
    bool isFine = true;
    for (const Bench &bench : allBenches()) {
        if (wanted.empty() || bench.name == wanted) {
            isKnown = true;
            isFine = bench.run(options) && isFine;
        }
    }
    if (!isKnown) {
        std::cerr << "greengageseam-bench: unknown benchmark '" << wanted << "'\n";
        return exitUsage;
    }
    return isFine ? 0 : 1;
}

} // namespace
} // namespace greengageseam

int main(int argc, char **argv)
{
    try {
        return greengageseam::run({argv + 1, argv + argc});
    } catch (const std::exception &e) {
        std::cerr << "greengageseam-bench: " << e.what() << "\n";
        return 1;
    }
}
