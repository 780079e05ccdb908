/**
 * Umbrella header of core/membership: which instances exist, which of them may receive requests,
 * and how entries exchange this information.
 */
#pragma once

#include "core/membership/entryranking.h"
#include "core/membership/memberchangelog.h"
#include "core/membership/membertable.h"
#include "core/membership/zonedigest.h"
#include "core/membership/zonesummaries.h"
