#include "sidecar/request_validation.hpp"

#include <event2/keyvalq_struct.h>

#include <string_view>

#include "sidecar/messages.hpp"
#include "sidecar/response_parser.hpp"

namespace lichenlanding::sidecar {
namespace {

bool isNamed(const evkeyval& header, const char* name) {
    return evutil_ascii_strcasecmp(header.key, name) == 0;
}

bool isValidUri(evhttp_request* request) {
    const auto* uri = evhttp_request_get_uri(request);
    if (!uri || *uri != '/' || !evhttp_request_get_evhttp_uri(request)) return false;
    for (const auto* character = uri; *character; ++character)
        if (*character <= ' ' || *character == 127) return false;
    return true;
}

bool isRepeatedLater(const evkeyval& header) {
    for (const auto* other = header.next.tqe_next; other; other = other->next.tqe_next)
        if (isNamed(header, other->key)) return true;
    return false;
}

}  // namespace

bool isUnambiguous(evhttp_request* request) {
    if (!isValidUri(request)) return false;
    int framings = 0;
    const auto* headers = evhttp_request_get_input_headers(request);
    for (const auto* header = headers->tqh_first; header; header = header->next.tqe_next) {
        if (!isHeaderName(header->key) || !isHeaderValue(header->value)) return false;
        if (mustBeUnique(header->key) && isRepeatedLater(*header)) return false;
        const bool isLength = isNamed(*header, "Content-Length");
        const bool isEncoding = isNamed(*header, "Transfer-Encoding");
        framings += isLength || isEncoding;
        if (isLength && !isContentLength(header->value)) return false;
        if (isEncoding && evutil_ascii_strcasecmp(header->value, "chunked") != 0) return false;
    }
    if (framings == 0) return true;
    if (framings > 1) return false;
    if (evhttp_request_get_command(request) == EVHTTP_REQ_POST) return true;
    const auto* length = evhttp_find_header(headers, "Content-Length");
    return length && std::string_view(length) == "0";
}

}  // namespace lichenlanding::sidecar
