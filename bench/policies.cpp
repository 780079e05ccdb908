#include "policies.h"

#include "agent/agent.h"
#include "daemon/settings.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>
#include <unistd.h>

namespace greengageseam {

namespace {

constexpr std::size_t treeChildren = 2;
constexpr std::size_t allPeers = 1000;
constexpr std::size_t noPeers = 0;

std::optional<ChunkSource> originIfAvailable(const SourceQuery &query)
{
    return query.isOriginAvailable ? std::optional(ChunkSource {}) : std::nullopt;
}

/** Lets the root read from the origin, and every other agent only from its parent in the tree. */
std::optional<ChunkSource> chooseTreeSource(const SourceQuery &query)
{
    const auto self = std::find(query.members.begin(), query.members.end(), query.self);
    const auto index = static_cast<std::size_t>(self - query.members.begin());
    if (index == 0) {
        return originIfAvailable(query);
    }
    const InstanceId &parent = query.members[(index - 1) / treeChildren];
    const bool isOffered =
            std::any_of(query.candidates.begin(), query.candidates.end(),
                        [&](const SourceCandidate &candidate) { return candidate.peer == parent; });
    return isOffered ? std::optional(ChunkSource {parent}) : std::nullopt;
}

} // namespace

TransferPolicy policyFromName(const std::string &name)
{
    if (name == "naive") {
        return {originIfAvailable, noPeers};
    }
    if (name == "tree") {
        return {chooseTreeSource, allPeers};
    }
    return swarmPolicy();
}

int runPolicyAgent(const std::vector<std::string> &arguments)
{
    const std::vector<std::string> flags(arguments.begin() + 1, arguments.end());
    const Environment environment = readEnvironment(environ);
    const Outcome<DaemonSettings> read =
            toOutcome([&] { return readSettings(flags, environment); });
    if (const Failure *failure = failureOf(read)) {
        std::cerr << failure->detail << "\n";
        return 2;
    }
    const auto &settings = std::get<AgentSettings>(std::get<DaemonSettings>(read).role);
    const Log log(LogLevel::Warning, {{"instance", settings.instance.text()}});
    asio::io_context context(1);
    const auto agent = std::make_shared<Agent>(context.get_executor(), settings, log,
                                               policyFromName(arguments.front()));
    const VoidOutcome started = toOutcome([&]() -> Result<std::monostate> {
        BOOST_LEAF_CHECK(agent->start());
        return std::monostate();
    });
    if (failureOf(started) != nullptr) {
        return 2;
    }
    asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](const boost::system::error_code &, int) { context.stop(); });
    context.run();
    return 0;
}

} // namespace greengageseam
