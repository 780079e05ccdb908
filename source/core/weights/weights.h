/**
 * Umbrella header of core/weights: the content of a version's weights, and the planning of their
 * peer-to-peer distribution.
 */
#pragma once

#include "core/weights/chunkbits.h"
#include "core/weights/chunkownership.h"
#include "core/weights/linkratelimiter.h"
#include "core/weights/listcandidates.h"
#include "core/weights/listsource.h"
#include "core/weights/manifest.h"
#include "core/weights/sources.h"
#include "core/weights/transferevents.h"
#include "core/weights/transferplanner.h"
