#include "core/weights/listsource.h"

#include "core/weights/turns.h"

#include <algorithm>

namespace greengageseam {

namespace {

/** Delay between one entry and the next before they request a list from the origin. */
constexpr auto originStep = std::chrono::milliseconds(400);
/** Delay before a process that is not an entry requests a list from the origin. */
constexpr auto guestPatience = std::chrono::milliseconds(1600);

} // namespace

std::optional<ChunkSource> chooseListSource(const ListQuestion &question)
{
    const std::vector<InstanceId> order =
            choosePartners(InstanceId("list/" + std::to_string(question.version)), question.entries,
                           question.entries.size());
    const auto self = std::find(order.begin(), order.end(), question.self);
    const auto rank = static_cast<std::size_t>(self - order.begin());
    const Duration originAfter =
            self == order.end() ? Duration(guestPatience) : Duration(originStep * rank);
    const bool mayAskOrigin = question.missing >= originAfter;
    const bool isOriginTurn = rank == 0 || question.tries % 2 == 0;
    if (mayAskOrigin && isOriginTurn) {
        return ChunkSource {};
    }
    if (rank == 0) {
        return std::nullopt;
    }
    return ChunkSource {order[question.tries % rank]};
}

} // namespace greengageseam
