#include "net/log.h"

#include "net/boundedsink.h"
#include "net/clock.h"

#include <boost/json.hpp>
#include <spdlog/logger.h>
#include <unistd.h>

namespace greengageseam {

namespace {

std::shared_ptr<spdlog::logger> makeLogger()
{
    auto logger = std::make_shared<spdlog::logger>("greengageseam",
                                                   std::make_shared<BoundedSink>(STDOUT_FILENO));
    logger->set_pattern("%v");
    return logger;
}

} // namespace

std::optional<LogLevel> parseLogLevel(std::string_view name)
{
    if (name == "error") {
        return LogLevel::Error;
    }
    if (name == "warning") {
        return LogLevel::Warning;
    }
    if (name == "info") {
        return LogLevel::Info;
    }
    if (name == "debug") {
        return LogLevel::Debug;
    }
    return std::nullopt;
}

Log::Log(LogLevel level, boost::json::object fields)
    : m_level(level), m_fields(std::move(fields)), m_logger(makeLogger())
{ }

void Log::error(std::string_view event, const boost::json::object &fields) const
{
    write(LogLevel::Error, "error", event, fields);
}

void Log::warning(std::string_view event, const boost::json::object &fields) const
{
    write(LogLevel::Warning, "warning", event, fields);
}

void Log::info(std::string_view event, const boost::json::object &fields) const
{
    write(LogLevel::Info, "info", event, fields);
}

void Log::debug(std::string_view event, const boost::json::object &fields) const
{
    write(LogLevel::Debug, "debug", event, fields);
}

Log Log::withFields(const boost::json::object &fields) const
{
    Log log = *this;
    for (const auto &field : fields) {
        log.m_fields[field.key()] = field.value();
    }
    return log;
}

void Log::write(LogLevel level, std::string_view name, std::string_view event,
                const boost::json::object &fields) const
{
    if (level > m_level) {
        return;
    }
    boost::json::object line;
    line["at"] = wallNow().time_since_epoch().count();
    line["level"] = boost::json::string(name.data(), name.size());
    line["event"] = boost::json::string(event.data(), event.size());
    for (const auto &field : m_fields) {
        line[field.key()] = field.value();
    }
    for (const auto &field : fields) {
        line[field.key()] = field.value();
    }
    m_logger->info("{}", boost::json::serialize(line));
}

} // namespace greengageseam
