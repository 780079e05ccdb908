/**
 * Structured log: each line is a JSON object with a stable event name and typed fields.
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

/** Severity of a log line. A configured level includes all levels listed before it. */
enum class LogLevel { Error, Warning, Info, Debug };

/**
 * Parses the name of a level: `error`, `warning`, `info` or `debug`.
 * @returns the level, or an empty optional for any other name
 */
std::optional<LogLevel> parseLogLevel(std::string_view name);

/**
 * Writes JSON lines to the standard output without blocking. Lines that cannot be written are
 * dropped.
 * @see BoundedSink
 */
class Log
{
public:
    /**
     * @param level most verbose level that is written
     * @param fields added to every line, for example the instance
     */
    Log(LogLevel level, boost::json::object fields);

    /** Logs a failure that needs an operator's attention. */
    void error(std::string_view event, const boost::json::object &fields = {}) const;
    /** Logs a problem that the system handles without an operator. */
    void warning(std::string_view event, const boost::json::object &fields = {}) const;
    /** Logs an important event in the lifetime of the process. */
    void info(std::string_view event, const boost::json::object &fields = {}) const;
    /** Logs a detail, for example each request. */
    void debug(std::string_view event, const boost::json::object &fields = {}) const;

    /** @returns a copy of this log that adds further fields to every line */
    Log withFields(const boost::json::object &fields) const;

private:
    void write(LogLevel level, std::string_view name, std::string_view event,
               const boost::json::object &fields) const;

    LogLevel m_level;
    boost::json::object m_fields;
    std::shared_ptr<spdlog::logger> m_logger;
};

} // namespace greengageseam
