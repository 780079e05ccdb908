/**
 * HTTP messages as values, apart from the library that reads and writes them.
 */
#pragma once

#include "core/common/errors.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengageseam {

/** One header field. */
struct HttpHeader
{
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader &) const = default;
};

/** A request. */
struct HttpRequest
{
    std::string method;
    /** Path with query, as sent. */
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;

    auto operator<=>(const HttpRequest &) const = default;

    /** @returns the first field of this name, whatever its case, or nothing */
    std::optional<std::string> header(std::string_view name) const;
    /** @returns the target without its query */
    std::string path() const;
    /** @returns a parameter of the query, decoded, or nothing */
    std::optional<std::string> parameter(std::string_view name) const;
    /** @returns the token of an `Authorization: Bearer` field, or nothing */
    std::optional<std::string> bearerToken() const;
    /** @returns the password of an `Authorization: Basic` field, or nothing; for browsers */
    std::optional<std::string> basicPassword() const;
};

/** A response. */
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;

    auto operator<=>(const HttpResponse &) const = default;
};

/** @returns the problem details (RFC 9457) of a failure; @p ran may say more than its kind */
HttpResponse problemResponse(const Failure &failure, ExecutionStatus ran);

/** @returns the problem details of a failure, with what its kind says of the run */
HttpResponse problemResponse(const Failure &failure);

} // namespace greengageseam
