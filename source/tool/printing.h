/**
 * How answers of the administration API look on a terminal or a telephone: lines of at most 40
 * columns, as far as names allow.
 */
#pragma once

#include <boost/json.hpp>
#include <ostream>
#include <string>
#include <string_view>

namespace greengageseam {

/** @returns a member as text; empty if it is missing */
std::string textMember(const boost::json::object &object, std::string_view key);

/** Prints the cells of a table. */
void printTable(std::ostream &out, const boost::json::object &table);
/** Prints a report. */
void printReport(std::ostream &out, const boost::json::object &report);
/** Prints what became of a change. */
void printVerdict(std::ostream &out, const boost::json::object &verdict);
/** Prints changes with their verdicts. */
void printHistory(std::ostream &out, const boost::json::object &history);

} // namespace greengageseam
