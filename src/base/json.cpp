#include "base/json.h"

namespace cicadafork {

namespace {

/// Depth of arrays and objects; in text that is not JSON any value, the parser refuses it.
bool isTooDeep(std::string_view text)
{
    std::size_t depth = 0;
    bool inString = false;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (inString) {
            if (character == '\\')
                ++i;
            inString = character != '"';
        } else if (character == '"') {
            inString = true;
        } else if (character == '[' || character == '{') {
            if (++depth > kMaxJsonDepth)
                return true;
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return false;
}

} // namespace

nlohmann::json parseJson(std::string_view text)
{
    if (isTooDeep(text))
        return {nlohmann::json::value_t::discarded};
    return nlohmann::json::parse(text, nullptr, false);
}

} // namespace cicadafork
