#pragma once

// Describes the supported settings, generated from the code that reads them.
//
//   fmt::print("{}", settingsTable(describeSettings()));

#include <string>
#include <vector>

namespace cicadafork {

struct SettingDescription
{
    std::string name; ///< Qualified by its section, for example "limits.max_streams".
    std::string unit;
    std::string range;
    std::string defaultValue; ///< "required" for a setting without a default.
};

std::vector<SettingDescription> describeSettings();

/// Formats the settings as a Markdown table with one row per setting.
std::string settingsTable(const std::vector<SettingDescription> &settings);

} // namespace cicadafork
