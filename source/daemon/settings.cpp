#include "daemon/settings.h"

#include "core/common/hashing.h"
#include "daemon/daemonusage.h"
#include "daemon/settingsreader.h"

#include <algorithm>

namespace greengageseam {

namespace {

constexpr std::uint32_t maxRequestSeconds = 3600;
constexpr std::uint32_t maxDrainSeconds = 86400;
constexpr std::uint32_t minSnapshotRecords = 16;
constexpr std::uint32_t maxSnapshotRecords = 100'000;
constexpr std::uint32_t defaultSnapshotRecords = 256;
constexpr std::uint32_t maxSnapshotSeconds = 604'800;
constexpr std::uint32_t defaultSnapshotSeconds = 3600;
constexpr std::uint32_t maxYieldAbove = 100'000;
constexpr std::uint32_t defaultRequestSeconds = 120;
constexpr std::uint32_t defaultWaitMilliseconds = 500;
constexpr std::uint32_t maxWaitMilliseconds = 600'000;
constexpr std::uint32_t defaultDrainSeconds = 600;
constexpr std::uint32_t maxNoticeSeconds = 600;
constexpr std::uint32_t minDescriptors = 64;
constexpr std::uint32_t maxDescriptors = 10'000'000;
constexpr std::uint64_t bytesPerMegabyte = 1024UL * 1024;
constexpr std::uint64_t maxMemoryBytes = 1ULL << 50U;
constexpr std::uint32_t defaultNoticeSeconds = 3;

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
        if (!isEndpoint(address)) {
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

Result<ProcessLimits> readLimits(const SettingsReader &reader, const ProcessLimits &machine)
{
    ProcessLimits limits = machine;
    BOOST_LEAF_AUTO(memoryBytes,
                    reader.number("--memory-limit", machine.memoryMb * bytesPerMegabyte,
                                  bytesPerMegabyte, maxMemoryBytes));
    limits.memoryMb = static_cast<std::uint32_t>(memoryBytes / bytesPerMegabyte);
    BOOST_LEAF_ASSIGN(limits.descriptors,
                      reader.number("--descriptor-limit", machine.descriptors, minDescriptors,
                                    maxDescriptors));
    return limits;
}

/** Reads the settings with which both roles begin: names, addresses, limits of the process. */
template <typename RoleSettings>
Result<RoleSettings> readInstance(const SettingsReader &reader, const ProcessLimits &machine)
{
    RoleSettings settings;
    BOOST_LEAF_AUTO(instance, reader.name("--instance"));
    BOOST_LEAF_AUTO(zone, reader.name("--zone"));
    settings.instance = InstanceId(instance);
    settings.zone = ZoneName(zone);
    BOOST_LEAF_ASSIGN(settings.httpAddress, reader.address("--listen"));
    BOOST_LEAF_ASSIGN(settings.peerAddress, reader.address("--peer-listen"));
    BOOST_LEAF_ASSIGN(settings.logAddress, reader.address("--log"));
    BOOST_LEAF_ASSIGN(settings.limits, readLimits(reader, machine));
    return settings;
}

Result<EntrySettings> readEntry(const SettingsReader &reader, const ProcessLimits &machine)
{
    BOOST_LEAF_AUTO(settings, readInstance<EntrySettings>(reader, machine));
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

Result<AgentSettings> readAgent(const SettingsReader &reader, const ProcessLimits &machine)
{
    BOOST_LEAF_AUTO(settings, readInstance<AgentSettings>(reader, machine));
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

Result<DaemonSettings> readSettings(const std::vector<std::string> &arguments,
                                    const Environment &environment, const ProcessLimits &machine)
{
    BOOST_LEAF_AUTO(options, parseArguments(withRole(arguments, environment)));
    const SettingsReader reader(options, environment);
    DaemonSettings settings;
    settings.checkOnly = reader.isSet("--check-settings");
    BOOST_LEAF_ASSIGN(settings.logLevel, reader.logLevel());
    BOOST_LEAF_AUTO(role, reader.text("--role"));
    if (role == "entry") {
        BOOST_LEAF_ASSIGN(settings.role, readEntry(reader, machine));
    } else if (role == "agent") {
        BOOST_LEAF_ASSIGN(settings.role, readAgent(reader, machine));
    } else {
        return SettingsReader::invalidValue("--role", role, "entry or agent");
    }
    return settings;
}

} // namespace greengageseam
