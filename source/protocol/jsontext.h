/**
 * Helpers that read members of JSON objects and report missing or mistyped members as errors.
 */
#pragma once

#include "core/common/errors.h"

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengageseam {

/**
 * Parses a JSON object. The nesting depth is limited.
 * @returns the object, or InvalidRequest if the text is not a JSON object
 */
Result<boost::json::object> parseObject(std::string_view text);

/** @returns a string member, or InvalidRequest if it is missing or has another type */
Result<std::string> stringMember(const boost::json::object &object, std::string_view key);

/** @returns a member that is a non-negative integer, or InvalidRequest */
Result<std::uint64_t> numberMember(const boost::json::object &object, std::string_view key);

/** @returns an array member, or InvalidRequest if it is missing or has another type */
Result<boost::json::array> arrayMember(const boost::json::object &object, std::string_view key);

/** @returns an object member, or InvalidRequest if it is missing or has another type */
Result<boost::json::object> objectMember(const boost::json::object &object, std::string_view key);

} // namespace greengageseam
