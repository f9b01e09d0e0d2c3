#include "routing/local_reply.hpp"

namespace lichenlanding::routing {
namespace {

struct Description {
    int status;
    const char* text;
};

Description describe(LocalReplyDetail detail) {
    switch (detail) {
        case LocalReplyDetail::ambiguousRequest:
            return {400, "the request's end or id is ambiguous"};
        case LocalReplyDetail::unreadableRequest:
            return {400, "request cannot be read"};
        case LocalReplyDetail::missingAttemptId:
            return {400, "X-Attempt-Id is missing"};
        case LocalReplyDetail::invalidDeadline:
            return {400, "X-Deadline-Ms is no number"};
        case LocalReplyDetail::noRoute:
            return {404, "no route"};
        case LocalReplyDetail::requestTimeout:
            return {408, "request not read in time"};
        case LocalReplyDetail::bodyTooLarge:
            return {413, "body is larger than max_body_bytes"};
        case LocalReplyDetail::headerTooLarge:
            return {431, "header is larger than max_header_bytes"};
        case LocalReplyDetail::overloaded:
            return {503, "too many requests are in progress"};
        case LocalReplyDetail::noConfiguration:
            return {503, "no configuration yet"};
        case LocalReplyDetail::clientGone:
            return {503, "its client has gone"};
        case LocalReplyDetail::noHostAvailable:
            return {503, "no pod can take it now"};
        case LocalReplyDetail::upstreamConnectionLost:
            return {502, "the pod's answer was lost"};
        case LocalReplyDetail::upstreamTimeout:
            return {504, "the pod's answer was lost"};
    }
    return {500, ""};
}

}  // namespace

int LocalReply::status() const { return describe(detail).status; }

const char* LocalReply::text() const { return describe(detail).text; }

bool LocalReply::answerLost() const {
    return detail == LocalReplyDetail::upstreamConnectionLost || detail == LocalReplyDetail::upstreamTimeout;
}

}  // namespace lichenlanding::routing
