#include "support/settingstemplate.h"

#include <sstream>

namespace cicadafork::test {

namespace {

using Json = nlohmann::json;

/// The entry of a section that is being rendered.
struct Entry
{
    const Json *value = nullptr;
    std::string key;
    bool last = false;
};

const Json *lookUp(const Json &values, const std::string &path)
{
    const Json *at = &values;
    std::istringstream names(path);
    for (std::string name; std::getline(names, name, '.');) {
        if (!at->is_object() || !at->contains(name))
            return nullptr;
        at = &(*at)[name];
    }
    return at;
}

std::string textOf(const Json *value, bool asJson)
{
    if (!value)
        return {};
    return value->is_string() && !asJson ? value->get<std::string>() : value->dump();
}

std::string valueOf(const std::string &tag, const Json &values, const Entry &entry)
{
    const std::size_t bar = tag.find('|');
    const std::string name = tag.substr(0, bar);
    const bool asJson = bar != std::string::npos && tag.substr(bar + 1) == "json";
    if (name == "@")
        return entry.key;
    if (name == ",")
        return entry.last ? "" : ",";
    return textOf(name == "." ? entry.value : lookUp(values, name), asJson);
}

std::string render(const std::string &text, const Json &values, const Entry &entry);

std::string renderSection(const std::string &body, const Json *section, const Json &values)
{
    std::string rendered;
    if (!section || !section->is_structured())
        return rendered;
    std::size_t index = 0;
    for (auto item = section->begin(); item != section->end(); ++item, ++index) {
        const std::string key = section->is_object() ? item.key() : std::to_string(index);
        rendered += render(body, values, {&*item, key, index + 1 == section->size()});
    }
    return rendered;
}

std::string render(const std::string &text, const Json &values, const Entry &entry)
{
    std::string rendered;
    std::size_t at = 0;
    for (std::size_t open = text.find("{{"); open != std::string::npos;
         open = text.find("{{", at)) {
        const std::size_t close = text.find("}}", open);
        const std::string tag = text.substr(open + 2, close - open - 2);
        rendered += text.substr(at, open - at);
        at = close + 2;
        if (!tag.starts_with('#')) {
            rendered += valueOf(tag, values, entry);
            continue;
        }
        const std::string name = tag.substr(1);
        const std::string end = "{{/" + name + "}}";
        const std::size_t bodyEnd = text.find(end, at);
        rendered += renderSection(text.substr(at, bodyEnd - at), lookUp(values, name), values);
        at = bodyEnd + end.size();
    }
    return rendered + text.substr(at);
}

} // namespace

std::string renderTemplate(const std::string &text, const Json &values)
{
    return render(text, values, {});
}

} // namespace cicadafork::test
