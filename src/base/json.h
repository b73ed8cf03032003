#pragma once

// Parsing of JSON that another process sent.
//
//   const nlohmann::json body = parseJson(request.body);
//   if (!body.is_object())
//       return badBody(...);

#include <nlohmann/json.hpp>

#include <cstddef>
#include <string_view>

namespace cicadafork {

/// The library copies and writes values recursively: an object that held 100,000 nested arrays
/// overflowed the stack of the thread that wrote it. No message of the system needs more than 10.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// Never throws; the value is discarded (is_discarded()) when the text is not JSON or nests deeper
/// than kMaxJsonDepth.
nlohmann::json parseJson(std::string_view text);

} // namespace cicadafork
