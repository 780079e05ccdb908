/**
 * Small helpers to read members of JSON objects with clear errors.
 */
#pragma once

#include "core/common/errors.h"

#include <boost/json.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace greengageseam {

/** @returns the object that @p text holds, or InvalidRequest; bounded in depth */
Result<boost::json::object> parseObject(std::string_view text);

/** @returns a text member, or InvalidRequest if it is missing or of another type */
Result<std::string> stringMember(const boost::json::object &object, std::string_view key);

/** @returns a member that is a whole number of at least 0, or InvalidRequest */
Result<std::uint64_t> numberMember(const boost::json::object &object, std::string_view key);

/** @returns an array member, or InvalidRequest */
Result<boost::json::array> arrayMember(const boost::json::object &object, std::string_view key);

/** @returns an object member, or InvalidRequest */
Result<boost::json::object> objectMember(const boost::json::object &object, std::string_view key);

} // namespace greengageseam
