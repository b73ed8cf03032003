#pragma once

// What the settings file may hold, taken from the code that reads it.
//
//   fmt::print("{}", settingsTable(describeSettings()));

#include <string>
#include <vector>

namespace cicadafork {

struct SettingDescription
{
    std::string name; ///< With its section, for example "limits.max_streams".
    std::string unit;
    std::string range;
    std::string defaultValue; ///< "required" when there is none.
};

std::vector<SettingDescription> describeSettings();

/// One Markdown table row for each setting.
std::string settingsTable(const std::vector<SettingDescription> &settings);

} // namespace cicadafork
