/**
 * core/once: what keeps a call from running twice.
 */
#pragma once

#include "core/once/agenttimestamp.h"
#include "core/once/attemptregistry.h"
#include "core/once/claimtable.h"
#include "core/once/idempotencykey.h"
