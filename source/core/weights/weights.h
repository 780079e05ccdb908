/**
 * core/weights: what a version's weights consist of, and who fetches which part from whom.
 */
#pragma once

#include "core/weights/chunkbits.h"
#include "core/weights/chunkownership.h"
#include "core/weights/linkratelimiter.h"
#include "core/weights/listsource.h"
#include "core/weights/manifest.h"
#include "core/weights/sources.h"
#include "core/weights/transferevents.h"
#include "core/weights/transferplanner.h"
