#pragma once

// What makes the head of an HTTP/1.1 message sound, beyond its syntax. All readers of requests and
// responses ask these rules.
//
//   if (const char *fault = headFault(head))
//       log("invalid answer", fault);

#include "net/message.h"

namespace cicadafork {

/// True if names are tokens, values hold no control characters, and every recipient determines the
/// same length of the body.
bool isWellFormed(const HeaderList &headers);

/// What is wrong with the head of a response, for the log; null if nothing is.
const char *headFault(const HttpResponseHead &head);

/// True if a body follows whose length the head does not state, so that it extends to the end of
/// the connection.
bool statesNoLength(const HttpResponseHead &head);

} // namespace cicadafork
