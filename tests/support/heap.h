#pragma once

// Memory of this process that is allocated and not freed, whatever it keeps for later allocations.

#include <malloc.h>

#include <cstddef>

namespace cicadafork::test {

inline std::size_t bytesInUse()
{
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

} // namespace cicadafork::test
