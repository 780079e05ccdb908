/**
 * Choice of a model version by its traffic weight.
 */
#pragma once

#include "core/config/table.h"

#include <cstdint>
#include <functional>

namespace greengageseam {

/** Hook that returns whether any backend server currently serves the version of a row. */
using IsServed = std::function<bool(const ModelVersion &row)>;

/** The chosen version, or the reason why there is none. */
struct VersionChoice
{
    /** Row of the chosen version, valid as long as the table exists; null if none was chosen. */
    const ModelVersion *row = nullptr;
    /** Whether the model has a version with a positive weight for this zone and account. */
    bool isOffered = false;

    bool operator==(const VersionChoice &) const = default;
};

/**
 * Chooses a version of a model with a probability in proportion to its weight for this zone and
 * account. Versions that no backend server serves are skipped, so that a weight set before the
 * version is deployed does not fail requests.
 * @param random 64 random bits
 */
VersionChoice chooseVersion(const ConfigTable &table, const ModelName &model, const ZoneName &zone,
                            const AccountName &account, const IsServed &isServed,
                            std::uint64_t random);

} // namespace greengageseam
