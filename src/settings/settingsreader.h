#pragma once

// Internal: reads one mapping of a settings file and records every problem with its line number.
//
//   SectionReader limits(node, "limits", line, problems);
//   limits.size("max_streams", settings.maxStreams, 1, 100'000);
//   limits.reportUnknownKeys();

#include "base/clock.h"
#include "base/log.h"
#include "http/address.h"
#include "settings/settingsdescription.h"

#include <yaml-cpp/yaml.h>

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace cicadafork {

struct SettingsProblem
{
    int line = 0; ///< 1-based.
    std::string problem;
    std::string remedy;
};

using SettingsProblems = std::vector<SettingsProblem>;

enum class Presence {
    Required,
    Optional,
    MayBeEmpty, ///< Optional, and an empty value counts as absent.
};

class SectionReader
{
public:
    /// Reports a node that is not a mapping; a null node is treated as an empty mapping.
    /// If descriptions is set, a description of every setting read is appended to it.
    SectionReader(const YAML::Node &node, std::string path, int line, SettingsProblems &problems,
                  std::vector<SettingDescription> *descriptions = nullptr);

    void text(const std::string &key, std::string &target, Presence presence);
    /// Reads a mapping of names to texts. Entries without a text are left out.
    void texts(const std::string &key, std::map<std::string, std::string> &target);
    void address(const std::string &key, Address &target, Presence presence);
    /// Accepts a whole number with the unit ms, s or min, for example "250ms".
    void duration(const std::string &key, Millis &target, Millis minimum, Millis maximum);
    /// Accepts a whole number, optionally with the unit KiB, MiB or GiB.
    void size(const std::string &key, std::size_t &target, std::size_t minimum,
              std::size_t maximum);
    void fraction(const std::string &key, double &target, double minimum, double maximum);

    template <class Value>
    void choice(const std::string &key, Value &target,
                std::initializer_list<std::pair<const char *, Value>> values)
    {
        std::string known;
        std::string present;
        for (const auto &[name, value] : values) {
            known += known.empty() ? name : std::string(", ") + name;
            if (value == target)
                present = name;
        }
        describe(key, "word", known, present);
        const YAML::Node node = take(key, Presence::Optional);
        if (!node)
            return;
        std::string names;
        for (const auto &[name, value] : values) {
            if (node.IsScalar() && node.Scalar() == name) {
                target = value;
                return;
            }
            names += names.empty() ? name : std::string(", ") + name;
        }
        report(node, key, "has an unknown value", "use one of " + names);
    }

    /// Returns a reader for a nested mapping, which is empty when the key is absent.
    SectionReader section(const std::string &key);

    /// Returns the line of a key, or the line of the section when the key is absent.
    int lineOf(const std::string &key) const;

    /// Must be called after all keys have been read. Also reports duplicate keys.
    void reportUnknownKeys();

private:
    void describe(const std::string &key, const std::string &unit, const std::string &range,
                  const std::string &defaultValue);
    YAML::Node take(const std::string &key, Presence presence);
    void report(const YAML::Node &node, const std::string &key, const std::string &problem,
                const std::string &remedy);
    std::string fullName(const std::string &key) const;

    YAML::Node node_;
    std::string path_;
    int line_;
    SettingsProblems &problems_;
    std::vector<SettingDescription> *descriptions_;
    std::vector<std::string> known_;
};

/// Reads the key log_level: debug, info, warning or error.
void readLogLevel(SectionReader &root, LogLevel &target);

/// Parses YAML text and passes the document to read. Fails with InvalidArgument when the text is
/// not valid YAML or read adds problems. The message has one line per problem, in file order, and
/// uses name as the file name.
Result<void>
readSettingsText(const std::string &text, const std::string &name,
                 const std::function<void(const YAML::Node &, SettingsProblems &)> &read);

/// Returns the content of a settings file. Fails with NotFound when it cannot be read.
Result<std::string> settingsFileText(const std::string &path);

} // namespace cicadafork
