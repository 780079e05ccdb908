/**
 * Log lines: one JSON object each, with a stable event name and typed fields.
 */
#pragma once

#include <boost/json/object.hpp>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace spdlog {
class logger;
}

namespace greengageseam {

/** How much is logged; each level includes those before it. */
enum class LogLevel { Error, Warning, Info, Debug };

/** @returns the level called `error`, `warning`, `info` or `debug`, or nothing */
std::optional<LogLevel> parseLogLevel(std::string_view name);

/** Writes JSON lines to the standard output, without ever waiting for it. */
class Log
{
public:
    /**
     * @param level the most talkative level that is written
     * @param fields members that stand in every line, such as the instance
     */
    Log(LogLevel level, boost::json::object fields);

    /** Something failed that an operator should look at. */
    void error(std::string_view event, const boost::json::object &fields = {}) const;
    /** Something went wrong that the system deals with itself. */
    void warning(std::string_view event, const boost::json::object &fields = {}) const;
    /** Something happened that the life of the process is told by. */
    void info(std::string_view event, const boost::json::object &fields = {}) const;
    /** A detail, such as each request. */
    void debug(std::string_view event, const boost::json::object &fields = {}) const;

    /** @returns a log that adds fields to each line */
    Log withFields(const boost::json::object &fields) const;

private:
    void write(LogLevel level, std::string_view name, std::string_view event,
               const boost::json::object &fields) const;

    LogLevel m_level;
    boost::json::object m_fields;
    std::shared_ptr<spdlog::logger> m_logger;
};

} // namespace greengageseam
