#include "support/cpuusage.h"

#include <fmt/format.h>

#include <unistd.h>

#include <fstream>
#include <sstream>
#include <string>

namespace cicadafork::test {

double cpuSeconds(pid_t process)
{
    // Fields 14 and 15, user and system time in clock ticks; the name in field 2 may hold spaces.
    constexpr int kFieldsBeforeTimes = 11;
    std::ifstream file(fmt::format("/proc/{}/stat", process));
    std::string line;
    std::getline(file, line);
    const std::size_t nameEnd = line.rfind(')');
    if (nameEnd == std::string::npos)
        return 0;
    std::istringstream fields(line.substr(nameEnd + 1));
    std::string skipped;
    for (int i = 0; i < kFieldsBeforeTimes; ++i)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t residentBytes(pid_t process)
{
    std::ifstream file(fmt::format("/proc/{}/statm", process));
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

} // namespace cicadafork::test
