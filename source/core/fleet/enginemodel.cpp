#include "core/fleet/enginemodel.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Factor by which the prefill of other prompts prolongs a request. */
constexpr double prefillSlowdown = 1.6;
constexpr double msPerSecond = 1000;
constexpr double million = 1e6;

double decodeStepMs(const EngineCosts &costs, double running)
{
    const double context = costs.typicalPromptTokens + costs.typicalOutputTokens / 2;
    const double perSequence =
            costs.perSequenceMs + costs.contextMsPerThousandTokens * context / 1000;
    return costs.stepMs + running * perSequence;
}

} // namespace

double prefillMs(const EngineCosts &costs, double tokens)
{
    const double promptTokens = tokens > 0 ? tokens : costs.typicalPromptTokens;
    if (costs.prefillTokensPerSecond <= 0) {
        return 0;
    }
    const double pairs = promptTokens * promptTokens / 2 / million;
    return promptTokens / costs.prefillTokensPerSecond * msPerSecond
            + pairs * costs.attentionMsPerMillionPairs;
}

double decodePassMs(const EngineCosts &costs, double running)
{
    return std::max(1U, costs.stepsPerPass) * decodeStepMs(costs, running);
}

double timeToFirstTokenMs(const EngineCosts &costs, const EngineWorkload &workload, double tokens)
{
    // On average, the pass in progress is half complete when the request arrives.
    const double pass = decodePassMs(costs, workload.running);
    return pass / 2 + workload.pendingPrefillMs + prefillMs(costs, tokens) + pass;
}

double engineSlotReleaseMs(const EngineCosts &costs)
{
    const double slots = std::max(1U, costs.slots);
    return costs.typicalOutputTokens * decodeStepMs(costs, slots) * prefillSlowdown / slots;
}

} // namespace greengageseam
