/**
 * What one process knows of the claims in the log: who was first, and how it went.
 *
 * A call that must not be repeated runs only for the first claim of its key in the order of the
 * log. Every process folds the same records in the same order. They may differ in what they have
 * forgotten; a claim that is read again extends the memory of its key, so that two processes never
 * take two claims for the first unless a whole window lies between them.
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

/** Hexadecimal digits of a claim's key as text. */
constexpr std::size_t claimKeyDigits = 32;

/** Names a call that must run at most once: 128 bits of a digest. */
struct ClaimKey
{
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    auto operator<=>(const ClaimKey &) const = default;
};

/** @returns the key as 32 hexadecimal digits */
std::string textOf(const ClaimKey &key);
/** @returns the key that the text names, or nothing */
std::optional<ClaimKey> parseClaimKey(std::string_view text);

/** Lets keys be kept in unordered containers. */
struct ClaimKeyHash
{
    std::size_t operator()(const ClaimKey &key) const { return key.low; }
};

/** Place of a claim in its shard of the log. */
struct ClaimPosition
{
    Offset offset;
    /** Place within a record that carries several claims. */
    std::uint32_t index = 0;

    auto operator<=>(const ClaimPosition &) const = default;
};

/** A claim as it stands in the log. */
struct ClaimCreated
{
    ClaimKey key;
    /** Digest of the request, so that one key does not serve two requests. */
    std::uint64_t fingerprint = 0;
    /** Random number by which the claimant finds its claim again. */
    std::uint64_t claimantNonce = 0;

    auto operator<=>(const ClaimCreated &) const = default;
};

/** The answer of a call, kept for a caller that repeats it. */
struct StoredResponse
{
    std::int32_t status = 0;
    std::string contentType;
    std::string body;

    auto operator<=>(const StoredResponse &) const = default;
};

/** The outcome of a claimed call. */
struct ClaimFinished
{
    ClaimKey key;
    /** Yes or Unknown. */
    ExecutionStatus ran = ExecutionStatus::Unknown;
    /** Nothing if there is none, or if it was too large. */
    std::optional<StoredResponse> response;

    auto operator<=>(const ClaimFinished &) const = default;
};

/** The holder of a claim knows that the call was not run, and will not run it any more. */
struct ClaimReleased
{
    ClaimKey key;
    ClaimPosition position;

    auto operator<=>(const ClaimReleased &) const = default;
};

/** What a key stands for. */
enum class ClaimPhase { First, InProgress, Finished, OutcomeUnknown, FingerprintMismatch };

/** What is known of a key. */
struct ClaimStatus
{
    ClaimPhase phase = ClaimPhase::First;
    std::optional<StoredResponse> response;

    auto operator<=>(const ClaimStatus &) const = default;
};

/** How much a book remembers. */
struct ClaimTableOptions
{
    /** How long a key is remembered after a claim of it was last read. */
    Duration window = std::chrono::minutes(15);
    /** Keys at which no further claim is made: 200 a second for the window. */
    std::size_t maxKeys = 180'000;
    /** Bytes of all answers that are kept; the oldest go first. */
    std::size_t maxResponseBytes = 4U * 1024 * 1024;

    ClaimTableOptions withWindow(Duration value) const;
    ClaimTableOptions withMaxResponseBytes(std::size_t value) const;
    auto operator<=>(const ClaimTableOptions &) const = default;
};

/** Folds the claims of all shards; a step changes the book in place. */
class ClaimTable
{
public:
    explicit ClaimTable(ClaimTableOptions options = {});

    /** Reads a claim. @returns First if it is the one that runs */
    ClaimStatus apply(const ClaimCreated &claim, ClaimPosition position, Instant now);
    /** Reads an outcome. */
    void apply(const ClaimFinished &finished, Instant now);
    /** Reads a release; it counts only if no other claim of the key has come since. */
    void apply(const ClaimReleased &released, Instant now);

    /** @returns what a claim made now would get, as far as the log was read */
    ClaimStatus lookup(const ClaimKey &key, std::uint64_t fingerprint, Instant now);

    /** @returns whether no further claim may be made */
    bool isFull() const { return m_claims.size() >= m_options.maxKeys; }
    /** @returns how many keys are remembered */
    std::size_t size() const { return m_claims.size(); }

private:
    struct Claim
    {
        ClaimPosition first;
        std::uint64_t fingerprint = 0;
        Instant lastReadAt;
        ClaimPhase phase = ClaimPhase::InProgress;
        /** Whether claims after the first were read. */
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
    /** Invariant: each key of m_claims stands here at its last reading, oldest first. */
    std::deque<ClaimReading> m_readings;
    std::unordered_map<ClaimKey, StoredResponse, ClaimKeyHash> m_responses;
    /** Invariant: holds the keys of m_answers, oldest first; may hold keys that are gone. */
    std::deque<ClaimKey> m_responseOrder;
    /** Invariant: the bytes of all bodies in m_answers. */
    std::size_t m_responseBytes = 0;
};

} // namespace greengageseam
