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
constexpr std::size_t allPartners = 1000;
constexpr std::size_t noPartners = 0;

std::optional<ChunkSource> originIfUsable(const SourceQuestion &question)
{
    return question.isOriginUsable ? std::optional(ChunkSource {}) : std::nullopt;
}

/** Lets the root read from the origin, and every other agent only from its parent in the tree. */
std::optional<ChunkSource> chooseTreeSource(const SourceQuestion &question)
{
    const auto self = std::find(question.members.begin(), question.members.end(), question.self);
    const auto index = static_cast<std::size_t>(self - question.members.begin());
    if (index == 0) {
        return originIfUsable(question);
    }
    const InstanceId &parent = question.members[(index - 1) / treeChildren];
    const bool isOffered =
            std::any_of(question.candidates.begin(), question.candidates.end(),
                        [&](const SourceCandidate &candidate) { return candidate.peer == parent; });
    return isOffered ? std::optional(ChunkSource {parent}) : std::nullopt;
}

} // namespace

TransferPolicy policyNamed(const std::string &name)
{
    if (name == "naive") {
        return {originIfUsable, noPartners};
    }
    if (name == "tree") {
        return {chooseTreeSource, allPartners};
    }
    return swarmPolicy();
}

int runPolicyAgent(const std::vector<std::string> &words)
{
    const std::vector<std::string> flags(words.begin() + 1, words.end());
    const Environment environment = readEnvironment(environ);
    const Outcome<DaemonSettings> read = settle([&] { return readSettings(flags, environment); });
    if (const Failure *failure = failureOf(read)) {
        std::cerr << failure->detail << "\n";
        return 2;
    }
    const auto &settings = std::get<AgentSettings>(std::get<DaemonSettings>(read).role);
    const Log log(LogLevel::Warning, {{"instance", settings.instance.text()}});
    asio::io_context context(1);
    const auto agent = std::make_shared<Agent>(context.get_executor(), settings, log,
                                               policyNamed(words.front()));
    const Settled started = settle([&]() -> Result<std::monostate> {
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
