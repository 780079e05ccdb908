/**
 * Umbrella header of core/fleet: routing decisions, load balancing and service discovery for a
 * fleet of backend servers that callers reach by routes. Nothing in it performs input or output.
 */
#pragma once

#include "core/fleet/compactedtopic.h"
#include "core/fleet/crashevidence.h"
#include "core/fleet/deltaparts.h"
#include "core/fleet/enginemodel.h"
#include "core/fleet/entrylistsources.h"
#include "core/fleet/entryregistry.h"
#include "core/fleet/eventsplitter.h"
#include "core/fleet/fleetconfig.h"
#include "core/fleet/listeninghistory.h"
#include "core/fleet/loadbalancer.h"
#include "core/fleet/nodesettings.h"
#include "core/fleet/partverdicts.h"
#include "core/fleet/pieces.h"
#include "core/fleet/promptpart.h"
#include "core/fleet/replica.h"
#include "core/fleet/replicaavailability.h"
#include "core/fleet/replicalistdelta.h"
#include "core/fleet/replicaregistry.h"
#include "core/fleet/requestmetadata.h"
#include "core/fleet/rollout.h"
#include "core/fleet/routetable.h"
#include "core/fleet/sharedretrybudget.h"
#include "core/fleet/soundparts.h"
#include "core/fleet/storerecords.h"
#include "core/fleet/topicsource.h"
#include "core/fleet/topicview.h"
#include "core/fleet/upstreamoutcome.h"
#include "core/fleet/weightsdeadlines.h"
