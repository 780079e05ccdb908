/**
 * Umbrella header of core/config: the operators' configuration table, changes to it, and the fold
 * over the log of changes that decides which of them are accepted.
 */
#pragma once

#include "core/config/cells.h"
#include "core/config/fold.h"
#include "core/config/logfold.h"
#include "core/config/table.h"
