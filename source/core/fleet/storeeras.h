/**
 * Checks the eras that the answers of the platform's store name.
 */
#pragma once

#include "core/common/errors.h"

#include <cstdint>
#include <optional>

namespace greengageseam {

/**
 * The newest era of the store that a process has heard of. An answer of an earlier era was late,
 * and must not be applied. It is modified in place, because it is updated with each answer.
 */
class StoreEras
{
public:
    /**
     * Records the era of an answer.
     * @param era empty if the answer names none; it then belongs to the newest one
     * @returns the era of the answer, or PlatformUnavailable if it is an earlier one
     */
    Outcome<std::uint64_t> accept(std::optional<std::uint64_t> era);

private:
    std::uint64_t m_newest = 0;
};

} // namespace greengageseam
