#pragma once

// Differences between two versions of a text, small when most of the text is the same.
//
//   const std::string delta = makeDelta(versionSeven, versionEight);
//   Result<std::string> text = applyDelta(versionSeven, delta, kLongestText);
//
// A delta does not say which texts it belongs to: send a hash of the result with it.

#include "base/error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace cicadafork {

/// Steps that turn the base into the target: ranges of the base and new bytes.
std::string makeDelta(std::string_view base, std::string_view target);

/// InvalidArgument when the delta cannot be read, names bytes outside the base, or makes a text
/// longer than maxBytes.
Result<std::string> applyDelta(std::string_view base, std::string_view delta, std::size_t maxBytes);

} // namespace cicadafork
