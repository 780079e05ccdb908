/**
 * The answers of the administration API as JSON, made from values.
 */
#pragma once

#include "core/config/config.h"
#include "entry/adminmanager.h"

#include <boost/json.hpp>

namespace greengageseam {

/** @returns the table: all cells with their authors, and the offset */
boost::json::object tableToJson(const ConfigState &state);

/**
 * @returns the report: what is in force, where and where not, the state of each rollout, and what
 * went wrong lately
 */
boost::json::object reportToJson(const AdminView &view, const EntrySettings &settings,
                                 WallTime now);

/** @returns the report as one light HTML page for a telephone */
std::string reportPage(const boost::json::object &report);

} // namespace greengageseam
