/**
 * Umbrella header of core/routing: choice of the version and the backend server for a request,
 * admission control and rate limits. Nothing in it performs input or output.
 */
#pragma once

#include "core/routing/accountmeter.h"
#include "core/routing/admissionqueue.h"
#include "core/routing/backendchoice.h"
#include "core/routing/backendhealth.h"
#include "core/routing/backendindex.h"
#include "core/routing/concurrencylimit.h"
#include "core/routing/retrybudget.h"
#include "core/routing/shareledger.h"
#include "core/routing/tokenbucket.h"
#include "core/routing/versionchoice.h"
