/**
 * core/routing: which version and which backend server take a request, and what limits allow.
 */
#pragma once

#include "core/routing/backendchoice.h"
#include "core/routing/tokenbucket.h"
#include "core/routing/versionchoice.h"
