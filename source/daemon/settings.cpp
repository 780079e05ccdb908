#include "daemon/settings.h"

#include "core/common/hashing.h"
#include "net/endpoint.h"

#include <algorithm>
#include <charconv>
#include <docopt/docopt.h>
#include <optional>

namespace greengageseam {

const std::string daemonUsage = R"(greengageseamd: routes requests to model-serving instances.

Usage:
  greengageseamd --role=<role> [options]
  greengageseamd (-h | --help)
  greengageseamd --version

Each option can also be set by an environment variable, for example --log-level by
GREENGAGESEAM_LOG_LEVEL. A flag overrides its variable.

Options:
  --role=<role>               Role of the process: entry or agent.
  --instance=<name>           Name of this instance, unique in the deployment.
  --zone=<name>               Availability zone of this instance.
  --listen=<address>          HTTP address to listen on, such as 10.0.0.1:8080.
  --peer-listen=<address>     Address to listen on for other processes of the system.
  --secret=<text>             Secret shared by all processes, at least 16 characters.
  --log=<address>             Address of the platform's log service.
  --list=<address>            Address of the platform's list of instances; optional for an agent
                              with --entries.
  --bootstrap-token=<digest>  SHA-256 digest of a token that is accepted as an operator's while
                              the configuration table lists no operator (entry).
  --snapshot-records=<n>      Number of records after which a snapshot is appended to the log,
                              16 to 100000 (entry). Default: 256.
  --snapshot-age=<seconds>    Age of the last snapshot at which another is appended, 1 to 604800;
                              must be well below the log's retention (entry). Default: 3600.
  --request-limit=<seconds>   Request timeout, 1 to 3600 (entry). Default: 120.
  --longest-wait=<ms>         Longest time in milliseconds that a request is queued until a
                              backend server has capacity, 1 to 600000 (entry). Default: 500.
  --peers=<addresses>         Comma-separated peer addresses of other entries; optional if the
                              platform's list contains them (entry).
  --store=<address>           Address of the weight store (agent).
  --entries=<addresses>       Comma-separated peer addresses of the zone's entries; optional if
                              the platform's list contains them (agent).
  --backend=<address>         HTTP address of the backend server (agent).
  --service=<name>            Name of the plain service behind the agent; unset for an engine.
  --drain-notice=<seconds>    Time from the stop signal until the entry stops listening, 1 to 600
                              (entry). Default: 3.
  --link-rate=<bytes>         Limit of the machine's link bandwidth used for weights, in bytes per
                              second in each direction (agent). Default: unlimited.
  --zone-link-rate=<bytes>    Limit of the bandwidth used to read weights from other zones, in
                              bytes per second (agent). Default: unlimited.
  --weight-memory=<bytes>     Limit of the memory used to store weights, in bytes (agent).
                              Default: unlimited.
  --store-zone=<name>         Zone of the weight store (agent). If unset, no zone counts as nearer to
                              the store than the others.
  --far-peers=<peers>         Comma-separated agents in other zones to read weights from, each as
                              zone/instance@address (agent).
  --yield-above=<requests>    Number of requests in progress above which weights get half of the
                              link, 1 to 100000 (agent). Default: 32.
  --drain-limit=<seconds>     Longest time that a shutdown waits, 1 to 86400. Default: 600.
  --log-level=<level>         Log level: error, warning, info or debug. Default: info.
  --check-settings            Validate the settings and exit.
  -h --help                   Show this text.
  --version                   Show the version.
)";

namespace {

constexpr std::size_t minSecretLength = 16;
constexpr std::size_t maxNameLength = 64;
constexpr std::uint32_t maxRequestSeconds = 3600;
constexpr std::uint32_t maxDrainSeconds = 86400;
constexpr std::uint32_t minSnapshotRecords = 16;
constexpr std::uint32_t maxSnapshotRecords = 100'000;
constexpr std::uint32_t defaultSnapshotRecords = 256;
constexpr std::uint32_t maxSnapshotSeconds = 604'800;
constexpr std::uint32_t defaultSnapshotSeconds = 3600;
constexpr std::uint32_t maxYieldAbove = 100'000;
constexpr std::uint64_t maxBytes = 1ULL << 50U;
constexpr std::uint32_t defaultRequestSeconds = 120;
constexpr std::uint32_t defaultWaitMilliseconds = 500;
constexpr std::uint32_t maxWaitMilliseconds = 600'000;
constexpr std::uint32_t defaultDrainSeconds = 600;
constexpr std::uint32_t maxNoticeSeconds = 600;
constexpr std::uint32_t defaultNoticeSeconds = 3;
const std::string variablePrefix = "GREENGAGESEAM_";

/** The command line as parsed by docopt. */
using Arguments = std::map<std::string, docopt::value>;

std::string variableNameFor(const std::string &flag)
{
    std::string name = variablePrefix;
    for (const char c : flag.substr(2)) {
        name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
    }
    return name;
}

/** Looks up settings by flag, or by the environment variable of the flag, and validates them. */
class SettingsReader
{
public:
    SettingsReader(Arguments options, const Environment &environment)
        : m_options(std::move(options)), m_environment(environment)
    { }

    std::optional<std::string> find(const std::string &flag) const
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

    bool isSet(const std::string &flag) const
    {
        const auto option = m_options.find(flag);
        return option != m_options.end() && option->second.isBool() && option->second.asBool();
    }

    Result<std::string> text(const std::string &flag) const
    {
        const std::optional<std::string> value = find(flag);
        if (!value || value->empty()) {
            return fail(ErrorKind::InvalidRequest,
                        flag + " is missing; set it or the variable " + variableNameFor(flag));
        }
        return *value;
    }

    Result<std::string> name(const std::string &flag) const
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

    Result<Address> address(const std::string &flag) const
    {
        BOOST_LEAF_AUTO(value, text(flag));
        const Address address(value);
        const auto parsed = toOutcome([&] { return parseEndpoint(address); });
        if (failureOf(parsed) != nullptr) {
            return invalidValue(flag, value,
                                "a numeric IP address and a port, such as 127.0.0.1:8080");
        }
        return address;
    }

    Result<std::vector<Address>> addresses(const std::string &flag) const
    {
        BOOST_LEAF_AUTO(value, text(flag));
        std::vector<Address> list;
        std::size_t position = 0;
        while (position <= value.size()) {
            const std::size_t n = std::min(value.find(',', position), value.size());
            const Address address(value.substr(position, n - position));
            const auto parsed = toOutcome([&] { return parseEndpoint(address); });
            if (failureOf(parsed) != nullptr) {
                return invalidValue(flag, address.text(), "numeric addresses separated by commas");
            }
            list.push_back(address);
            position = n + 1;
        }
        return list;
    }

    /** @returns the addresses; none if the setting is unset or empty */
    Result<std::vector<Address>> optionalAddresses(const std::string &flag) const
    {
        if (find(flag).value_or("").empty()) {
            return std::vector<Address>();
        }
        return addresses(flag);
    }

    Result<Duration> seconds(const std::string &flag, std::uint32_t defaultValue,
                             std::uint32_t maximum) const
    {
        BOOST_LEAF_AUTO(n, number<std::uint32_t>(flag, defaultValue, 1, maximum));
        return Duration(std::chrono::seconds(n));
    }

    Result<Duration> milliseconds(const std::string &flag, std::uint32_t defaultValue,
                                  std::uint32_t maximum) const
    {
        BOOST_LEAF_AUTO(n, number<std::uint32_t>(flag, defaultValue, 1, maximum));
        return Duration(std::chrono::milliseconds(n));
    }

    /** @returns bytes, or bytes per second; 0, which means unlimited, if the setting is unset */
    Result<std::uint64_t> bytes(const std::string &flag) const
    {
        return number<std::uint64_t>(flag, 0, 1, maxBytes);
    }

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

    Result<std::string> secret() const
    {
        BOOST_LEAF_AUTO(value, text("--secret"));
        if (value.size() < minSecretLength) {
            return invalidValue("--secret", "(hidden)", "at least 16 characters");
        }
        return value;
    }

    Result<LogLevel> logLevel() const
    {
        const std::string value = find("--log-level").value_or("info");
        const std::optional<LogLevel> level = parseLogLevel(value);
        if (!level) {
            return invalidValue("--log-level", value, "error, warning, info or debug");
        }
        return *level;
    }

    static boost::leaf::error_id invalidValue(const std::string &flag, const std::string &value,
                                              const std::string &allowed)
    {
        return fail(ErrorKind::InvalidRequest,
                    flag + ": '" + value + "' is invalid; expected " + allowed);
    }

private:
    Arguments m_options;
    const Environment &m_environment;
};

/** Reads the agents of other zones, a comma-separated list of zone/instance@address. */
Result<std::vector<WeightPeer>> readFarPeers(const SettingsReader &reader)
{
    const std::string text = reader.find("--far-peers").value_or("");
    std::vector<WeightPeer> peers;
    std::size_t position = 0;
    while (position < text.size()) {
        const std::size_t end = std::min(text.find(',', position), text.size());
        const std::string peer = text.substr(position, end - position);
        const std::size_t slash = peer.find('/');
        const std::size_t atSign = peer.find('@');
        const bool isComplete =
                slash != std::string::npos && atSign != std::string::npos && slash < atSign;
        const Address address(isComplete ? peer.substr(atSign + 1) : "");
        const auto parsed = toOutcome([&] { return parseEndpoint(address); });
        if (failureOf(parsed) != nullptr) {
            return SettingsReader::invalidValue("--far-peers", peer, "zone/instance@address");
        }
        peers.push_back({InstanceId(peer.substr(slash + 1, atSign - slash - 1)),
                         ZoneName(peer.substr(0, slash)), address});
        position = end + 1;
    }
    return peers;
}

Result<WeightSettings> readWeights(const SettingsReader &reader)
{
    WeightSettings settings;
    BOOST_LEAF_ASSIGN(settings.linkBytesPerSecond, reader.bytes("--link-rate"));
    BOOST_LEAF_ASSIGN(settings.zoneLinkBytesPerSecond, reader.bytes("--zone-link-rate"));
    BOOST_LEAF_ASSIGN(settings.memoryBytes, reader.bytes("--weight-memory"));
    BOOST_LEAF_ASSIGN(settings.otherZonePeers, readFarPeers(reader));
    BOOST_LEAF_ASSIGN(
            settings.throttleThreshold,
            reader.number("--yield-above", settings.throttleThreshold, 1U, maxYieldAbove));
    if (reader.find("--store-zone")) {
        BOOST_LEAF_AUTO(zone, reader.name("--store-zone"));
        settings.storeZone = ZoneName(zone);
    }
    return settings;
}

Result<EntrySettings> readEntry(const SettingsReader &reader)
{
    EntrySettings settings;
    BOOST_LEAF_AUTO(instance, reader.name("--instance"));
    BOOST_LEAF_AUTO(zone, reader.name("--zone"));
    settings.instance = InstanceId(instance);
    settings.zone = ZoneName(zone);
    BOOST_LEAF_ASSIGN(settings.httpAddress, reader.address("--listen"));
    BOOST_LEAF_ASSIGN(settings.peerAddress, reader.address("--peer-listen"));
    BOOST_LEAF_ASSIGN(settings.logAddress, reader.address("--log"));
    BOOST_LEAF_ASSIGN(settings.listAddress, reader.address("--list"));
    BOOST_LEAF_ASSIGN(settings.seedEntries, reader.optionalAddresses("--peers"));
    BOOST_LEAF_ASSIGN(settings.secret, reader.secret());
    BOOST_LEAF_ASSIGN(settings.snapshots.records,
                      reader.number<std::uint32_t>("--snapshot-records", defaultSnapshotRecords,
                                                   minSnapshotRecords, maxSnapshotRecords));
    BOOST_LEAF_ASSIGN(settings.snapshots.age,
                      reader.seconds("--snapshot-age", defaultSnapshotSeconds, maxSnapshotSeconds));
    BOOST_LEAF_ASSIGN(settings.requestTimeout,
                      reader.seconds("--request-limit", defaultRequestSeconds, maxRequestSeconds));
    BOOST_LEAF_ASSIGN(
            settings.maxQueueTime,
            reader.milliseconds("--longest-wait", defaultWaitMilliseconds, maxWaitMilliseconds));
    BOOST_LEAF_ASSIGN(settings.drainTimeout,
                      reader.seconds("--drain-limit", defaultDrainSeconds, maxDrainSeconds));
    BOOST_LEAF_ASSIGN(settings.drainNotice,
                      reader.seconds("--drain-notice", defaultNoticeSeconds, maxNoticeSeconds));
    const std::string token = reader.find("--bootstrap-token").value_or("");
    if (!token.empty() && !isDigest(token)) {
        return SettingsReader::invalidValue("--bootstrap-token", "(hidden)",
                                            "a SHA-256 digest of 64 lower-case hexadecimal digits");
    }
    settings.bootstrapToken = Digest(token);
    return settings;
}

Result<AgentSettings> readAgent(const SettingsReader &reader)
{
    AgentSettings settings;
    BOOST_LEAF_AUTO(instance, reader.name("--instance"));
    BOOST_LEAF_AUTO(zone, reader.name("--zone"));
    settings.instance = InstanceId(instance);
    settings.zone = ZoneName(zone);
    BOOST_LEAF_ASSIGN(settings.httpAddress, reader.address("--listen"));
    BOOST_LEAF_ASSIGN(settings.peerAddress, reader.address("--peer-listen"));
    BOOST_LEAF_ASSIGN(settings.logAddress, reader.address("--log"));
    BOOST_LEAF_ASSIGN(settings.storeAddress, reader.address("--store"));
    BOOST_LEAF_ASSIGN(settings.seedEntries, reader.optionalAddresses("--entries"));
    if (settings.seedEntries.empty() || reader.find("--list")) {
        BOOST_LEAF_ASSIGN(settings.listAddress, reader.address("--list"));
    }
    BOOST_LEAF_ASSIGN(settings.backendAddress, reader.address("--backend"));
    BOOST_LEAF_ASSIGN(settings.secret, reader.secret());
    BOOST_LEAF_ASSIGN(settings.weights, readWeights(reader));
    BOOST_LEAF_ASSIGN(settings.drainTimeout,
                      reader.seconds("--drain-limit", defaultDrainSeconds, maxDrainSeconds));
    if (reader.find("--service")) {
        BOOST_LEAF_AUTO(service, reader.name("--service"));
        settings.service = ServiceName(service);
        settings.backendKind = BackendKind::Service;
    }
    return settings;
}

Result<Arguments> parseArguments(const std::vector<std::string> &arguments)
{
    try {
        return docopt::docopt_parse(daemonUsage, arguments, false, false);
    } catch (const std::exception &e) {
        return fail(ErrorKind::InvalidRequest,
                    std::string("the command line is invalid: ") + e.what()
                            + "; see --help for the allowed options");
    }
}

/** Adds the role from the environment as a flag, because the usage requires --role as a flag. */
std::vector<std::string> withRole(std::vector<std::string> arguments,
                                  const Environment &environment)
{
    const bool hasRole = std::any_of(arguments.begin(), arguments.end(), [](const auto &argument) {
        return argument.starts_with("--role");
    });
    const auto variable = environment.find(variableNameFor("--role"));
    if (!hasRole && variable != environment.end()) {
        arguments.push_back("--role=" + variable->second);
    }
    return arguments;
}

} // namespace

Environment readEnvironment(const char *const *variables)
{
    Environment environment;
    for (; *variables != nullptr; ++variables) {
        const std::string variable = *variables;
        const std::size_t n = variable.find('=');
        if (n != std::string::npos && variable.starts_with(variablePrefix)) {
            environment.emplace(variable.substr(0, n), variable.substr(n + 1));
        }
    }
    return environment;
}

Result<DaemonSettings> readSettings(const std::vector<std::string> &arguments,
                                    const Environment &environment)
{
    BOOST_LEAF_AUTO(options, parseArguments(withRole(arguments, environment)));
    const SettingsReader reader(options, environment);
    DaemonSettings settings;
    settings.checkOnly = reader.isSet("--check-settings");
    BOOST_LEAF_ASSIGN(settings.logLevel, reader.logLevel());
    BOOST_LEAF_AUTO(role, reader.text("--role"));
    if (role == "entry") {
        BOOST_LEAF_ASSIGN(settings.role, readEntry(reader));
    } else if (role == "agent") {
        BOOST_LEAF_ASSIGN(settings.role, readAgent(reader));
    } else {
        return SettingsReader::invalidValue("--role", role, "entry or agent");
    }
    return settings;
}

} // namespace greengageseam
