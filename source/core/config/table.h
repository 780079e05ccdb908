/**
 * The compiled configuration table: the cells of a RawTable, validated and converted to types.
 */
#pragma once

#include "core/common/common.h"
#include "core/config/cells.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace greengageseam {

/**
 * Relative traffic weight. A version receives the share of requests that is its weight divided by
 * the sum of the weights of all versions of the model.
 */
using Weight = std::uint32_t;

/** Identifies one version of one model. */
struct ModelVersionKey
{
    ModelName model;
    VersionName version;

    auto operator<=>(const ModelVersionKey &) const = default;
};

/** One version of a model: its manifest, its traffic weights and its replica counts. */
struct ModelVersion
{
    ModelVersionKey key;
    /** Digest of the manifest that describes the model's weights. */
    Digest manifest;
    std::map<ZoneName, Weight> zoneWeights;
    /** Traffic weights for single accounts; they override zoneWeights. */
    std::map<AccountName, Weight> accountWeights;
    std::map<ZoneName, std::uint32_t> replicas;

    auto operator<=>(const ModelVersion &) const = default;

    /** @returns the traffic weight for a request of @p account that arrives in @p zone */
    Weight weight(const ZoneName &zone, const AccountName &account) const;
};

/** A client account and its limits; an unset limit means unlimited. */
struct Account
{
    AccountName name;
    /** Digest of the bearer key. */
    Digest key;
    std::optional<std::uint32_t> requestsPerSecond;
    std::optional<std::uint32_t> tokensPerSecond;
    std::optional<std::uint32_t> concurrency;
    /** Priority under load; 0 is the highest. */
    std::uint32_t priority = 1;

    auto operator<=>(const Account &) const = default;
};

/** Matches calls of a plain service that are not idempotent. */
struct CallPattern
{
    std::string method;
    /** Prefix of the path, relative to the service. */
    std::string pathPrefix;

    auto operator<=>(const CallPattern &) const = default;
};

/** A plain service, and which of its calls must not be retried. */
struct Service
{
    ServiceName name;
    std::vector<CallPattern> nonIdempotent;

    auto operator<=>(const Service &) const = default;

    /** @returns whether a call is idempotent, so that it may be retried after a failure */
    bool isIdempotent(const std::string &method, const std::string &path) const;
};

/** Permissions of an operator. */
enum class Role { Viewer, Operator };

/** A user of the administration API. */
struct Operator
{
    OperatorName name;
    Digest token;
    Role role = Role::Viewer;

    auto operator<=>(const Operator &) const = default;
};

/** Limits that apply to the whole fleet. */
struct FleetLimits
{
    /** Maximum number of copies of a version that are read from the origin. */
    std::uint32_t originCopies = 1;
    /** Maximum number of replicas per zone that may be out of service at once to change version. */
    std::uint32_t outOfService = 1;

    auto operator<=>(const FleetLimits &) const = default;
};

/** The compiled configuration table, as compileTable() returns it. Treated as immutable. */
struct ConfigTable
{
    std::map<ModelVersionKey, ModelVersion> modelVersions;
    std::map<AccountName, Account> accounts;
    std::map<ServiceName, Service> services;
    std::map<OperatorName, Operator> operators;
    FleetLimits limits;

    bool operator==(const ConfigTable &) const = default;

    /** @returns the account whose key has this digest, or null */
    const Account *accountWithKey(const Digest &key) const;
    /** @returns the operator whose token has this digest, or null */
    const Operator *operatorWithToken(const Digest &token) const;
    /** @returns the model version with this manifest, or null */
    const ModelVersion *modelVersionWithManifest(const Digest &manifest) const;
};

/**
 * Validates all cells and converts them to their types.
 * @returns the table, or InvalidConfiguration with the path, the value and the permitted values
 */
Result<ConfigTable> compileTable(const RawTable &rawTable);

} // namespace greengageseam
