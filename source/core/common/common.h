/**
 * core/common: types that all other modules use: names, times, errors and hashes.
 */
#pragma once

#include "core/common/errors.h"
#include "core/common/hashing.h"
#include "core/common/ids.h"
#include "core/common/time.h"
