/**
 * core/once: at-most-once execution of calls that must not be repeated: idempotency keys, claims in
 * the log, and deduplication of attempts at the agent.
 */
#pragma once

#include "core/once/agentstamp.h"
#include "core/once/attemptledger.h"
#include "core/once/callerkey.h"
#include "core/once/claimbook.h"
