// Validation of the HTTP of client requests.
#pragma once

#include "sidecar/event_loop.hpp"

namespace lichenlanding::sidecar {

/// False for requests that evhttp accepts although they are ambiguous: two lengths, a length and chunks (the
/// body may then smuggle another request), a body where the method has none, and header names and values that
/// no pod could parse.
bool isUnambiguous(evhttp_request* request);

}  // namespace lichenlanding::sidecar
