#pragma once

// Facts about the machine that runs the tests.

#include <string>

namespace cicadafork::test {

/// Directory of the built programs, from CICADAFORK_BIN_DIR; "build" when it is not set.
std::string binaryDirectory();

} // namespace cicadafork::test
