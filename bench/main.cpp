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

using Arguments = std::vector<std::string>;

constexpr int exitUsage = 2;

/** A benchmark and its name. The function returns whether it succeeded. */
struct Bench
{
    std::string name;
    std::function<bool(const Arguments &options)> run;
};

std::vector<Bench> allBenches()
{
    return {
            {"config", [](const Arguments &) { return runConfigBench(); }},
            {"membership", [](const Arguments &) { return runMembershipBench(); }},
            {"choice", [](const Arguments &) { return runChoiceBench(); }},
            {"route", [](const Arguments &) { return runRouteBench(); }},
            {"proxy", [](const Arguments &) { return runProxyBench() == 0; }},
            {"burst", [](const Arguments &) { return runBurstBench(); }},
            {"rollout", [](const Arguments &options) { return runRolloutBench(options) == 0; }},
    };
}

int run(const Arguments &arguments)
{
    const std::string benchName = arguments.empty() ? "" : arguments.front();
    const Arguments options =
            arguments.empty() ? Arguments() : Arguments(arguments.begin() + 1, arguments.end());
    if (benchName == "rollout-agent") {
        return runPolicyAgent(options);
    }
    bool isKnown = false;
    bool hasSucceeded = true;
    for (const Bench &bench : allBenches()) {
        if (benchName.empty() || bench.name == benchName) {
            isKnown = true;
            hasSucceeded = bench.run(options) && hasSucceeded;
        }
    }
    if (!isKnown) {
        std::cerr << "greengageseam-bench: unknown benchmark '" << benchName << "'\n";
        return exitUsage;
    }
    return hasSucceeded ? 0 : 1;
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
