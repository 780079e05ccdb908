/**
 * The caller's `Idempotency-Key`: its form, its age, and the claim that it names.
 */
#pragma once

#include "core/common/common.h"
#include "core/once/claimtable.h"

#include <optional>
#include <string>
#include <string_view>

namespace greengageseam {

/** How long keys are good for. */
struct IdempotencyKeyOptions
{
    /** How long a claim is remembered after it was last seen in the log. */
    Duration window = std::chrono::minutes(15);
    /** How far two clocks of the deployment may be apart. */
    Duration clockSkew = std::chrono::minutes(1);

    auto operator<=>(const IdempotencyKeyOptions &) const = default;
};

/** @returns the time that a UUID of version 7 carries, or nothing for any other key */
std::optional<WallTime> timestampOfKey(std::string_view key);

/**
 * Checks a key that a caller gave.
 * @returns InvalidRequest for a malformed one or one from the future, KeyTooOld for one whose claim
 * the log may have forgotten
 */
Result<void> checkIdempotencyKey(std::string_view key, const IdempotencyKeyOptions &options,
                                 WallTime now);

/** @returns the key of the claim; the same text of another account or service is another key */
ClaimKey makeClaimKey(const AccountName &account, const ServiceName &service, std::string_view key);

} // namespace greengageseam
