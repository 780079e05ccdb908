#include "rolloutbench.h"

#include "rollout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>

namespace greengageseam {

namespace {

constexpr std::uint64_t megabyte = 1'000'000;

RolloutCase singleZoneCase(const std::string &policy, std::uint32_t originCopies,
                           std::size_t replicas)
{
    RolloutCase rolloutCase;
    rolloutCase.policy = policy;
    rolloutCase.originCopies = originCopies;
    rolloutCase.replicas = replicas;
    rolloutCase.bytes = 32 * megabyte;
    rolloutCase.chunkBytes = 128'000;
    rolloutCase.linkRate = 2 * megabyte;
    rolloutCase.originRate = 4 * rolloutCase.linkRate;
    return rolloutCase;
}

RolloutCase threeZoneCase(const std::string &policy, std::uint32_t originCopies,
                          std::size_t replicas)
{
    RolloutCase rolloutCase = singleZoneCase(policy, originCopies, replicas);
    rolloutCase.zones = 3;
    rolloutCase.bytes = 16 * megabyte;
    rolloutCase.chunkBytes = 64'000;
    rolloutCase.zoneLink = {static_cast<double>(rolloutCase.linkRate) / 10,
                            std::chrono::microseconds(3500), 0.01};
    return rolloutCase;
}

std::vector<RolloutCase> allCases()
{
    std::vector<RolloutCase> cases;
    for (const std::size_t replicas : {4, 16, 48}) {
        cases.push_back(singleZoneCase("swarm", 1, replicas));
        cases.push_back(singleZoneCase("swarm", 4, replicas));
        cases.push_back(singleZoneCase("naive", 1, replicas));
        cases.push_back(singleZoneCase("tree", 1, replicas));
    }
    for (const std::size_t replicas : {6, 12, 48}) {
        cases.push_back(threeZoneCase("swarm", 1, replicas));
        cases.push_back(threeZoneCase("swarm", 4, replicas));
    }
    cases.push_back(threeZoneCase("naive", 1, 6));
    return cases;
}

void runCase(const RolloutCase &rolloutCase)
{
    asio::io_context context(1);
    Rollout rollout(context.get_executor(), rolloutCase);
    asio::co_spawn(context, rollout.run(), [&](const std::exception_ptr &error) {
        context.stop();
        if (error) {
            std::rethrow_exception(error);
        }
    });
    context.run();
}

} // namespace

int runRolloutBench(const std::vector<std::string> &arguments)
{
    bool isQuick = false;
    std::string nameFilter;
    for (const std::string &argument : arguments) {
        isQuick = isQuick || argument == "--quick";
        nameFilter = argument.starts_with("--only=") ? argument.substr(argument.find('=') + 1)
                                                     : nameFilter;
    }
    for (const RolloutCase &rolloutCase : allCases()) {
        const bool isSmall = rolloutCase.replicas <= 6;
        if ((isSmall || !isQuick) && nameOf(rolloutCase).find(nameFilter) != std::string::npos) {
            runCase(rolloutCase);
        }
    }
    return 0;
}

} // namespace greengageseam
