/**
 * core/membership: which instances there are, and which of them may be used.
 */
#pragma once

#include "core/membership/roster.h"
