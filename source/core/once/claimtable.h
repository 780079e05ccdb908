/**
 * Deduplication of calls through claims in the log: which claim of a key came first, and the
 * outcome of its call.
 *
 * A call that must not be repeated is executed only for the first claim of its key, in log order.
 * Every process folds the same records in the same order. Processes may differ in which claims have
 * expired. Each further claim of a key extends the time for which the key is kept, so that two
 * processes never treat different claims as the first unless a full window lies between them.
 */
#pragma once

#include "core/common/common.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace greengageseam {

/** Number of hexadecimal digits in the text form of a ClaimKey. */
constexpr std::size_t claimKeyDigits = 32;

/** Identifies a call that must be executed at most once: 128 bits of a digest. */
struct ClaimKey
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const ClaimKey &) const = default;
};

/** @returns the key as 32 hexadecimal digits */
std::string textOf(const ClaimKey &key);
/** @returns the key, or an empty optional if the text is not 32 hexadecimal digits */
std::optional<ClaimKey> parseClaimKey(std::string_view text);

/** Allows keys in unordered containers; the key is already uniformly distributed. */
struct ClaimKeyHash
{
    std::size_t operator()(const ClaimKey &key) const { return key.low; }
};

/** Position of a claim in its shard of the log. */
struct ClaimPosition
{
    Offset offset;
    /** Index within a record that carries several claims. */
    std::uint32_t index = 0;

    auto operator<=>(const ClaimPosition &) const = default;
};

/** Log record of a claim: a process asks for the right to execute a call. */
struct ClaimCreated
{
    ClaimKey key;
    /** Digest of the request, so that reuse of a key for another request is detected. */
    std::uint64_t fingerprint = 0;
    /** Random number by which the claimant recognizes its own claim when it reads the log. */
    std::uint64_t claimantNonce = 0;

    auto operator<=>(const ClaimCreated &) const = default;
};

/** The response to a call, kept for replay when the caller repeats the call. */
struct StoredResponse
{
    std::int32_t status = 0;
    std::string contentType;
    std::string body;

    auto operator<=>(const StoredResponse &) const = default;
};

/** Log record of the outcome of a claimed call. */
struct ClaimFinished
{
    ClaimKey key;
    /** Executed or Unknown. */
    ExecutionStatus ran = ExecutionStatus::Unknown;
    /** Empty if there was no response, or if it was too large to keep. */
    std::optional<StoredResponse> response;

    auto operator<=>(const ClaimFinished &) const = default;
};

/** Log record by which a claimant releases its claim: it has not executed the call and will not. */
struct ClaimReleased
{
    ClaimKey key;
    ClaimPosition position;

    auto operator<=>(const ClaimReleased &) const = default;
};

/** State of a key; First means that there is no claim of the key yet. */
enum class ClaimPhase { First, InProgress, Finished, OutcomeUnknown, FingerprintMismatch };

/** Result of a lookup: the state of a key and the stored response, if any. */
struct ClaimStatus
{
    ClaimPhase phase = ClaimPhase::First;
    std::optional<StoredResponse> response;

    auto operator<=>(const ClaimStatus &) const = default;
};

/** Bounds on the memory of a claim table. */
struct ClaimTableOptions
{
    /** Deduplication window: how long a key is kept after a claim of it was last read. */
    Duration window = std::chrono::minutes(15);
    /** Number of keys at which no further claims are accepted: 200 per second for the window. */
    std::size_t maxKeys = 180'000;
    /** Total size of the stored response bodies in bytes; the oldest are evicted first. */
    std::size_t maxResponseBytes = 4U * 1024 * 1024;

    ClaimTableOptions withWindow(Duration value) const;
    ClaimTableOptions withMaxResponseBytes(std::size_t value) const;
    auto operator<=>(const ClaimTableOptions &) const = default;
};

/** Folds the claim records of all shards; each step changes the table in place. */
class ClaimTable
{
public:
    explicit ClaimTable(ClaimTableOptions options = {});

    /** Applies a claim. @returns First if its claimant may execute the call */
    ClaimStatus apply(const ClaimCreated &claim, ClaimPosition position, Instant now);
    /** Applies the outcome of a call. */
    void apply(const ClaimFinished &finished, Instant now);
    /** Applies a release; it has no effect if another claim of the key followed. */
    void apply(const ClaimReleased &released, Instant now);

    /** @returns the status that a new claim would get, based on the records read so far */
    ClaimStatus lookup(const ClaimKey &key, std::uint64_t fingerprint, Instant now);

    /** @returns whether the table has reached maxKeys, so that no further claim may be made */
    bool isFull() const { return m_claims.size() >= m_options.maxKeys; }
    /** @returns the number of keys in the table */
    std::size_t size() const { return m_claims.size(); }

private:
    struct Claim
    {
        ClaimPosition first;
        std::uint64_t fingerprint = 0;
        Instant lastReadAt;
        ClaimPhase phase = ClaimPhase::InProgress;
        /** Whether further claims followed the first. */
        bool isContested = false;
    };
    struct ClaimReading
    {
        Instant readAt;
        ClaimKey key;
    };

    ClaimStatus statusOf(const ClaimKey &key, const Claim &claim, std::uint64_t fingerprint) const;
    void expire(Instant now);
    void storeResponse(const ClaimFinished &finished);
    void removeResponse(const ClaimKey &key);

    ClaimTableOptions m_options;
    std::unordered_map<ClaimKey, Claim, ClaimKeyHash> m_claims;
    /** Invariant: contains each key of m_claims with the time of its last read, oldest first. */
    std::deque<ClaimReading> m_readings;
    std::unordered_map<ClaimKey, StoredResponse, ClaimKeyHash> m_responses;
    /** Invariant: contains the keys of m_responses, oldest first, and perhaps removed keys. */
    std::deque<ClaimKey> m_responseOrder;
    /** Invariant: the total size of all bodies in m_responses. */
    std::size_t m_responseBytes = 0;
};

} // namespace greengageseam
