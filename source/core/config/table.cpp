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
class TableReader
{
public:
    Result<void> read(const CellPath &path, const std::string &value)
    {
        m_path = path.text();
        m_value = value;
        m_parts = split(m_path, '/');
        if (m_parts.size() > maxPathParts || !std::all_of(m_parts.begin(), m_parts.end(), isName)) {
            return refuse("a path whose parts are 1 to 64 letters, digits, '-', '_' or '.'");
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
        return refuse("a path that starts with model/, account/, service/, operator/ or limit/");
    }

    Result<Table> finish()
    {
        for (const auto &[key, row] : m_table.rows) {
            if (row.manifest.isEmpty()) {
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
        for (const auto &[name, person] : m_table.operators) {
            if (person.token.isEmpty()) {
                return fail(
                        ErrorKind::InvalidConfiguration,
                        "operator/" + name.text()
                                + "/token is empty: an operator requires the digest of its token");
            }
        }
        BOOST_LEAF_CHECK(checkDistinct());
        return m_table;
    }

private:
    boost::leaf::error_id refuse(const std::string &allowed) const
    {
        return fail(ErrorKind::InvalidConfiguration,
                    m_path + ": '" + m_value + "' is invalid; expected " + allowed);
    }

    Result<std::uint32_t> number(std::uint32_t least, std::uint32_t most) const
    {
        std::uint32_t n = 0;
        const char *end = m_value.data() + m_value.size();
        const auto [rest, ec] = std::from_chars(m_value.data(), end, n);
        if (ec != std::errc() || rest != end || n < least || n > most) {
            return refuse("a whole number from " + std::to_string(least) + " to "
                          + std::to_string(most));
        }
        return n;
    }

    Result<Digest> digest() const
    {
        if (!isDigest(m_value)) {
            return refuse("a SHA-256 digest of 64 lower-case hexadecimal digits");
        }
        return Digest(m_value);
    }

    Result<void> readModel()
    {
        const RowKey key {ModelName(m_parts[1]), VersionName(m_parts[2])};
        Row &row = m_table.rows[key];
        row.key = key;
        if (m_parts[3] == "manifest" && m_parts.size() == 4) {
            BOOST_LEAF_ASSIGN(row.manifest, digest());
            return {};
        }
        if (m_parts[3] == "replicas" && m_parts.size() == 5) {
            BOOST_LEAF_ASSIGN(row.replicas[ZoneName(m_parts[4])], number(0, maxReplicas));
            return {};
        }
        if (m_parts[3] == "weight" && m_parts.size() == 6 && m_parts[4] == "zone") {
            BOOST_LEAF_ASSIGN(row.zoneWeights[ZoneName(m_parts[5])], number(0, maxWeight));
            return {};
        }
        if (m_parts[3] == "weight" && m_parts.size() == 6 && m_parts[4] == "account") {
            BOOST_LEAF_ASSIGN(row.accountWeights[AccountName(m_parts[5])], number(0, maxWeight));
            return {};
        }
        return refuse("manifest, replicas/<zone>, weight/zone/<zone> or weight/account/<account>");
    }

    Result<void> readAccount()
    {
        const AccountName name(m_parts[1]);
        Account &account = m_table.accounts[name];
        account.name = name;
        if (m_parts[2] == "key") {
            BOOST_LEAF_ASSIGN(account.key, digest());
            return {};
        }
        if (m_parts[2] == "requests-per-second") {
            BOOST_LEAF_ASSIGN(account.requestsPerSecond, number(0, maxRate));
            return {};
        }
        if (m_parts[2] == "tokens-per-second") {
            BOOST_LEAF_ASSIGN(account.tokensPerSecond, number(0, maxRate));
            return {};
        }
        if (m_parts[2] == "concurrency") {
            BOOST_LEAF_ASSIGN(account.concurrency, number(0, maxConcurrency));
            return {};
        }
        if (m_parts[2] == "priority") {
            BOOST_LEAF_ASSIGN(account.priority, number(0, maxPriority));
            return {};
        }
        return refuse("key, requests-per-second, tokens-per-second, concurrency or priority");
    }

    Result<void> readService()
    {
        const ServiceName name(m_parts[1]);
        Service &service = m_table.services[name];
        service.name = name;
        if (m_parts[2] != "non-idempotent") {
            return refuse("the column non-idempotent");
        }
        if (m_value.empty()) {
            return {};
        }
        for (const std::string &call : split(m_value, ',')) {
            const Parts words = split(call, ' ');
            if (words.size() != 2 || words[0].empty() || words[1].empty() || words[1][0] != '/') {
                return refuse("a list such as 'POST /commits,PUT /bookings'");
            }
            service.nonIdempotent.push_back({words[0], words[1]});
        }
        return {};
    }

    Result<void> readOperator()
    {
        const OperatorName name(m_parts[1]);
        Operator &person = m_table.operators[name];
        person.name = name;
        if (m_parts[2] == "token") {
            BOOST_LEAF_ASSIGN(person.token, digest());
            return {};
        }
        if (m_parts[2] == "role" && (m_value == "viewer" || m_value == "operator")) {
            person.role = m_value == "viewer" ? Role::Viewer : Role::Operator;
            return {};
        }
        return refuse("token with a digest, or role with 'viewer' or 'operator'");
    }

    Result<void> readLimit()
    {
        if (m_parts[1] == "origin-copies") {
            BOOST_LEAF_ASSIGN(m_table.limits.originCopies, number(1, maxOriginCopies));
            return {};
        }
        if (m_parts[1] == "out-of-service") {
            BOOST_LEAF_ASSIGN(m_table.limits.outOfService, number(1, maxReplicas));
            return {};
        }
        return refuse("limit/origin-copies or limit/out-of-service");
    }

    /** Rejects duplicate manifests, keys and tokens: lookups by them would be ambiguous. */
    Result<void> checkDistinct() const
    {
        std::map<Digest, std::string> seen;
        for (const auto &[key, row] : m_table.rows) {
            const auto [it, isNew] = seen.emplace(row.manifest, key.model.text());
            if (!isNew) {
                return fail(ErrorKind::InvalidConfiguration,
                            "manifest " + row.manifest.text() + " is used by two model versions");
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
        for (const auto &[name, person] : m_table.operators) {
            const auto [it, isNew] = seen.emplace(person.token, name.text());
            if (!isNew) {
                return fail(ErrorKind::InvalidConfiguration,
                            "operators " + it->second + " and " + name.text()
                                    + " have the same token");
            }
        }
        return {};
    }

    Table m_table;
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

Weight Row::weight(const ZoneName &zone, const AccountName &account) const
{
    if (const auto it = accountWeights.find(account); it != accountWeights.end()) {
        return it->second;
    }
    const auto it = zoneWeights.find(zone);
    return it == zoneWeights.end() ? 0 : it->second;
}

bool Service::isRepeatable(const std::string &method, const std::string &path) const
{
    return std::none_of(nonIdempotent.begin(), nonIdempotent.end(), [&](const CallPattern &call) {
        return call.method == method && path.starts_with(call.pathPrefix);
    });
}

const Account *Table::accountWithKey(const Digest &key) const
{
    return findBy(accounts, &Account::key, key);
}

const Operator *Table::operatorWithToken(const Digest &token) const
{
    return findBy(operators, &Operator::token, token);
}

const Row *Table::rowWithManifest(const Digest &manifest) const
{
    return findBy(rows, &Row::manifest, manifest);
}

Result<Table> compileTable(const Sheet &sheet)
{
    TableReader reader;
    for (const auto &[path, cell] : sheet.cells()) {
        BOOST_LEAF_CHECK(reader.read(path, cell.value));
    }
    return reader.finish();
}

} // namespace greengageseam
