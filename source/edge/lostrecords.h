/**
 * Decides which records of the operator stay in force although the store has lost them.
 */
#pragma once

#include "core/fleet/compactedtopic.h"
#include "edge/operatorwatcher.h"

namespace greengageseam {

/**
 * A configuration or target version stays in force if the store has an earlier one or none, as
 * versions only rise.
 * @param hooks decoders for the records of the operator's topic
 */
KeepsRecord keepsNewerVersions(OperatorHooks hooks);

} // namespace greengageseam
