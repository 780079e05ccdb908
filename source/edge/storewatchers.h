/**
 * Umbrella header of the watchers of the platform's store.
 */
#pragma once

#include "edge/operatorwatcher.h"
#include "edge/replicawatcher.h"
