/**
 * Hooks that convert between HTTP header fields and the values they carry. They keep the names of
 * the header fields out of the request-handling tasks.
 */
#pragma once

#include "core/fleet/requestmetadata.h"
#include "net/http.h"
#include "net/httpconnection.h"

#include <functional>
#include <string>
#include <vector>

namespace greengageseam {

/** Encodes and decodes requests and responses in HTTP. */
struct CallCodec
{
    /** Decodes the header fields of a caller's request. */
    std::function<RequestMetadata(const HttpRequest &request)> decodeRequestMetadata;
    /** Serializes the head of a request for a backend server; its body follows unchanged. */
    std::function<std::string(const HttpRequest &request, const UpstreamRequestMetadata &fields)>
            encodeUpstreamRequest;
    /** Decodes the header fields of a response from a backend server. */
    std::function<ResponseMetadata(const HttpResponseHead &head)> decodeResponseMetadata;
    /** Selects the header fields of a response that are forwarded to the caller. */
    std::function<std::vector<HttpHeader>(const HttpResponseHead &head)> forwardedFields;
};

} // namespace greengageseam
