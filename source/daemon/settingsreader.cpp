#include "daemon/settingsreader.h"

#include <algorithm>
#include <cctype>

namespace greengageseam {

namespace {

constexpr std::size_t minSecretLength = 16;
constexpr std::size_t maxNameLength = 64;
constexpr std::uint64_t maxBytes = 1ULL << 50U;

} // namespace

SettingsReader::SettingsReader(Arguments options, const Environment &environment)
    : m_options(std::move(options)), m_environment(environment)
{ }

std::optional<std::string> SettingsReader::find(const std::string &flag) const
{
    const auto option = m_options.find(flag);
    if (option != m_options.end() && option->second.isString()) {
        return option->second.asString();
    }
    const auto variable = m_environment.find(variableNameFor(flag));
    if (variable == m_environment.end()) {
        return std::nullopt;
    }
    return variable->second;
}

bool SettingsReader::isSet(const std::string &flag) const
{
    const auto option = m_options.find(flag);
    return option != m_options.end() && option->second.isBool() && option->second.asBool();
}

Result<std::string> SettingsReader::text(const std::string &flag) const
{
    const std::optional<std::string> value = find(flag);
    if (!value || value->empty()) {
        return fail(ErrorKind::InvalidRequest,
                    flag + " is missing; set it or the variable " + variableNameFor(flag));
    }
    return *value;
}

Result<std::string> SettingsReader::name(const std::string &flag) const
{
    BOOST_LEAF_AUTO(value, text(flag));
    const bool isAllowed = value.size() <= maxNameLength
            && std::all_of(value.begin(), value.end(), [](unsigned char c) {
                               return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
                           });
    if (!isAllowed) {
        return invalidValue(flag, value, "1 to 64 letters, digits, '-', '_' or '.'");
    }
    return value;
}

Result<Address> SettingsReader::address(const std::string &flag) const
{
    BOOST_LEAF_AUTO(value, text(flag));
    const Address address(value);
    if (!isEndpoint(address)) {
        return invalidValue(flag, value, "a numeric IP address and a port, such as 127.0.0.1:8080");
    }
    return address;
}

Result<std::vector<Address>> SettingsReader::optionalAddresses(const std::string &flag) const
{
    const std::string value = find(flag).value_or("");
    if (value.empty()) {
        return std::vector<Address>();
    }
    std::vector<Address> list;
    std::size_t position = 0;
    while (position <= value.size()) {
        const std::size_t n = std::min(value.find(',', position), value.size());
        const Address address(value.substr(position, n - position));
        if (!isEndpoint(address)) {
            return invalidValue(flag, address.text(), "numeric addresses separated by commas");
        }
        list.push_back(address);
        position = n + 1;
    }
    return list;
}

Result<Duration> SettingsReader::seconds(const std::string &flag, std::uint32_t defaultValue,
                                         std::uint32_t maximum) const
{
    BOOST_LEAF_AUTO(n, number<std::uint32_t>(flag, defaultValue, 1, maximum));
    return Duration(std::chrono::seconds(n));
}

Result<Duration> SettingsReader::milliseconds(const std::string &flag, std::uint32_t defaultValue,
                                              std::uint32_t maximum) const
{
    BOOST_LEAF_AUTO(n, number<std::uint32_t>(flag, defaultValue, 1, maximum));
    return Duration(std::chrono::milliseconds(n));
}

Result<std::uint64_t> SettingsReader::bytes(const std::string &flag) const
{
    return number<std::uint64_t>(flag, 0, 1, maxBytes);
}

Result<std::string> SettingsReader::secret() const
{
    BOOST_LEAF_AUTO(value, text("--secret"));
    if (value.size() < minSecretLength) {
        return invalidValue("--secret", "(hidden)", "at least 16 characters");
    }
    return value;
}

Result<LogLevel> SettingsReader::logLevel() const
{
    const std::string value = find("--log-level").value_or("info");
    const std::optional<LogLevel> level = parseLogLevel(value);
    if (!level) {
        return invalidValue("--log-level", value, "error, warning, info or debug");
    }
    return *level;
}

boost::leaf::error_id SettingsReader::invalidValue(const std::string &flag,
                                                   const std::string &value,
                                                   const std::string &allowed)
{
    return fail(ErrorKind::InvalidRequest,
                flag + ": '" + value + "' is invalid; expected " + allowed);
}

bool isEndpoint(const Address &address)
{
    const auto parsed = toOutcome([&] { return parseEndpoint(address); });
    return failureOf(parsed) == nullptr;
}

} // namespace greengageseam
