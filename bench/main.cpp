/**
 * greengageseam-bench: measurements, one JSON line for each case.
 *
 * Usage: greengageseam-bench [<bench> [options]]; without a name all of them run.
 */
#include "policies.h"
#include "rolloutbench.h"

#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <vector>

namespace greengageseam {
namespace {

using Words = std::vector<std::string>;

const std::map<std::string, std::function<int(const Words &)>> &benches()
{
    static const std::map<std::string, std::function<int(const Words &)>> all {
            {"rollout", runRolloutBench},
    };
    return all;
}

int run(const Words &words)
{
    if (!words.empty() && words.front() == "rollout-agent") {
        return runPolicyAgent({words.begin() + 1, words.end()});
    }
    int result = 0;
    for (const auto &[name, bench] : benches()) {
        if (words.empty() || words.front() == name) {
            result = std::max(
                    result, bench(words.empty() ? Words() : Words(words.begin() + 1, words.end())));
        }
    }
    return result;
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
