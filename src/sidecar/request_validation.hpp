// Which requests of clients are accepted as HTTP.
#pragma once

#include "sidecar/event_loop.hpp"

namespace lichenlanding::sidecar {

/// False for what evhttp accepts though it can be read in two ways: two lengths, a length and chunks (the
/// body may hide another request), a body where the method has none, and names and values that no pod could
/// parse.
bool isUnambiguous(evhttp_request* request);

}  // namespace lichenlanding::sidecar
