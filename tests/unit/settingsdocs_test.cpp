#include "query/statement.h"
#include "settings/settingsdescription.h"

#include <fstream>
#include <sstream>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace cicadafork;

namespace {

std::string operatingPage()
{
    std::ifstream file(CICADAFORK_SOURCE_DIR "/docs/OPERATING.md");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string section(const std::string &page, const std::string &heading)
{
    const std::size_t begin = page.find("\n## " + heading + "\n");
    if (begin == std::string::npos)
        return "";
    return page.substr(begin, page.find("\n## ", begin + 1) - begin);
}

} // namespace

TEST_GROUP(SettingsDocs){};

// Guards against a page that names a setting, range or default which the code does not have, or
// lacks one that it has. The remedy: paste the output of cicadafork check-config --describe.
TEST(SettingsDocs, settingsTableOfThePageIsThatOfTheCode)
{
    std::istringstream lines(section(operatingPage(), "Settings"));
    std::string documented;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with("| `"))
            documented += line + "\n";
    }
    STRCMP_EQUAL(settingsTable(describeSettings()).c_str(), documented.c_str());
}

// Guards against a grammar on the page that the parser does not have; both print grammarText().
TEST(SettingsDocs, grammarOfThePageIsThatOfTheHelp)
{
    std::istringstream lines(grammarText());
    const std::string page = section(operatingPage(), "Operators' language");
    for (std::string line; std::getline(lines, line);)
        STRCMP_CONTAINS(line.c_str(), page.c_str());
}
