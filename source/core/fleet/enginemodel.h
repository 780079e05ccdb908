/**
 * How long a model engine takes for the work that it is known to have.
 */
#pragma once

#include "core/fleet/fleetconfig.h"

namespace greengageseam {

/** Work at one engine. */
struct EngineWorkload
{
    /** Requests that are generating. */
    double running = 0;
    /** Milliseconds that the prompts take to read which have not begun to be answered. */
    double pendingPrefillMs = 0;

    auto operator<=>(const EngineWorkload &) const = default;
};

/** @returns milliseconds in which a prompt is read while nothing else is; 0 tokens stand for the
 * usual number */
double prefillMs(const EngineCosts &costs, double tokens);

/** @returns milliseconds of one pass of an engine, after which it hands out what it generated */
double decodePassMs(const EngineCosts &costs, double running);

/** @returns milliseconds until an answer begins whose prompt comes after the work that is there */
double timeToFirstTokenMs(const EngineCosts &costs, const EngineWorkload &workload, double tokens);

/** @returns milliseconds in which a place becomes free, on average, while all of them are taken */
double engineSlotReleaseMs(const EngineCosts &costs);

} // namespace greengageseam
