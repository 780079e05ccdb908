/**
 * The part of the configuration that a process lacks.
 */
#pragma once

#include "logservice/logservice.h"
#include "protocol/messages.h"

#include <optional>

namespace greengageseam {

/**
 * @param config a configuration that is ready
 * @param applied offset of the last record that the process has applied; 0 if it has none
 * @returns the records that the process lacks, or a snapshot if they are no longer buffered here;
 *     empty if it lacks nothing
 */
std::optional<ConfigPushMessage> missingConfig(const ConfigView &config, Offset applied);

} // namespace greengageseam
