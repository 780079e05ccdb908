/**
 * Choice of a version by weight.
 */
#pragma once

#include "core/config/table.h"

#include <cstdint>
#include <functional>

namespace greengageseam {

/** Hook that tells whether any backend server serves a row's version now. */
using IsServed = std::function<bool(const ModelVersion &row)>;

/** A chosen version, or why there is none. */
struct VersionChoice
{
    /** Null if none was chosen; valid as long as the table. */
    const ModelVersion *row = nullptr;
    /** Whether the model has a version with a weight above zero here. */
    bool isOffered = false;

    bool operator==(const VersionChoice &) const = default;
};

/**
 * Chooses a version of a model with a probability in proportion to its weight for this zone and
 * account. Versions that no backend server serves are left out, so that a weight given too early
 * costs no request.
 * @param random a number with all 64 bits random
 */
VersionChoice chooseVersion(const ConfigTable &table, const ModelName &model, const ZoneName &zone,
                            const AccountName &account, const IsServed &isServed,
                            std::uint64_t random);

} // namespace greengageseam
