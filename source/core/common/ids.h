/**
 * Identifiers of the system. Each has a distinct type, so that the compiler rejects a zone where an
 * account is expected.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace greengageseam {

/**
 * An immutable text identifier with a distinct type, ordered by its bytes.
 * @tparam Tag an incomplete type that distinguishes one kind of name from the others
 */
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text) : m_text(std::move(text)) { }

    const std::string &text() const { return m_text; }
    /** @returns true for a default-constructed or empty name */
    bool isEmpty() const { return m_text.empty(); }

    auto operator<=>(const Name &) const = default;

private:
    std::string m_text;
};

/** Name of a model, as callers state it in a request. */
using ModelName = Name<struct ModelTag>;
/** Name of one version of a model, chosen by an operator. */
using VersionName = Name<struct VersionTag>;
/** Name of an availability zone. */
using ZoneName = Name<struct ZoneTag>;
/** Name of a client account. */
using AccountName = Name<struct AccountTag>;
/** Name of a plain service: an HTTP service that is not a model-serving engine. */
using ServiceName = Name<struct ServiceTag>;
/** Name of an operator who may use the administration API. */
using OperatorName = Name<struct OperatorTag>;
/** Name of one instance of this system: an entry or an agent. */
using InstanceId = Name<struct InstanceTag>;
/** Identifier of a change to the configuration table, chosen by the proposer. */
using ChangeId = Name<struct ChangeTag>;
/** Identifier of a caller's request. */
using RequestId = Name<struct RequestTag>;
/** Identifier of one attempt to execute a request on a backend server. */
using AttemptId = Name<struct AttemptTag>;
/** SHA-256 digest as 64 lower-case hexadecimal digits. */
using Digest = Name<struct DigestTag>;
/** Network address of a process: `<numeric IP address>:<port>`. */
using Address = Name<struct AddressTag>;

/** Position in a stream of the platform's log; the first record has offset 1. */
struct Offset
{
    std::uint64_t value = 0;

    auto operator<=>(const Offset &) const = default;
};

} // namespace greengageseam

/** Allows names as keys of unordered containers. */
template <typename Tag>
struct std::hash<greengageseam::Name<Tag>>
{
    std::size_t operator()(const greengageseam::Name<Tag> &name) const
    {
        return std::hash<std::string>()(name.text());
    }
};
