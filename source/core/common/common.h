/**
 * core/common: the vocabulary of all other modules: names, times, errors, hashes.
 */
#pragma once

#include "core/common/errors.h"
#include "core/common/hashing.h"
#include "core/common/ids.h"
#include "core/common/time.h"
