/**
 * Umbrella header of core/once: at-most-once execution of calls that must not be repeated, by
 * idempotency keys, claims in the log, and deduplication of attempts at the agent.
 */
#pragma once

#include "core/once/agenttimestamp.h"
#include "core/once/attemptregistry.h"
#include "core/once/claimtable.h"
#include "core/once/idempotencykey.h"
