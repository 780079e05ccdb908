/**
 * core/routing: which version and which backend server take a request, and what limits allow.
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
