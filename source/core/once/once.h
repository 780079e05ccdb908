/**
 * core/once: what keeps a call from running twice.
 */
#pragma once

#include "core/once/attemptledger.h"
