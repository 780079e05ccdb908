/**
 * The caller's `Idempotency-Key` header: its format, its age, and the claim that it identifies.
 */
#pragma once

#include "core/common/common.h"
#include "core/once/claimtable.h"

#include <optional>
#include <string>
#include <string_view>

namespace greengageseam {

/** Limits on the age of idempotency keys. */
struct IdempotencyKeyOptions
{
    /** Deduplication window: how long a claim is kept after it was last read from the log. */
    Duration window = std::chrono::minutes(15);
    /** Maximum clock skew between two machines of the deployment. */
    Duration clockSkew = std::chrono::minutes(1);

    auto operator<=>(const IdempotencyKeyOptions &) const = default;
};

/** @returns the timestamp of a UUID of version 7, or an empty optional for any other key */
std::optional<WallTime> timestampOfKey(std::string_view key);

/**
 * Checks an idempotency key from a caller.
 * @returns InvalidRequest if the key is malformed or its timestamp is in the future, KeyTooOld if
 * the deduplication window may have passed, so that its claim may no longer be known
 */
Result<void> checkIdempotencyKey(std::string_view key, const IdempotencyKeyOptions &options,
                                 WallTime now);

/** @returns the key of the claim; idempotency keys are scoped to an account and a service */
ClaimKey makeClaimKey(const AccountName &account, const ServiceName &service, std::string_view key);

} // namespace greengageseam
