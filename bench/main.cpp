/**
 * greengageseam-bench: measurements, one JSON line for each case.
 */
#include "proxybench.h"

#include <functional>
#include <iostream>
#include <map>
#include <string>

namespace greengageseam {
namespace {

/** Runs one bench. @returns the exit code */
using Bench = std::function<int()>;

const std::map<std::string, Bench> &benches()
{
    static const std::map<std::string, Bench> all {{"proxy", runProxyBench}};
    return all;
}

int run(const std::string &wanted)
{
    int code = 0;
    for (const auto &[name, bench] : benches()) {
        if (wanted.empty() || wanted == name) {
            code = std::max(code, bench());
        }
    }
    return code;
}

} // namespace
} // namespace greengageseam

int main(int argc, char **argv)
{
    return greengageseam::run(argc > 1 ? argv[1] : "");
}
