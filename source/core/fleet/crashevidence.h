/**
 * Evidence of backend servers that crashed, and which prompt parts it condemns. Entries share the
 * evidence, not the judgement: each one computes the same judgement from the same evidence.
 */
#pragma once

#include "core/fleet/promptpart.h"
#include "core/fleet/replica.h"
#include "core/fleet/soundparts.h"

#include <map>
#include <vector>

namespace greengageseam {

/** One start of a backend server. */
struct ReplicaIncarnation
{
    ReplicaId replica;
    std::uint64_t startedAtMs = 0;

    auto operator<=>(const ReplicaIncarnation &) const = default;
};

/** What is known of a prompt part that was in flight, and had not begun, on a server that crashed.
 */
struct Suspicion
{
    /** When the connection of the first such request was lost. */
    Instant at;
    /** Position of the part in the prompt, from 0; shared beginnings come first. */
    std::uint32_t depth = 0;
    /** Whether an entry had seen requests with the part answered before. */
    bool wasSound = false;
    /** Whether an entry has seen a request with the part answered since. */
    bool isCleared = false;

    auto operator<=>(const Suspicion &) const = default;
};

/** The parts that may have crashed one incarnation of a backend server. */
struct CrashEvent
{
    ReplicaIncarnation incarnation;
    std::map<PromptPartId, Suspicion> suspects;

    auto operator<=>(const CrashEvent &) const = default;
};

/** A part that crashes backend servers, and the evidence for it. */
struct CondemnedPart
{
    PromptPartId part;
    /** Requests with the part are rejected until then, unless further evidence arrives. */
    Instant until;
    /** Number of moments at which backend servers crashed. */
    std::uint32_t moments = 0;
    /** The incarnations that crashed, oldest first. */
    std::vector<ReplicaIncarnation> crashed;

    auto operator<=>(const CondemnedPart &) const = default;
};

/** What follows from the evidence. */
struct CrashJudgement
{
    std::vector<CondemnedPart> condemned;
    /** Parts with too little evidence so far; their requests are not retried after a crash. */
    std::vector<PromptPartId> suspected;

    auto operator<=>(const CrashJudgement &) const = default;
};

/** Limits of the evidence. */
struct CrashEvidenceOptions
{
    /** Time for which evidence counts. */
    Duration lifetime = std::chrono::minutes(10);
    /** Crashes within this time may have one cause, such as a rack, and count once. */
    Duration momentLength = std::chrono::milliseconds(250);
    /** Moments that condemn a part. */
    std::uint32_t minMoments = 3;
    /** Moments that condemn a part with which requests were answered before. */
    std::uint32_t minMomentsIfWasSound = 8;
    /** Moments that make a part suspected. */
    std::uint32_t minMomentsSuspected = 2;
    std::size_t maxEvents = 128;
    std::size_t maxSuspects = 48;

    CrashEvidenceOptions withLifetime(Duration time) const;
    CrashEvidenceOptions withMaxEvents(std::size_t count) const;
};

/**
 * The crash events that an entry knows, its own and those of other entries. It is modified in
 * place, because it merges every report.
 */
class CrashEvidence
{
public:
    explicit CrashEvidence(CrashEvidenceOptions options = {}) : m_options(options) { }

    /**
     * Merges an event. The order in which events arrive, and repeats, make no difference.
     * @returns whether it names a suspect that was not known, or clears one
     */
    bool merge(const CrashEvent &event, Instant now);
    /**
     * Clears a part of all crashes so far, since a request with it was answered.
     * @returns the incarnations of which it was not cleared before
     */
    std::vector<ReplicaIncarnation> clear(const PromptPartId &part, Instant now);
    /** Removes evidence that no longer counts. */
    void expire(Instant now);
    /**
     * Judges all parts: the part that explains most moments is condemned, the events with it are
     * explained by it, and the rest is judged likewise.
     * @param sound what this entry knows of parts that were answered
     */
    CrashJudgement judge(const SoundParts &sound) const;

    /** @returns all events, ordered by incarnation */
    std::vector<CrashEvent> events() const;
    bool isEmpty() const { return m_events.empty(); }
    /** @returns a checksum of the incarnations and their suspects, used to compare two entries */
    std::uint64_t checksum() const;

private:
    using Events = std::map<ReplicaIncarnation, std::map<PromptPartId, Suspicion>>;

    void limitSuspects(std::map<PromptPartId, Suspicion> &suspects) const;
    void limitEvents();

    CrashEvidenceOptions m_options;
    /** Invariant: each event has a suspect. */
    Events m_events;
};

} // namespace greengageseam
