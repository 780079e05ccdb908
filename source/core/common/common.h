/**
 * Umbrella header of core/common: identifiers, times, errors and hashes, which all other modules
 * use.
 */
#pragma once

#include "core/common/errors.h"
#include "core/common/hashing.h"
#include "core/common/httpstatus.h"
#include "core/common/ids.h"
#include "core/common/time.h"
