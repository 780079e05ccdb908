#include "core/weights/listsource.h"

#include "core/weights/chunkownership.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Delay between one entry and the next before they request a list from the origin. */
constexpr auto originStagger = std::chrono::milliseconds(400);
/** Delay before a process that is not an entry requests a list from the origin. */
constexpr auto nonEntryOriginDelay = std::chrono::milliseconds(1600);

} // namespace

std::optional<ChunkSource> chooseListSource(const ListSourceQuery &query)
{
    const std::vector<InstanceId> order =
            selectByRendezvous(InstanceId("list/" + std::to_string(query.version)), query.entries,
                               query.entries.size());
    const auto self = std::find(order.begin(), order.end(), query.self);
    const auto rank = static_cast<std::size_t>(self - order.begin());
    const Duration originAfter =
            self == order.end() ? Duration(nonEntryOriginDelay) : Duration(originStagger * rank);
    const bool isOriginDelayOver = query.missingFor >= originAfter;
    const bool isOriginAttempt = rank == 0 || query.attempts % 2 == 0;
    if (isOriginDelayOver && isOriginAttempt) {
        return ChunkSource {};
    }
    if (rank == 0) {
        return std::nullopt;
    }
    return ChunkSource {order[query.attempts % rank]};
}

} // namespace greengageseam
