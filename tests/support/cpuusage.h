#pragma once

// CPU time and memory of processes, from /proc.
//
//   const double before = cpuSeconds(pid);
//   ... work ...
//   const double cores = (cpuSeconds(pid) - before) / wallSeconds;

#include <sys/types.h>

#include <cstddef>

namespace cicadafork::test {

/// User and system time of all threads so far, in seconds; 0 when there is no such process.
double cpuSeconds(pid_t process);

/// Resident memory in bytes; 0 when there is no such process.
std::size_t residentBytes(pid_t process);

} // namespace cicadafork::test
