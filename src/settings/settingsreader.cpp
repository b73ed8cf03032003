#include "settings/settingsreader.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdint>
#include <fstream>
#include <limits>
#include <optional>
#include <set>
#include <sstream>

namespace cicadafork {

namespace {

struct Unit
{
    std::string_view name;
    std::uint64_t factor;
};

/// Parses a decimal number followed by one of the units. Returns nullopt for any other text and for
/// a result of more than 63 bits.
std::optional<std::uint64_t> parseWithUnit(std::string_view text, const std::vector<Unit> &units)
{
    std::uint64_t number = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (parsed.ec != std::errc() || parsed.ptr == text.data())
        return std::nullopt;
    const std::string_view unit = text.substr(static_cast<std::size_t>(parsed.ptr - text.data()));
    const std::uint64_t limit = std::numeric_limits<std::int64_t>::max();
    for (const Unit &candidate : units) {
        if (candidate.name == unit && number <= limit / candidate.factor)
            return number * candidate.factor;
    }
    return std::nullopt;
}

int lineOfNode(const YAML::Node &node)
{
    return node.Mark().line + 1;
}

} // namespace

SectionReader::SectionReader(const YAML::Node &node, std::string path, int line,
                             SettingsProblems &problems,
                             std::vector<SettingDescription> *descriptions)
    : node_(node)
    , path_(std::move(path))
    , line_(line)
    , problems_(problems)
    , descriptions_(descriptions)
{
    if (node_.IsDefined() && !node_.IsNull() && !node_.IsMap()) {
        problems_.push_back({line_,
                             path_.empty() ? "the file is not a mapping"
                                           : fmt::format("'{}' is not a mapping", path_),
                             "write one 'key: value' per line"});
        node_ = YAML::Node();
    }
}

std::string SectionReader::fullName(const std::string &key) const
{
    return path_.empty() ? key : path_ + "." + key;
}

void SectionReader::report(const YAML::Node &node, const std::string &key,
                           const std::string &problem, const std::string &remedy)
{
    problems_.push_back({lineOfNode(node), fmt::format("'{}' {}", fullName(key), problem), remedy});
}

void SectionReader::describe(const std::string &key, const std::string &unit,
                             const std::string &range, const std::string &defaultValue)
{
    if (descriptions_)
        descriptions_->push_back({fullName(key), unit, range, defaultValue});
}

YAML::Node SectionReader::take(const std::string &key, Presence presence)
{
    known_.push_back(key);
    if (node_.IsMap()) {
        const YAML::Node &map = node_;
        const YAML::Node found = map[key];
        if (found.IsDefined())
            return found;
    }
    if (presence == Presence::Required) {
        problems_.push_back({line_, fmt::format("'{}' is missing", fullName(key)),
                             fmt::format("add the key '{}'", fullName(key))});
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

int SectionReader::lineOf(const std::string &key) const
{
    if (node_.IsMap()) {
        const YAML::Node found = node_[key];
        if (found.IsDefined())
            return lineOfNode(found);
    }
    return line_;
}

void SectionReader::text(const std::string &key, std::string &target, Presence presence)
{
    describe(key, "text", "not empty", presence == Presence::Required ? "required" : target);
    const YAML::Node node = take(key, presence);
    if (!node)
        return;
    const bool isEmpty = node.IsNull() || (node.IsScalar() && node.Scalar().empty());
    if (isEmpty && presence == Presence::MayBeEmpty)
        return;
    if (!node.IsScalar() || node.Scalar().empty())
        return report(node, key, "is not a string", "write a non-empty string");
    target = node.Scalar();
}

void SectionReader::texts(const std::string &key, std::map<std::string, std::string> &target)
{
    describe(key, "mapping of texts", "any", "empty");
    const YAML::Node node = take(key, Presence::Optional);
    if (!node || node.IsNull())
        return;
    if (!node.IsMap())
        return report(node, key, "is not a mapping", "write one 'name: text' per line");
    for (const auto &entry : node) {
        if (!entry.first.IsScalar() || !(entry.second.IsScalar() || entry.second.IsNull()))
            return report(node, key, "has an entry that is not a text", "write 'name: text'");
        if (entry.second.IsScalar() && !entry.second.Scalar().empty())
            target[entry.first.Scalar()] = entry.second.Scalar();
    }
}

void SectionReader::address(const std::string &key, Address &target, Presence presence)
{
    describe(key, "IPV4:PORT", "any",
             presence == Presence::Required ? "required" : toString(target));
    const YAML::Node node = take(key, presence);
    if (!node)
        return;
    if (!node.IsScalar())
        return report(node, key, "is not an address", "write IPV4:PORT");
    const auto parsed = capture([&] { return parseAddress(node.Scalar()); });
    if (!parsed)
        return report(node, key, "is invalid: " + parsed.error().message, parsed.error().remedy);
    target = *parsed;
}

void SectionReader::duration(const std::string &key, Millis &target, Millis minimum, Millis maximum)
{
    describe(key, "duration (ms, s, min)",
             fmt::format("{}ms to {}ms", minimum.count(), maximum.count()),
             fmt::format("{}ms", target.count()));
    const YAML::Node node = take(key, Presence::Optional);
    if (!node)
        return;
    const auto parsed = node.IsScalar() ? parseWithUnit(node.Scalar(),
                                                        {{"ms", 1}, {"s", 1000}, {"min", 60'000}})
                                        : std::nullopt;
    if (!parsed)
        return report(node, key, "is not a duration", "write a number with ms, s or min, as in 5s");
    const Millis value(static_cast<Millis::rep>(*parsed));
    if (value < minimum || value > maximum) {
        return report(node, key, "is out of range",
                      fmt::format("use {}ms to {}ms", minimum.count(), maximum.count()));
    }
    target = value;
}

void SectionReader::size(const std::string &key, std::size_t &target, std::size_t minimum,
                         std::size_t maximum)
{
    describe(key, "number (KiB, MiB, GiB)", fmt::format("{} to {}", minimum, maximum),
             std::to_string(target));
    const YAML::Node node = take(key, Presence::Optional);
    if (!node)
        return;
    const auto parsed = node.IsScalar() ? parseWithUnit(
                                node.Scalar(),
                                {{"", 1}, {"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}})
                                        : std::nullopt;
    if (!parsed)
        return report(node, key, "is not a size", "write a number, or one with KiB, MiB or GiB");
    if (*parsed < minimum || *parsed > maximum)
        return report(node, key, "is out of range", fmt::format("use {} to {}", minimum, maximum));
    target = *parsed;
}

void SectionReader::fraction(const std::string &key, double &target, double minimum, double maximum)
{
    describe(key, "fraction", fmt::format("{} to {}", minimum, maximum), fmt::format("{}", target));
    const YAML::Node node = take(key, Presence::Optional);
    if (!node)
        return;
    double value = 0;
    if (!YAML::convert<double>::decode(node, value) || !std::isfinite(value))
        return report(node, key, "is not a number", "write a number, as in 0.1");
    if (value < minimum || value > maximum)
        return report(node, key, "is out of range", fmt::format("use {} to {}", minimum, maximum));
    target = value;
}

SectionReader SectionReader::section(const std::string &key)
{
    const YAML::Node node = take(key, Presence::Optional);
    const bool present = node.IsDefined();
    return SectionReader(present ? node : YAML::Node(), fullName(key),
                         present ? lineOfNode(node) : line_, problems_, descriptions_);
}

void SectionReader::reportUnknownKeys()
{
    if (!node_.IsMap())
        return;
    std::set<std::string> seen;
    for (const auto &entry : node_) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "?";
        if (std::find(known_.begin(), known_.end(), key) == known_.end())
            report(entry.first, key, "is not a known key", "remove it or correct its spelling");
        else if (!seen.insert(key).second)
            report(entry.first, key, "appears twice", "keep one of the two");
    }
}

void readLogLevel(SectionReader &root, LogLevel &target)
{
    root.choice("log_level", target,
                {{"debug", LogLevel::Debug},
                 {"info", LogLevel::Info},
                 {"warning", LogLevel::Warning},
                 {"error", LogLevel::Error}});
}

Result<void>
readSettingsText(const std::string &text, const std::string &name,
                 const std::function<void(const YAML::Node &, SettingsProblems &)> &read)
{
    SettingsProblems problems;
    try {
        read(YAML::Load(text), problems);
    } catch (const YAML::Exception &exception) {
        problems.push_back({std::max(exception.mark.line, 0) + 1,
                            "not valid YAML: " + exception.msg, "correct the syntax"});
    }
    if (problems.empty())
        return {};
    std::stable_sort(problems.begin(), problems.end(),
                     [](const auto &left, const auto &right) { return left.line < right.line; });
    std::string message;
    for (const SettingsProblem &problem : problems) {
        message += fmt::format("{}{}:{}: {}; {}", message.empty() ? "" : "\n", name, problem.line,
                               problem.problem, problem.remedy);
    }
    return fail(ErrorCode::InvalidArgument, message, "correct the settings file");
}

Result<std::string> settingsFileText(const std::string &path)
{
    std::ifstream file(path);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) {
        return fail(ErrorCode::NotFound,
                    fmt::format("{}:1: the file cannot be read; check the path and its permissions",
                                path),
                    "check the path and its permissions");
    }
    return text.str();
}

} // namespace cicadafork
