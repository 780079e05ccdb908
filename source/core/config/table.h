/**
 * The table as the system uses it: the cells of a sheet, checked and with their types.
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

/** Share of requests; a version gets its weight over the sum of all weights of the model. */
using Weight = std::uint32_t;

/** Identifies a row: one version of one model. */
struct ModelVersionKey
{
    ModelName model;
    VersionName version;

    auto operator<=>(const ModelVersionKey &) const = default;
};

/** One version of a model: its weights in both senses, and how many replicas it wants. */
struct ModelVersion
{
    ModelVersionKey key;
    /** Digest of the manifest of the model's weights. */
    Digest manifest;
    std::map<ZoneName, Weight> zoneWeights;
    /** Weights that go before the zone's for these accounts. */
    std::map<AccountName, Weight> accountWeights;
    std::map<ZoneName, std::uint32_t> replicas;

    auto operator<=>(const ModelVersion &) const = default;

    /** @returns the weight for a request of @p account that arrives in @p zone */
    Weight weight(const ZoneName &zone, const AccountName &account) const;
};

/** A client account with its limits; a limit that is not set does not bind. */
struct Account
{
    AccountName name;
    /** Digest of the bearer key. */
    Digest key;
    std::optional<std::uint32_t> requestsPerSecond;
    std::optional<std::uint32_t> tokensPerSecond;
    std::optional<std::uint32_t> concurrency;
    /** 0 is the most important. */
    std::uint32_t priority = 1;

    auto operator<=>(const Account &) const = default;
};

/** A call of a plain service that must not be repeated. */
struct CallPattern
{
    std::string method;
    /** Start of the path below the service. */
    std::string pathPrefix;

    auto operator<=>(const CallPattern &) const = default;
};

/** A plain service. */
struct Service
{
    ServiceName name;
    std::vector<CallPattern> nonIdempotent;

    auto operator<=>(const Service &) const = default;

    /** @returns whether the call may be sent again after a failure */
    bool isIdempotent(const std::string &method, const std::string &path) const;
};

/** What an operator may do. */
enum class Role { Viewer, Operator };

/** Somebody who may use the administration API. */
struct Operator
{
    OperatorName name;
    Digest token;
    Role role = Role::Viewer;

    auto operator<=>(const Operator &) const = default;
};

/** Limits that hold for the whole fleet. */
struct FleetLimits
{
    /** How many copies of a version are read from the origin at most. */
    std::uint32_t originCopies = 1;
    /** How many replicas of a zone may be out of service at a time to change their version. */
    std::uint32_t outOfService = 1;

    auto operator<=>(const FleetLimits &) const = default;
};

/** The whole table. Immutable once made by compileTable(). */
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
    /** @returns the row that serves this manifest, or null */
    const ModelVersion *modelVersionWithManifest(const Digest &manifest) const;
};

/**
 * Checks all cells of a sheet and gives them their types.
 * @returns the table, or InvalidConfiguration with the path, the value and what is allowed
 */
Result<ConfigTable> compileTable(const RawTable &rawTable);

} // namespace greengageseam
