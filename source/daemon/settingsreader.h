/**
 * Lookup of single settings and the checks that depend on their type.
 */
#pragma once

#include "core/common/errors.h"
#include "core/common/time.h"
#include "daemon/environment.h"
#include "net/endpoint.h"
#include "net/log.h"

#include <charconv>
#include <docopt/docopt.h>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/** The command line as parsed by docopt. */
using Arguments = std::map<std::string, docopt::value>;

/**
 * Looks up settings by flag, or by the environment variable of the flag, and validates them. The
 * functions that return a Result fail with InvalidRequest, and name the flag, its value and the
 * values that are allowed.
 */
class SettingsReader
{
public:
    /** @param environment must outlive the reader */
    SettingsReader(Arguments options, const Environment &environment);

    /** @returns the text of the setting, unless it is unset */
    std::optional<std::string> find(const std::string &flag) const;
    /** @returns whether a flag without a value is on the command line */
    bool isSet(const std::string &flag) const;
    /** @returns the text of the setting, which must not be empty */
    Result<std::string> text(const std::string &flag) const;
    /** @returns a name of letters, digits, '-', '_' and '.' */
    Result<std::string> name(const std::string &flag) const;
    /** @returns a numeric IP address with a port */
    Result<Address> address(const std::string &flag) const;
    /** @returns the addresses of a comma-separated list; none if the setting is unset or empty */
    Result<std::vector<Address>> optionalAddresses(const std::string &flag) const;
    /** @returns a number of seconds from 1 to maximum, or defaultValue if the setting is unset */
    Result<Duration> seconds(const std::string &flag, std::uint32_t defaultValue,
                             std::uint32_t maximum) const;
    /** @returns a number of milliseconds from 1 to maximum, or defaultValue if it is unset */
    Result<Duration> milliseconds(const std::string &flag, std::uint32_t defaultValue,
                                  std::uint32_t maximum) const;
    /** @returns bytes, or bytes per second; 0, which means unlimited, if the setting is unset */
    Result<std::uint64_t> bytes(const std::string &flag) const;

    /** @returns an integer from minimum to maximum, or defaultValue if the setting is unset */
    template <typename Number>
    Result<Number> number(const std::string &flag, Number defaultValue, Number minimum,
                          Number maximum) const
    {
        const std::optional<std::string> value = find(flag);
        if (!value) {
            return defaultValue;
        }
        Number n = 0;
        const char *end = value->data() + value->size();
        const auto [rest, ec] = std::from_chars(value->data(), end, n);
        if (ec != std::errc() || rest != end || n < minimum || n > maximum) {
            return invalidValue(flag, *value,
                                "an integer from " + std::to_string(minimum) + " to "
                                        + std::to_string(maximum));
        }
        return n;
    }

    /** @returns the secret; the failure does not contain its value */
    Result<std::string> secret() const;
    /** @returns the log level, or Info if the setting is unset */
    Result<LogLevel> logLevel() const;

    /** @returns the failure for a setting with an invalid value */
    static boost::leaf::error_id invalidValue(const std::string &flag, const std::string &value,
                                              const std::string &allowed);

private:
    Arguments m_options;
    const Environment &m_environment;
};

/** @returns whether the text is a numeric IP address and a port */
bool isEndpoint(const Address &address);

} // namespace greengageseam
