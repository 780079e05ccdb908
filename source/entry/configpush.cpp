#include "entry/configpush.h"

#include "protocol/configcodec.h"

#include <algorithm>
#include <iterator>

namespace greengageseam {

std::optional<ConfigPushMessage> missingConfig(const ConfigView &config, Offset applied)
{
    const bool isBehind = applied < config.state->applied || applied.value == 0;
    if (!isBehind) {
        return std::nullopt;
    }
    const std::vector<LogRecord> &recent = *config.recentRecords;
    const auto first = std::find_if(recent.begin(), recent.end(), [&](const LogRecord &record) {
        return record.offset > applied;
    });
    ConfigPushMessage push;
    push.logId = config.state->logId;
    if (first == recent.end() || first->offset.value != applied.value + 1) {
        push.snapshot = encodeSnapshot(makeSnapshot(*config.state));
    } else {
        push.firstOffset = first->offset;
        std::transform(first, recent.end(), std::back_inserter(push.records),
                       [](const LogRecord &record) { return record.text; });
    }
    return push;
}

} // namespace greengageseam
