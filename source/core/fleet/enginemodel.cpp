#include "core/fleet/enginemodel.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Factor by which the prefill of other prompts prolongs a request. */
constexpr double readingStretch = 1.6;
constexpr double msPerSecond = 1000;
constexpr double million = 1e6;

double stepMs(const EngineCosts &costs, double running)
{
    const double context = costs.usualPromptTokens + costs.usualAnswerTokens / 2;
    const double each = costs.perSequenceMs + costs.contextPerThousandMs * context / 1000;
    return costs.stepMs + running * each;
}

} // namespace

double promptMs(const EngineCosts &costs, double tokens)
{
    const double n = tokens > 0 ? tokens : costs.usualPromptTokens;
    if (costs.readTokensPerSecond <= 0) {
        return 0;
    }
    const double pairs = n * n / 2 / million;
    return n / costs.readTokensPerSecond * msPerSecond + pairs * costs.pairsPerMillionMs;
}

double passMs(const EngineCosts &costs, double running)
{
    return std::max(1U, costs.stride) * stepMs(costs, running);
}

double firstEventMs(const EngineCosts &costs, const EngineWork &work, double tokens)
{
    // On average, the pass in progress is half complete when the request arrives.
    const double pass = passMs(costs, work.running);
    return pass / 2 + work.unreadMs + promptMs(costs, tokens) + pass;
}

double placeMs(const EngineCosts &costs)
{
    const double slots = std::max(1U, costs.slots);
    return costs.usualAnswerTokens * stepMs(costs, slots) * readingStretch / slots;
}

} // namespace greengageseam
