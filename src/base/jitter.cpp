#include "base/jitter.h"

#include <random>

namespace cicadafork {

Millis randomMillis(Millis least, Millis most)
{
    thread_local std::minstd_rand random{std::random_device{}()};
    std::uniform_int_distribution<Millis::rep> pick(least.count(), most.count());
    return Millis(pick(random));
}

} // namespace cicadafork
