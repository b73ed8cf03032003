#pragma once

// The platform's template language for settings, with the values of one VM.
//
//   const std::string yaml = renderTemplate(text, {{"zone", "a"}, {"zones", {{"a", "north"}}}});
//
// {{a.b}} gives a value, {{a|json}} the same as JSON; {{#a}} .. {{/a}} is rendered once for each
// entry of a list or table, in which {{.}} is the entry, {{@}} its key or index and {{,}} a comma
// except after the last entry. What is absent renders as nothing.

#include <nlohmann/json.hpp>

#include <string>

namespace cicadafork::test {

std::string renderTemplate(const std::string &text, const nlohmann::json &values);

} // namespace cicadafork::test
