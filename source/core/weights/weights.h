/**
 * core/weights: what a version's weights consist of, and who fetches which part from whom.
 */
#pragma once

#include "core/weights/manifest.h"
