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

Each option can be given by an environment variable as well: --log-level by
GREENGAGESEAM_LOG_LEVEL, and so on. A flag goes before its variable.

Options:
  --role=<role>               What the process is: entry or agent.
  --instance=<name>           Name of this instance, unique in the deployment.
  --zone=<name>               Availability zone of this instance.
  --listen=<address>          HTTP address, as 10.0.0.1:8080.
  --peer-listen=<address>     Address for other processes of the system.
  --secret=<text>             Secret that all processes share, of at least 16 characters.
  --log=<address>             The platform's log service.
  --list=<address>            The platform's list of instances; an agent may do without.
  --bootstrap-token=<digest>  SHA-256 of a token that counts as an operator's while the
                              table names no operator (entry).
  --snapshot-records=<n>      A snapshot is appended to the log after so many records,
                              16 to 100000 (entry). Unset: 256.
  --snapshot-age=<seconds>    A snapshot is appended when the last is so old, 1 to 604800;
                              well below the log's retention (entry). Unset: 3600.
  --request-limit=<seconds>   Longest time for a request, 1 to 3600 (entry). Unset: 120.
  --longest-wait=<ms>         Milliseconds that a request waits at most for a backend server
                              that is free, 1 to 600000 (entry). Unset: 500.
  --peers=<addresses>         Peer addresses of other entries, with commas; may be unset when
                              the platform's list has them (entry).
  --store=<address>           The weight store (agent).
  --entries=<addresses>       Peer addresses of the zone's entries, with commas; may be unset
                              when the platform's list has them (agent).
  --backend=<address>         HTTP address of the backend server (agent).
  --service=<name>            The plain service behind the agent; unset for an engine.
  --drain-notice=<seconds>    Time from the signal to stop to the end of listening, 1 to 600
                              (entry). Unset: 3.
  --link-rate=<bytes>         Bytes a second of the machine's link that weights may use each way
                              (agent). Unset: without limit.
  --zone-link-rate=<bytes>    Bytes a second that this agent may read from other zones (agent).
                              Unset: without limit.
  --weight-memory=<bytes>     Bytes of weights that are held at most (agent). Unset: without limit.
  --store-zone=<name>         Zone of the weight store (agent). Unset: none is nearer.
  --far-peers=<peers>         Agents of other zones to read weights from, as
                              zone/instance@address, with commas (agent).
  --yield-above=<requests>    Live requests in progress beyond which weights get half the link,
                              1 to 100000 (agent). Unset: 32.
  --drain-limit=<seconds>     Longest time that a shutdown waits, 1 to 86400. Unset: 600.
  --log-level=<level>         error, warning, info or debug. Unset: info.
  --check-settings            Check the settings, and end.
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

/** The command line as docopt gives it. */
using Arguments = std::map<std::string, docopt::value>;

std::string variableNameFor(const std::string &flag)
{
    std::string name = variablePrefix;
    for (const char c : flag.substr(2)) {
        name.push_back(c == '-' ? '_' : static_cast<char>(std::toupper(c)));
    }
    return name;
}

/** Looks settings up by their flags, and checks them. */
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
                        flag + " is missing; set it or " + variableNameFor(flag));
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
                                "a numeric IP address, ':' and a port, as 127.0.0.1:8080");
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
                return invalidValue(flag, address.text(),
                                    "numeric addresses with commas between them");
            }
            list.push_back(address);
            position = n + 1;
        }
        return list;
    }

    /** @returns no address if the setting is unset or empty */
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

    /** @returns bytes, or bytes a second; 0, which is without limit, if it is not set */
    Result<std::uint64_t> bytes(const std::string &flag) const
    {
        return number<std::uint64_t>(flag, 0, 1, maxBytes);
    }

    /** @returns a whole number within the bounds, or @p unset */
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
                                "a whole number from " + std::to_string(minimum) + " to "
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
                    flag + ": '" + value + "' is not allowed; allowed is " + allowed);
    }

private:
    Arguments m_options;
    const Environment &m_environment;
};

/** Reads agents of other zones, as zone/instance@address with commas between them. */
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
                    std::string("the command line is not understood: ") + e.what()
                            + "; --help lists what is allowed");
    }
}

/** The role may come from the environment, but the usage wants it as a flag. */
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
