/**
 * core/membership: which instances exist, which of them may receive requests, and how entries
 * exchange this information.
 */
#pragma once

#include "core/membership/changelog.h"
#include "core/membership/roster.h"
#include "core/membership/zonedigest.h"
