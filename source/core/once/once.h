/**
 * core/once: what keeps a call from running twice.
 */
#pragma once

#include "core/once/agentstamp.h"
#include "core/once/attemptledger.h"
#include "core/once/callerkey.h"
#include "core/once/claimbook.h"
