#include "base/jitter.h"

#include <random>

namespace cicadafork {

namespace {

std::minstd_rand &generator()
{
    thread_local std::minstd_rand random{std::random_device{}()};
    return random;
}

} // namespace

Millis randomMillis(Millis least, Millis most)
{
    std::uniform_int_distribution<Millis::rep> pick(least.count(), most.count());
    return Millis(pick(generator()));
}

double randomShare()
{
    return std::uniform_real_distribution<double>(0, 1)(generator());
}

} // namespace cicadafork
