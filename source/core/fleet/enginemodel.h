/**
 * Latency model of a model engine: estimates prefill, decode and queueing times from the engine's
 * workload and the cost parameters of its service. All times are in milliseconds.
 */
#pragma once

#include "core/fleet/fleetconfig.h"

namespace greengageseam {

/** Workload of one engine. */
struct EngineWorkload
{
    /** Requests in the decode phase, that is, generating output tokens. */
    double running = 0;
    /** Time needed to prefill the prompts whose responses have not started. */
    double pendingPrefillMs = 0;

    auto operator<=>(const EngineWorkload &) const = default;
};

/**
 * @param tokens length of the prompt; 0 stands for the typical length
 * @returns the prefill time of a prompt while the engine reads no other
 */
double prefillMs(const EngineCosts &costs, double tokens);

/** @returns the time of one decode pass, after which the engine emits the generated tokens */
double decodePassMs(const EngineCosts &costs, double running);

/** @returns the expected time to first token of a prompt that is queued behind @p workload */
double timeToFirstTokenMs(const EngineCosts &costs, const EngineWorkload &workload, double tokens);

/** @returns the mean time between two releases of a slot while all slots are in use */
double engineSlotReleaseMs(const EngineCosts &costs);

} // namespace greengageseam
