#include "query/statement.h"

#include "base/number.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace cicadafork {

namespace {

struct Token
{
    std::string text;
    std::size_t column = 0;
    bool quoted = false;
};

template <class Value>
struct Keyword
{
    const char *text;
    Value value;
};

constexpr std::array<Keyword<Subject>, 7> kSubjects = {{{"requests", Subject::Requests},
                                                        {"services", Subject::Services},
                                                        {"endpoints", Subject::Endpoints},
                                                        {"entry-vms", Subject::EntryVms},
                                                        {"workspaces", Subject::Workspaces},
                                                        {"configuration", Subject::Configuration},
                                                        {"history", Subject::History}}};

constexpr std::array<Keyword<Comparison>, 7> kComparisons = {{{"=", Comparison::Equal},
                                                              {"!=", Comparison::NotEqual},
                                                              {"<", Comparison::Less},
                                                              {"<=", Comparison::LessOrEqual},
                                                              {">", Comparison::Greater},
                                                              {">=", Comparison::GreaterOrEqual},
                                                              {"~", Comparison::Contains}}};

constexpr std::array<Keyword<CommandVerb>, 7> kVerbs = {{{"create", CommandVerb::Create},
                                                         {"change", CommandVerb::Change},
                                                         {"drain", CommandVerb::Drain},
                                                         {"undrain", CommandVerb::Undrain},
                                                         {"stop", CommandVerb::Stop},
                                                         {"load", CommandVerb::Load},
                                                         {"role", CommandVerb::Role}}};

constexpr std::array<Keyword<EntityKind>, 3> kKinds = {{{"workspace", EntityKind::Workspace},
                                                        {"service", EntityKind::Service},
                                                        {"endpoint", EntityKind::Endpoint}}};

template <class Table>
auto findKeyword(const Table &table, std::string_view text)
        -> std::optional<decltype(table.front().value)>
{
    for (const auto &keyword : table) {
        if (text == keyword.text)
            return keyword.value;
    }
    return std::nullopt;
}

template <class Table>
std::string keywordList(const Table &table)
{
    std::string text;
    for (const auto &keyword : table)
        text += fmt::format("{}{}", text.empty() ? "" : ", ", keyword.text);
    return text;
}

boost::leaf::error_id failAtColumn(std::size_t column, std::string_view problem, std::string remedy)
{
    return fail(ErrorCode::InvalidArgument, fmt::format("column {}: {}", column, problem),
                std::move(remedy));
}

bool isOperatorCharacter(char character)
{
    return std::string_view("=!<>~").find(character) != std::string_view::npos;
}

bool isSpace(char character)
{
    return character == ' ' || character == '\t' || character == '\n' || character == '\r';
}

Result<Token> readQuoted(std::string_view text, std::size_t &position)
{
    Token token{"", position + 1, true};
    const char quote = text[position++];
    while (position < text.size() && text[position] != quote)
        token.text += text[position++];
    if (position == text.size())
        return failAtColumn(token.column, "a quoted value is not terminated",
                            "add the closing quote");
    ++position;
    return token;
}

Token readUnquoted(std::string_view text, std::size_t &position)
{
    Token token{"", position + 1, false};
    const bool operatorToken = isOperatorCharacter(text[position]);
    while (position < text.size() && !isSpace(text[position])
           && isOperatorCharacter(text[position]) == operatorToken)
        token.text += text[position++];
    return token;
}

Result<std::vector<Token>> tokenize(std::string_view text)
{
    std::vector<Token> tokens;
    std::size_t position = 0;
    while (position < text.size()) {
        if (isSpace(text[position])) {
            ++position;
        } else if (text[position] == '"' || text[position] == '\'') {
            BOOST_LEAF_AUTO(token, readQuoted(text, position));
            tokens.push_back(std::move(token));
        } else {
            tokens.push_back(readUnquoted(text, position));
        }
    }
    tokens.push_back({"", text.size() + 1, false});
    return tokens;
}

/// Recursive-descent parser. The last token is empty and marks the end of the statement.
class Parser
{
public:
    explicit Parser(std::vector<Token> tokens)
        : tokens_(std::move(tokens))
    {
    }

    Result<Statement> parse()
    {
        if (accept("show"))
            return parseShow();
        if (accept("why"))
            return parseWhy();
        return parseCommand();
    }

private:
    const Token &peek() const { return tokens_[next_]; }
    bool atEnd() const { return next_ + 1 == tokens_.size(); }

    bool accept(std::string_view keyword)
    {
        if (peek().quoted || peek().text != keyword)
            return false;
        ++next_;
        return true;
    }

    Result<Token> take(std::string_view what, std::string remedy)
    {
        if (atEnd())
            return failAtColumn(peek().column, fmt::format("{} is missing", what),
                                std::move(remedy));
        return tokens_[next_++];
    }

    template <class Table>
    auto takeKeyword(const Table &table, std::string_view what)
            -> Result<decltype(table.front().value)>
    {
        const std::string remedy = fmt::format("write one of: {}", keywordList(table));
        BOOST_LEAF_AUTO(token, take(what, remedy));
        const auto value = findKeyword(table, token.text);
        if (!value || token.quoted)
            return failAtColumn(token.column, fmt::format("'{}' is not {}", token.text, what),
                                remedy);
        return *value;
    }

    Result<std::uint64_t> takeNumber(std::string_view what)
    {
        BOOST_LEAF_AUTO(token, take(what, "write a whole number"));
        const auto value = parseNumber<std::uint64_t>(token.text);
        if (!value) {
            return failAtColumn(token.column, fmt::format("'{}' is not a number", token.text),
                                "write a whole number");
        }
        return *value;
    }

    Result<void> expectEnd()
    {
        if (!atEnd()) {
            return failAtColumn(peek().column, fmt::format("unexpected '{}'", peek().text),
                                "end the statement here, or quote values that contain spaces");
        }
        return {};
    }

    Result<Condition> parseCondition()
    {
        BOOST_LEAF_AUTO(field, take("a field name", "write FIELD = VALUE"));
        BOOST_LEAF_AUTO(comparison, takeKeyword(kComparisons, "a comparison"));
        BOOST_LEAF_AUTO(value, take("a value", "write FIELD = VALUE"));
        return Condition{field.text, comparison, value.text, field.column};
    }

    Result<void> parseColumns(ShowStatement &show)
    {
        const std::string remedy = "write columns all, or columns FIELD,FIELD without spaces";
        BOOST_LEAF_AUTO(list, take("a field name", remedy));
        show.allColumns = list.text == "all";
        if (show.allColumns)
            return {};
        std::size_t begin = 0;
        while (begin <= list.text.size()) {
            const std::size_t end = std::min(list.text.find(',', begin), list.text.size());
            if (end == begin)
                return failAtColumn(list.column + begin, "a field name is missing", remedy);
            show.columns.push_back({list.text.substr(begin, end - begin), list.column + begin});
            begin = end + 1;
        }
        return {};
    }

    Result<Statement> parseShow()
    {
        ShowStatement show;
        BOOST_LEAF_ASSIGN(show.subject, takeKeyword(kSubjects, "a subject"));
        if (accept("columns"))
            BOOST_LEAF_CHECK(parseColumns(show));
        if (accept("where")) {
            do {
                BOOST_LEAF_AUTO(condition, parseCondition());
                show.conditions.push_back(std::move(condition));
            } while (accept("and"));
        }
        if (accept("order")) {
            if (!accept("by"))
                return failAtColumn(peek().column, "'by' is missing", "write order by FIELD");
            BOOST_LEAF_AUTO(field, take("a field name", "write order by FIELD"));
            show.ordering = Ordering{field.text, accept("desc"), field.column};
        }
        if (accept("limit")) {
            BOOST_LEAF_ASSIGN(show.limit, takeNumber("a limit"));
        }
        BOOST_LEAF_CHECK(expectEnd());
        return Statement(std::move(show));
    }

    Result<Statement> parseWhy()
    {
        BOOST_LEAF_AUTO(id, take("a request id", "write why REQUEST_ID"));
        BOOST_LEAF_CHECK(expectEnd());
        return Statement(WhyStatement{id.text});
    }

    Result<void> parseField(Command &command)
    {
        BOOST_LEAF_AUTO(field, take("a field name", "write FIELD=VALUE"));
        if (!accept("="))
            return failAtColumn(peek().column, "'=' is missing", "write FIELD=VALUE");
        BOOST_LEAF_AUTO(value, take("a value", "write FIELD=VALUE, or FIELD=\"\" to empty it"));
        if (!command.fields.emplace(field.text, value.text).second) {
            return failAtColumn(field.column, fmt::format("'{}' is given twice", field.text),
                                "give each field once");
        }
        return {};
    }

    Result<Statement> parseCommand()
    {
        CommandStatement statement;
        Command &command = statement.command;
        if (atEnd() || !findKeyword(kVerbs, peek().text)) {
            return failAtColumn(
                    peek().column,
                    atEnd() ? "the statement is empty"
                            : fmt::format("'{}' does not start a statement", peek().text),
                    fmt::format("start with show, why, {}", keywordList(kVerbs)));
        }
        BOOST_LEAF_ASSIGN(command.verb, takeKeyword(kVerbs, "a command"));
        BOOST_LEAF_ASSIGN(command.kind, takeKeyword(kKinds, "a kind"));
        BOOST_LEAF_AUTO(id, take("a name", "write the name of the entity"));
        command.entityId = id.text;
        while (!atEnd() && !(peek().text == "if" && !peek().quoted))
            BOOST_LEAF_CHECK(parseField(command));
        if (accept("if")) {
            if (!accept("version") || !accept("="))
                return failAtColumn(peek().column, "'version =' is missing",
                                    "write if version = N");
            BOOST_LEAF_ASSIGN(command.baseVersion, takeNumber("a version"));
            statement.versionGiven = true;
        }
        BOOST_LEAF_CHECK(expectEnd());
        return Statement(std::move(statement));
    }

    std::vector<Token> tokens_;
    std::size_t next_ = 0;
};

} // namespace

const char *toString(Subject subject)
{
    for (const auto &keyword : kSubjects) {
        if (keyword.value == subject)
            return keyword.text;
    }
    return "";
}

std::vector<std::string> defaultColumns(Subject subject)
{
    switch (subject) {
    case Subject::Requests:
        return {"id", "workspace", "service", "state", "endpoint", "idle_ms", "entry_vm"};
    case Subject::Endpoints:
        return {"id", "service", "failure_domain", "state", "running", "waiting", "report_age_ms"};
    case Subject::EntryVms:
        return {"id",    "failure_domain",   "caller_address",
                "alive", "heartbeat_age_ms", "next_offset"};
    case Subject::Services:
    case Subject::Workspaces:
    case Subject::Configuration:
    case Subject::History:
        break;
    }
    return {};
}

const char *grammarText()
{
    return R"(Statements (keywords are lower case, values with spaces or commas are quoted):
  show SUBJECT [columns all | columns FIELD,FIELD] [where FIELD OP VALUE {and FIELD OP VALUE}]
       [order by FIELD [desc]] [limit N]
       SUBJECT: requests services endpoints entry-vms workspaces configuration history
       OP: = != < <= > >= ~ (contains)
  why REQUEST_ID
  create workspace ID credential_sha256=HEX [services=A,B] [requests_per_second=N] [share=N]
  create service ID kind=model models=A,B [priority=urgent|normal|background]
         [adapters="MODEL=ADAPTER"] [model_versions="MODEL=VERSION"]
  create service ID kind=plain [non_repeatable=OPERATION,OPERATION]
  change workspace|service ID FIELD=VALUE {FIELD=VALUE}
  drain service|endpoint ID      no new requests; those in progress finish
  undrain service|endpoint ID    also starts a stopped service again
  stop service ID                also ends the requests that wait
  load endpoint ID models=MODEL[:ADAPTER][@VERSION],...
  role endpoint ID role=mixed|prefill|decode
  A command may end with "if version = N": it is refused when the entity has another version.
Examples:
  show requests where state = stuck and workspace = depot order by idle_ms desc
  change service reports priority=urgent if version = 12
)";
}

Result<Statement> parseStatement(std::string_view text)
{
    if (text.size() > kMaxStatementBytes) {
        return failAtColumn(kMaxStatementBytes + 1, "the statement is too long",
                            fmt::format("use at most {} bytes", kMaxStatementBytes));
    }
    BOOST_LEAF_AUTO(tokens, tokenize(text));
    BOOST_LEAF_AUTO(statement, Parser(std::move(tokens)).parse());
    if (auto *command = std::get_if<CommandStatement>(&statement))
        command->command.text = std::string(text);
    return statement;
}

} // namespace cicadafork
