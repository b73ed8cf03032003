#pragma once

// Tells whether an answer can be the whole body that its server was asked for, from its head. All
// who use or forward an answer ask it: requests are sent without a wish for codings or ranges, so
// an answer that states one is damaged.
//
//   if (const char *fault = bodyFault(head, BodyKind::Events))
//       log("invalid answer", fault);

#include "net/message.h"

namespace cicadafork {

enum class BodyKind {
    Any,
    Events, ///< Server-sent events.
};

/// What is wrong with a successful answer, for the log; null if its head shows nothing wrong.
/// Transfer codings other than chunks are turned down by the parser.
const char *bodyFault(const HttpResponseHead &head, BodyKind kind);

} // namespace cicadafork
