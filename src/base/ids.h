#pragma once

// Identifiers. A UUIDv7 carries its creation time, so that a reader can refuse one that is too old.
//
//   std::string id = newUuidV7(wallNow());
//   std::optional<WallTime> created = uuidV7Time(id);

#include "base/clock.h"

#include <optional>
#include <string>
#include <string_view>

namespace cicadafork {

/// A random UUID of version 7 (RFC 9562) in its 36-character lower-case form.
std::string newUuidV7(WallTime now);

/// Creation time held in a UUIDv7; nothing if the text is not one.
std::optional<WallTime> uuidV7Time(std::string_view text);

} // namespace cicadafork
