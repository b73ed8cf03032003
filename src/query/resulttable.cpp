#include "query/resulttable.h"

#include "base/number.h"

#include <fmt/format.h>

#include <algorithm>

namespace cicadafork {

namespace {

/// Returns a negative, zero or positive number, as strcmp() does.
int compareValues(const std::string &left, const std::string &right)
{
    const auto leftNumber = parseNumber<double>(left);
    const auto rightNumber = parseNumber<double>(right);
    if (leftNumber && rightNumber)
        return *leftNumber < *rightNumber ? -1 : (*leftNumber > *rightNumber ? 1 : 0);
    return left.compare(right);
}

bool matches(const Condition &condition, const std::string &value)
{
    const int order = compareValues(value, condition.value);
    switch (condition.comparison) {
    case Comparison::Equal:
        return order == 0;
    case Comparison::NotEqual:
        return order != 0;
    case Comparison::Less:
        return order < 0;
    case Comparison::LessOrEqual:
        return order <= 0;
    case Comparison::Greater:
        return order > 0;
    case Comparison::GreaterOrEqual:
        return order >= 0;
    case Comparison::Contains:
        return value.find(condition.value) != std::string::npos;
    }
    return false;
}

Result<std::size_t> columnIndex(const ResultTable &table, const std::string &field,
                                std::size_t column)
{
    const auto found = std::find(table.columns.begin(), table.columns.end(), field);
    if (found != table.columns.end())
        return static_cast<std::size_t>(found - table.columns.begin());
    return fail(ErrorCode::InvalidArgument,
                fmt::format("column {}: '{}' is not a field of this subject", column, field),
                fmt::format("use one of: {}", fmt::join(table.columns, ", ")));
}

Result<void> selectColumns(ResultTable &table, const std::vector<ColumnName> &columns)
{
    if (columns.empty())
        return {};
    ResultTable selected;
    selected.rows.resize(table.rows.size());
    for (const ColumnName &name : columns) {
        BOOST_LEAF_AUTO(index, columnIndex(table, name.field, name.column));
        selected.columns.push_back(name.field);
        for (std::size_t row = 0; row < table.rows.size(); ++row)
            selected.rows[row].push_back(table.rows[row][index]);
    }
    table.columns = std::move(selected.columns);
    table.rows = std::move(selected.rows);
    return {};
}

/// Replaces control characters, which could manipulate the reader's terminal: values can come from
/// untrusted callers.
std::string replaceControlCharacters(std::string text)
{
    std::replace_if(
            text.begin(), text.end(),
            [](unsigned char character) { return character < ' ' || character == 0x7f; }, ' ');
    return text;
}

std::string formatUnanswered(const ResultTable &table)
{
    if (table.unanswered.empty())
        return "";
    return fmt::format("no answer from: {}\n", fmt::join(table.unanswered, ", "));
}

} // namespace

Result<void> applyShow(ResultTable &table, const ShowStatement &show)
{
    for (const Condition &condition : show.conditions) {
        BOOST_LEAF_AUTO(index, columnIndex(table, condition.field, condition.column));
        std::erase_if(table.rows,
                      [&](const auto &row) { return !matches(condition, row.at(index)); });
    }
    if (show.ordering) {
        BOOST_LEAF_AUTO(index, columnIndex(table, show.ordering->field, show.ordering->column));
        const bool descending = show.ordering->descending;
        std::stable_sort(table.rows.begin(), table.rows.end(),
                         [&](const auto &left, const auto &right) {
                             const int order = compareValues(left.at(index), right.at(index));
                             return descending ? order > 0 : order < 0;
                         });
    }
    if (table.rows.size() > show.limit)
        table.rows.resize(show.limit);
    return selectColumns(table, show.columns);
}

Result<void> mergeRows(ResultTable &table, const ResultTable &other)
{
    if (table.columns != other.columns) {
        return fail(ErrorCode::Unavailable, "a member returned a table with different columns",
                    "run the same version of cicadafork on all entry VMs");
    }
    table.rows.insert(table.rows.end(), other.rows.begin(), other.rows.end());
    return {};
}

std::string formatTable(const ResultTable &table)
{
    std::vector<std::size_t> widths;
    for (std::size_t column = 0; column < table.columns.size(); ++column) {
        std::size_t width = table.columns[column].size();
        for (const auto &row : table.rows)
            width = std::max(width, row[column].size());
        widths.push_back(width);
    }
    std::string text;
    const auto appendLine = [&](const std::vector<std::string> &values) {
        std::string line;
        for (std::size_t column = 0; column < values.size(); ++column)
            fmt::format_to(std::back_inserter(line), "{:<{}}  ",
                           replaceControlCharacters(values[column]), widths[column]);
        line.erase(line.find_last_not_of(' ') + 1);
        text += line + '\n';
    };
    appendLine(table.columns);
    for (const auto &row : table.rows)
        appendLine(row);
    fmt::format_to(std::back_inserter(text), "{} row{}\n", table.rows.size(),
                   table.rows.size() == 1 ? "" : "s");
    return text + formatUnanswered(table);
}

std::string formatRecords(const ResultTable &table)
{
    std::size_t width = 0;
    for (const std::string &column : table.columns)
        width = std::max(width, column.size());
    std::string text;
    for (const auto &row : table.rows) {
        for (std::size_t column = 0; column < row.size(); ++column)
            fmt::format_to(std::back_inserter(text), "{:<{}}  {}\n", table.columns[column] + ":",
                           width + 1, replaceControlCharacters(row[column]));
    }
    return text + formatUnanswered(table);
}

nlohmann::json toJson(const ResultTable &table)
{
    return {{"columns", table.columns}, {"rows", table.rows}, {"unanswered", table.unanswered}};
}

Result<ResultTable> resultTableFromJson(const nlohmann::json &json)
{
    ResultTable table;
    bool valid = true;
    try {
        json.at("columns").get_to(table.columns);
        json.at("rows").get_to(table.rows);
        json.at("unanswered").get_to(table.unanswered);
        for (const auto &row : table.rows)
            valid = valid && row.size() == table.columns.size();
    } catch (const nlohmann::json::exception &) {
        valid = false;
    }
    if (!valid) {
        return fail(ErrorCode::Unavailable, "a member sent a malformed result table",
                    "run the same version of cicadafork on all entry VMs");
    }
    return table;
}

} // namespace cicadafork
