/**
 * core/config: the operators' table, changes of it, and the fold that decides which hold.
 */
#pragma once

#include "core/config/cells.h"
#include "core/config/fold.h"
#include "core/config/logfold.h"
#include "core/config/table.h"
