/**
 * Formatting of the administration API's responses as JSON and HTML.
 */
#pragma once

#include "core/config/config.h"
#include "entry/adminmanager.h"

#include <boost/json.hpp>

namespace greengageseam {

/** @returns the table: its offset, and all cells with their values and authors */
boost::json::object tableToJson(const ConfigState &state);

/**
 * @returns the report: the configuration in force, the agents that have and have not applied it,
 * the progress of each rollout, and recent alarms
 */
boost::json::object reportToJson(const AdminView &view, const EntrySettings &settings,
                                 WallTime now);

/** @returns the report as a small HTML page that also fits a phone's screen */
std::string reportPage(const boost::json::object &report);

} // namespace greengageseam
