#include "support/environment.h"

#include <cstdlib>

namespace cicadafork::test {

std::string binaryDirectory()
{
    const char *directory = std::getenv("CICADAFORK_BIN_DIR");
    return directory ? directory : "build";
}

} // namespace cicadafork::test
