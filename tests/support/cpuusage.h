#pragma once

// CPU time of processes, from /proc.
//
//   const double before = cpuSeconds(pid);
//   ... work ...
//   const double cores = (cpuSeconds(pid) - before) / wallSeconds;

#include <sys/types.h>

namespace cicadafork::test {

/// User and system time of all threads so far, in seconds; 0 when there is no such process.
double cpuSeconds(pid_t process);

} // namespace cicadafork::test
