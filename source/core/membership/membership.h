/**
 * core/membership: which instances there are, and which of them may be used.
 */
#pragma once

#include "core/membership/memberchangelog.h"
#include "core/membership/membertable.h"
#include "core/membership/zonedigest.h"
