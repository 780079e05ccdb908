#include "core/config/table.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace greengageseam {

namespace {

constexpr std::uint32_t maxWeight = 10'000;
constexpr std::uint32_t maxReplicas = 10'000;
constexpr std::uint32_t maxRate = 10'000'000;
constexpr std::uint32_t maxConcurrency = 1'000'000;
constexpr std::uint32_t maxPriority = 9;
constexpr std::uint32_t maxOriginCopies = 64;
constexpr std::size_t maxNameLength = 64;
constexpr std::size_t maxPathParts = 6;

using Parts = std::vector<std::string>;

Parts split(std::string_view text, char separator)
{
    Parts parts;
    while (true) {
        const std::size_t n = text.find(separator);
        parts.emplace_back(text.substr(0, n));
        if (n == std::string_view::npos) {
            return parts;
        }
        text.remove_prefix(n + 1);
    }
}

bool isName(const std::string &text)
{
    const auto allowed = [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9')
                || c == '-' || c == '_' || c == '.';
    };
    return !text.empty() && text.size() <= maxNameLength
            && std::all_of(text.begin(), text.end(), allowed);
}

/** Builds a table from cells, one cell at a time. */
class TableCompiler
{
public:
    Result<void> read(const CellPath &path, const std::string &value)
    {
        m_path = path.text();
        m_value = value;
        m_parts = split(m_path, '/');
        if (m_parts.size() > maxPathParts || !std::all_of(m_parts.begin(), m_parts.end(), isName)) {
            return rejectValue("a path whose parts are 1 to 64 letters, digits, '-', '_' or '.'");
        }
        if (m_parts[0] == "model" && m_parts.size() >= 4) {
            return readModel();
        }
        if (m_parts[0] == "account" && m_parts.size() == 3) {
            return readAccount();
        }
        if (m_parts[0] == "service" && m_parts.size() == 3) {
            return readService();
        }
        if (m_parts[0] == "operator" && m_parts.size() == 3) {
            return readOperator();
        }
        if (m_parts[0] == "limit" && m_parts.size() == 2) {
            return readLimit();
        }
        return rejectValue(
                "a path that starts with model/, account/, service/, operator/ or limit/");
    }

    Result<ConfigTable> finish()
    {
        for (const auto &[key, modelVersion] : m_table.modelVersions) {
            if (modelVersion.manifest.isEmpty()) {
                return fail(ErrorKind::InvalidConfiguration,
                            "model/" + key.model.text() + "/" + key.version.text()
                                    + "/manifest is empty: a model version requires the digest of "
                                      "its manifest");
            }
        }
        for (const auto &[name, account] : m_table.accounts) {
            if (account.key.isEmpty()) {
                return fail(ErrorKind::InvalidConfiguration,
                            "account/" + name.text()
                                    + "/key is empty: an account requires the digest of its key");
            }
        }
        for (const auto &[name, user] : m_table.operators) {
            if (user.token.isEmpty()) {
                return fail(
                        ErrorKind::InvalidConfiguration,
                        "operator/" + name.text()
                                + "/token is empty: an operator requires the digest of its token");
            }
        }
        BOOST_LEAF_CHECK(checkUnique());
        return m_table;
    }

private:
    boost::leaf::error_id rejectValue(const std::string &allowed) const
    {
        return fail(ErrorKind::InvalidConfiguration,
                    m_path + ": '" + m_value + "' is invalid; expected " + allowed);
    }

    Result<std::uint32_t> parseNumber(std::uint32_t minimum, std::uint32_t maximum) const
    {
        std::uint32_t n = 0;
        const char *end = m_value.data() + m_value.size();
        const auto [parsedEnd, ec] = std::from_chars(m_value.data(), end, n);
        if (ec != std::errc() || parsedEnd != end || n < minimum || n > maximum) {
            return rejectValue("a whole number from " + std::to_string(minimum) + " to "
                               + std::to_string(maximum));
        }
        return n;
    }

    Result<Digest> parseDigest() const
    {
        if (!isDigest(m_value)) {
            return rejectValue("a SHA-256 digest of 64 lower-case hexadecimal digits");
        }
        return Digest(m_value);
    }

    Result<void> readModel()
    {
        const ModelVersionKey key {ModelName(m_parts[1]), VersionName(m_parts[2])};
        ModelVersion &modelVersion = m_table.modelVersions[key];
        modelVersion.key = key;
        if (m_parts[3] == "manifest" && m_parts.size() == 4) {
            BOOST_LEAF_ASSIGN(modelVersion.manifest, parseDigest());
            return {};
        }
        if (m_parts[3] == "replicas" && m_parts.size() == 5) {
            BOOST_LEAF_ASSIGN(modelVersion.replicas[ZoneName(m_parts[4])],
                              parseNumber(0, maxReplicas));
            return {};
        }
        if (m_parts[3] == "weight" && m_parts.size() == 6 && m_parts[4] == "zone") {
            BOOST_LEAF_ASSIGN(modelVersion.zoneWeights[ZoneName(m_parts[5])],
                              parseNumber(0, maxWeight));
            return {};
        }
        if (m_parts[3] == "weight" && m_parts.size() == 6 && m_parts[4] == "account") {
            BOOST_LEAF_ASSIGN(modelVersion.accountWeights[AccountName(m_parts[5])],
                              parseNumber(0, maxWeight));
            return {};
        }
        return rejectValue(
                "manifest, replicas/<zone>, weight/zone/<zone> or weight/account/<account>");
    }

    Result<void> readAccount()
    {
        const AccountName name(m_parts[1]);
        Account &account = m_table.accounts[name];
        account.name = name;
        if (m_parts[2] == "key") {
            BOOST_LEAF_ASSIGN(account.key, parseDigest());
            return {};
        }
        if (m_parts[2] == "requests-per-second") {
            BOOST_LEAF_ASSIGN(account.requestsPerSecond, parseNumber(0, maxRate));
            return {};
        }
        if (m_parts[2] == "tokens-per-second") {
            BOOST_LEAF_ASSIGN(account.tokensPerSecond, parseNumber(0, maxRate));
            return {};
        }
        if (m_parts[2] == "concurrency") {
            BOOST_LEAF_ASSIGN(account.concurrency, parseNumber(0, maxConcurrency));
            return {};
        }
        if (m_parts[2] == "priority") {
            BOOST_LEAF_ASSIGN(account.priority, parseNumber(0, maxPriority));
            return {};
        }
        return rejectValue("key, requests-per-second, tokens-per-second, concurrency or priority");
    }

    Result<void> readService()
    {
        const ServiceName name(m_parts[1]);
        Service &service = m_table.services[name];
        service.name = name;
        if (m_parts[2] != "non-idempotent") {
            return rejectValue("the column non-idempotent");
        }
        if (m_value.empty()) {
            return {};
        }
        for (const std::string &call : split(m_value, ',')) {
            const Parts words = split(call, ' ');
            if (words.size() != 2 || words[0].empty() || words[1].empty() || words[1][0] != '/') {
                return rejectValue("a list such as 'POST /commits,PUT /bookings'");
            }
            service.nonIdempotent.push_back({words[0], words[1]});
        }
        return {};
    }

    Result<void> readOperator()
    {
        const OperatorName name(m_parts[1]);
        Operator &user = m_table.operators[name];
        user.name = name;
        if (m_parts[2] == "token") {
            BOOST_LEAF_ASSIGN(user.token, parseDigest());
            return {};
        }
        if (m_parts[2] == "role" && (m_value == "viewer" || m_value == "operator")) {
            user.role = m_value == "viewer" ? Role::Viewer : Role::Operator;
            return {};
        }
        return rejectValue("token with a digest, or role with 'viewer' or 'operator'");
    }

    Result<void> readLimit()
    {
        if (m_parts[1] == "origin-copies") {
            BOOST_LEAF_ASSIGN(m_table.limits.originCopies, parseNumber(1, maxOriginCopies));
            return {};
        }
        if (m_parts[1] == "out-of-service") {
            BOOST_LEAF_ASSIGN(m_table.limits.outOfService, parseNumber(1, maxReplicas));
            return {};
        }
        return rejectValue("limit/origin-copies or limit/out-of-service");
    }

    /** Rejects duplicate manifests, keys and tokens: lookups by them would be ambiguous. */
    Result<void> checkUnique() const
    {
        std::map<Digest, std::string> seen;
        for (const auto &[key, modelVersion] : m_table.modelVersions) {
            const auto [it, isNew] = seen.emplace(modelVersion.manifest, key.model.text());
            if (!isNew) {
                return fail(ErrorKind::InvalidConfiguration,
                            "manifest " + modelVersion.manifest.text()
                                    + " is used by two model versions");
            }
        }
        seen.clear();
        for (const auto &[name, account] : m_table.accounts) {
            const auto [it, isNew] = seen.emplace(account.key, name.text());
            if (!isNew) {
                return fail(ErrorKind::InvalidConfiguration,
                            "accounts " + it->second + " and " + name.text()
                                    + " have the same key");
            }
        }
        seen.clear();
        for (const auto &[name, user] : m_table.operators) {
            const auto [it, isNew] = seen.emplace(user.token, name.text());
            if (!isNew) {
                return fail(ErrorKind::InvalidConfiguration,
                            "operators " + it->second + " and " + name.text()
                                    + " have the same token");
            }
        }
        return {};
    }

    ConfigTable m_table;
    std::string m_path;
    std::string m_value;
    Parts m_parts;
};

/** @returns the first mapped value whose member equals @p wanted, or null */
template <typename Map, typename Member, typename Wanted>
const typename Map::mapped_type *findBy(const Map &map, Member member, const Wanted &wanted)
{
    const auto it = std::find_if(map.begin(), map.end(),
                                 [&](const auto &entry) { return entry.second.*member == wanted; });
    return it == map.end() ? nullptr : &it->second;
}

} // namespace

Weight ModelVersion::weight(const ZoneName &zone, const AccountName &account) const
{
    if (const auto it = accountWeights.find(account); it != accountWeights.end()) {
        return it->second;
    }
    const auto it = zoneWeights.find(zone);
    return it == zoneWeights.end() ? 0 : it->second;
}

bool Service::isIdempotent(const std::string &method, const std::string &path) const
{
    return std::none_of(nonIdempotent.begin(), nonIdempotent.end(), [&](const CallPattern &call) {
        return call.method == method && path.starts_with(call.pathPrefix);
    });
}

const Account *ConfigTable::accountWithKey(const Digest &key) const
{
    return findBy(accounts, &Account::key, key);
}

const Operator *ConfigTable::operatorWithToken(const Digest &token) const
{
    return findBy(operators, &Operator::token, token);
}

const ModelVersion *ConfigTable::modelVersionWithManifest(const Digest &manifest) const
{
    return findBy(modelVersions, &ModelVersion::manifest, manifest);
}

Result<ConfigTable> compileTable(const RawTable &rawTable)
{
    TableCompiler compiler;
    for (const auto &[path, cell] : rawTable.cells()) {
        BOOST_LEAF_CHECK(compiler.read(path, cell.value));
    }
    return compiler.finish();
}

} // namespace greengageseam
