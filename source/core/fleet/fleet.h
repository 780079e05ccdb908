/**
 * Umbrella header of core/fleet: routing decisions, load balancing and service discovery for a
 * fleet of backend servers that callers reach by routes. Nothing in it performs input or output.
 */
#pragma once

#include "core/fleet/call.h"
#include "core/fleet/delivery.h"
#include "core/fleet/enginemodel.h"
#include "core/fleet/entrysites.h"
#include "core/fleet/eventsplitter.h"
#include "core/fleet/fleetconfig.h"
#include "core/fleet/listnews.h"
#include "core/fleet/loadbook.h"
#include "core/fleet/nodesettings.h"
#include "core/fleet/pieces.h"
#include "core/fleet/replica.h"
#include "core/fleet/replicabook.h"
#include "core/fleet/retryallowance.h"
#include "core/fleet/rollout.h"
#include "core/fleet/routetable.h"
#include "core/fleet/storerecords.h"
