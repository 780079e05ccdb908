/**
 * Formats responses of the administration API as text. Lines have at most 40 columns, unless a
 * single word is longer, so that they are readable on a phone as well as on a terminal.
 */
#pragma once

#include <boost/json.hpp>
#include <ostream>
#include <string>
#include <string_view>

namespace greengageseam {

/** @returns a member as text, which is serialized if it is not a string; empty if it is missing */
std::string textMember(const boost::json::object &object, std::string_view key);

/** Prints the offset and the cells of a configuration table. */
void printTable(std::ostream &out, const boost::json::object &table);
/** Prints a report: alarms, rollouts, agents and bytes read from the origin. */
void printReport(std::ostream &out, const boost::json::object &report);
/** Prints the verdict on a change. */
void printVerdict(std::ostream &out, const boost::json::object &verdict);
/** Prints changes with their verdicts. */
void printHistory(std::ostream &out, const boost::json::object &history);

} // namespace greengageseam
