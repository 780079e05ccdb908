/**
 * HTTP requests and responses as plain values, independent of the HTTP library.
 */
#pragma once

#include "core/common/errors.h"

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace greengageseam {

/** Maximum number of interim heads (1xx) before a response. */
constexpr int maxInterimHeads = 8;

/** One header field. */
struct HttpHeader
{
    std::string name;
    std::string value;

    auto operator<=>(const HttpHeader &) const = default;
};

/** An HTTP request with its complete body. */
struct HttpRequest
{
    std::string method;
    /** Path and query exactly as sent by the client. */
    std::string target;
    std::vector<HttpHeader> headers;
    std::string body;

    auto operator<=>(const HttpRequest &) const = default;

    /**
     * Looks up a header field; names are compared without regard to case.
     * @returns the value of the first field of this name, or an empty optional
     */
    std::optional<std::string> header(std::string_view name) const;
    /** @returns the target without its query string */
    std::string path() const;
    /** @returns the percent-decoded value of a query parameter, or an empty optional */
    std::optional<std::string> parameter(std::string_view name) const;
    /** @returns the token of an `Authorization: Bearer` field, or an empty optional */
    std::optional<std::string> bearerToken() const;
    /**
     * Extracts the password of HTTP basic authentication, which browsers use.
     * @returns the password, or an empty optional if there is no valid `Authorization: Basic` field
     */
    std::optional<std::string> basicPassword() const;
};

using HttpRequestPtr = std::shared_ptr<const HttpRequest>;

/** An HTTP response with its complete body. */
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<HttpHeader> headers;
    std::string body;

    auto operator<=>(const HttpResponse &) const = default;
};

/**
 * Creates a problem details response (RFC 9457) for a failure.
 * @param ran whether the request was executed; may be more precise than what the failure's kind
 *     implies
 */
HttpResponse problemResponse(const Failure &failure, ExecutionStatus ran);

/**
 * Creates a problem details response (RFC 9457) for a failure. The failure's kind determines
 * whether the request counts as executed.
 */
HttpResponse problemResponse(const Failure &failure);

} // namespace greengageseam
