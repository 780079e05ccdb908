/**
 * Names and numbers by which the system refers to things, each a type of its own so that a zone
 * cannot be passed where an account is wanted.
 */
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace greengageseam {

/** An immutable text with a type of its own, ordered by its bytes. */
template <typename Tag>
class Name
{
public:
    Name() = default;
    explicit Name(std::string text) : m_text(std::move(text)) { }

    /** @returns the name as text */
    const std::string &text() const { return m_text; }
    /** @returns whether no name was given */
    bool isEmpty() const { return m_text.empty(); }

    auto operator<=>(const Name &) const = default;

private:
    std::string m_text;
};

/** Name of a model as callers give it in a request. */
using ModelName = Name<struct ModelTag>;
/** Name that operators give to one version of a model. */
using VersionName = Name<struct VersionTag>;
/** Name of an availability zone. */
using ZoneName = Name<struct ZoneTag>;
/** Name of a client account. */
using AccountName = Name<struct AccountTag>;
/** Name of a plain service. */
using ServiceName = Name<struct ServiceTag>;
/** Name of an operator who may use the administration API. */
using OperatorName = Name<struct OperatorTag>;
/** Name of one instance of this system: an entry or an agent. */
using InstanceId = Name<struct InstanceTag>;
/** Identifier of a change of the table, chosen by the proposer. */
using ChangeId = Name<struct ChangeTag>;
/** Identifier of a caller's request. */
using RequestId = Name<struct RequestTag>;
/** Identifier of one attempt to run a request at a backend server. */
using AttemptId = Name<struct AttemptTag>;
/** SHA-256 of some bytes, as 64 lower-case hexadecimal digits. */
using Digest = Name<struct DigestTag>;
/** Address of a process: a numeric IP address, a colon and a port. */
using Address = Name<struct AddressTag>;

/** Position in a stream of the platform's log; the first record has position 1. */
struct Offset
{
    std::uint64_t value = 0;

    auto operator<=>(const Offset &) const = default;
};

} // namespace greengageseam

/** Lets names be keys of unordered containers. */
template <typename Tag>
struct std::hash<greengageseam::Name<Tag>>
{
    std::size_t operator()(const greengageseam::Name<Tag> &name) const
    {
        return std::hash<std::string>()(name.text());
    }
};
