/**
 * core/membership: which instances there are, and which of them may be used.
 */
#pragma once

#include "core/membership/changelog.h"
#include "core/membership/roster.h"
#include "core/membership/zonedigest.h"
