/**
 * greengageseam-bench: measurements, one JSON line for each case.
 *
 * Usage: greengageseam-bench [name...]; without a name it runs all.
 */
#include "burstbench.h"
#include "choicebench.h"
#include "configbench.h"
#include "routebench.h"

#include <algorithm>
#include <functional>
#include <iostream>
#include <string>
#include <vector>

namespace {

/** A bench by its name. */
struct Bench
{
    std::string name;
    std::function<bool()> run;
};

} // namespace

int main(int argc, char **argv)
{
    const std::vector<Bench> benches {
            {"burst", greengageseam::runBurstBench},
            {"choice", greengageseam::runChoiceBench},
            {"config", greengageseam::runConfigBench},
            {"route", greengageseam::runRouteBench},
    };
    const std::vector<std::string> wanted(argv + 1, argv + argc);
    for (const std::string &name : wanted) {
        const bool isKnown = std::any_of(benches.begin(), benches.end(),
                                         [&](const Bench &bench) { return bench.name == name; });
        if (!isKnown) {
            std::cerr << "greengageseam-bench: there is no bench '" << name << "'\n";
            return 2;
        }
    }
    bool isFine = true;
    for (const Bench &bench : benches) {
        if (wanted.empty() || std::find(wanted.begin(), wanted.end(), bench.name) != wanted.end()) {
            isFine = bench.run() && isFine;
        }
    }
    return isFine ? 0 : 1;
}
