#pragma once

#include <yaml/yaml_error.hpp>
#include <yaml/yaml_value.hpp>

#include <absl/container/flat_hash_set.h>
#include <algorithm>
#include <array>
#include <charconv>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

/// Reading of typed values out of a document. The readers go on after an
/// error and collect them all, so that an operator mends a document once.
namespace cairnhead
{

/// Longer subjects are cut: they end up in log lines.
inline constexpr std::size_t maximum_subject_bytes = 80;

/// Nobody mends more than this at once, and reports must stay bounded.
inline constexpr std::size_t maximum_errors = 1'000;

/// Stands in subjects for every byte that a log line cannot hold: a document
/// with a line feed in a name could otherwise forge lines of the log.
inline constexpr char unprintable_mark = '?';

/// Whether the character is no printable ASCII. No precondition.
[[nodiscard]] constexpr bool is_unprintable(char character)
{
    return character < ' ' || character > '~';
}

/// An error type that the readers can report to: a kind, a place, a subject.
template <typename Error>
concept document_error = requires(Error error)
{
    {
        error.line
        } -> std::convertible_to<std::uint32_t>;
    {
        error.column
        } -> std::convertible_to<std::uint32_t>;
    {
        error.subject
        } -> std::convertible_to<std::string>;
    decltype(error.kind)::not_yaml;
    decltype(error.kind)::too_large;
    decltype(error.kind)::too_deep;
    decltype(error.kind)::alias_not_allowed;
    decltype(error.kind)::wrong_type;
    decltype(error.kind)::unknown_key;
    decltype(error.kind)::missing_key;
    decltype(error.kind)::duplicate_key;
};

/// The errors found so far. Thread safety: none.
template <document_error Error>
class error_list
{
public:
    using kind_type = decltype(Error::kind);

    /// Adds one error; those beyond `maximum_errors` are left out. No
    /// precondition.
    void add(kind_type kind, document_place place, std::string_view subject)
    {
        if (this->found.size() == maximum_errors)
            return;
        std::string cut(subject.substr(0, maximum_subject_bytes));
        std::ranges::replace_if(cut, is_unprintable, unprintable_mark);
        this->found.push_back({kind, place.line, place.column, std::move(cut)});
    }

    /// Whether nothing was wrong so far. No precondition.
    [[nodiscard]] bool is_empty() const
    {
        return this->found.empty();
    }

    /// Gives the errors away. Precondition: the list is not used again.
    [[nodiscard]] std::vector<Error> take()
    {
        return std::move(this->found);
    }

private:
    std::vector<Error> found;
};

/// The kind of `Error` that says the same. No precondition.
template <document_error Error>
[[nodiscard]] decltype(Error::kind) to_kind(yaml_error_kind kind)
{
    using target = decltype(Error::kind);
    switch (kind)
    {
    case yaml_error_kind::too_large:
        return target::too_large;
    case yaml_error_kind::too_deep:
        return target::too_deep;
    case yaml_error_kind::alias_not_allowed:
        return target::alias_not_allowed;
    case yaml_error_kind::wrong_type:
        return target::wrong_type;
    case yaml_error_kind::not_yaml:
        break;
    }
    return target::not_yaml;
}

/// Where a value stands in its document, in words: `services.listings`.
[[nodiscard]] inline std::string
join_path(std::string_view parent, std::string_view key)
{
    std::string path(parent);
    if (!path.empty())
        path += '.';
    path += key;
    return path;
}

/// Reads digits only, so neither signs, fractions nor octals slip through.
[[nodiscard]] inline std::optional<std::uint64_t>
parse_decimal(std::string_view text)
{
    bool const has_leading_zero = text.size() > 1 && text.front() == '0';
    if (has_leading_zero)
        return std::nullopt;
    std::uint64_t number = 0;
    char const* const end = text.data() + text.size();
    auto const [stopped, failure] = std::from_chars(text.data(), end, number);
    if (failure != std::errc() || stopped != end)
        return std::nullopt;
    return number;
}

/// Whether the text names something: 1 to 63 lower-case letters, digits and
/// hyphens.
[[nodiscard]] inline bool is_name(std::string_view text)
{
    constexpr std::size_t maximum_name_bytes = 63;
    constexpr std::string_view allowed =
        "abcdefghijklmnopqrstuvwxyz0123456789-";
    if (text.empty() || text.size() > maximum_name_bytes)
        return false;
    return text.find_first_not_of(allowed) == std::string_view::npos;
}

/// A word that stands for a value of an enumeration.
template <typename Value>
struct named_value
{
    std::string_view name;
    Value value;
};

/// The value that the word stands for; nothing for any other word.
template <typename Value, std::size_t Count>
[[nodiscard]] std::optional<Value> find_named(
    std::array<named_value<Value>, Count> const& names, std::string_view word)
{
    auto const found =
        std::ranges::find(names, word, &named_value<Value>::name);
    if (found == names.end())
        return std::nullopt;
    return found->value;
}

/// The text of a scalar, or nullptr after reporting `wrong_type`.
template <document_error Error>
[[nodiscard]] std::string const* read_scalar(
    yaml_value const& value,
    std::string_view subject,
    error_list<Error>& errors)
{
    auto const* const text = std::get_if<std::string>(&value.content);
    if (text == nullptr)
        errors.add(
            error_list<Error>::kind_type::wrong_type, value.place, subject);
    return text;
}

/// The items of a sequence; none after reporting `wrong_type`.
template <document_error Error>
[[nodiscard]] std::span<yaml_value const> read_sequence(
    yaml_value const& value,
    std::string_view subject,
    error_list<Error>& errors)
{
    auto const* const items = std::get_if<yaml_sequence>(&value.content);
    if (items != nullptr)
        return *items;
    errors.add(error_list<Error>::kind_type::wrong_type, value.place, subject);
    return {};
}

/// The entries of a mapping; none after reporting `wrong_type`. Reports each
/// key that stands twice: the later one would silently win otherwise.
template <document_error Error>
[[nodiscard]] std::span<yaml_entry const> read_entries(
    yaml_value const& value,
    std::string_view subject,
    error_list<Error>& errors)
{
    using kind = typename error_list<Error>::kind_type;
    auto const* const entries = std::get_if<yaml_mapping>(&value.content);
    if (entries == nullptr)
    {
        errors.add(kind::wrong_type, value.place, subject);
        return {};
    }
    absl::flat_hash_set<std::string_view> seen;
    for (yaml_entry const& entry : *entries)
    {
        if (seen.insert(entry.key).second)
            continue;
        errors.add(kind::duplicate_key, entry.place, entry.key);
    }
    return *entries;
}

/// Reads a mapping whose keys are known. Thread safety: none.
template <document_error Error>
class mapping_reader
{
public:
    using kind_type = typename error_list<Error>::kind_type;

    /// Reports keys that are not known and keys that stand twice.
    /// Precondition: value and reports outlive the reader.
    mapping_reader(
        yaml_value const& value,
        std::string_view path,
        std::span<std::string_view const> known_keys,
        error_list<Error>& reports)
        : place(value.place), mapping_path(path), errors(&reports),
          entries(read_entries(value, path, reports)),
          is_mapping(std::holds_alternative<yaml_mapping>(value.content))
    {
        for (yaml_entry const& entry : this->entries)
        {
            if (std::ranges::find(known_keys, entry.key) != known_keys.end())
                continue;
            reports.add(kind_type::unknown_key, entry.place, entry.key);
        }
    }

    /// The value of a key, or nullptr. No precondition.
    [[nodiscard]] yaml_value const* find(std::string_view key) const
    {
        auto const found =
            std::ranges::find(this->entries, key, &yaml_entry::key);
        if (found == this->entries.end())
            return nullptr;
        return &found->value;
    }

    /// The value of a key, or nullptr after reporting `missing_key`.
    [[nodiscard]] yaml_value const* require(std::string_view key) const
    {
        this->report_if_missing(key);
        return this->find(key);
    }

    /// Reports `missing_key` unless the key is there. No precondition.
    void report_if_missing(std::string_view key) const
    {
        // What is no mapping was reported once, not once for each key.
        if (!this->is_mapping || this->find(key) != nullptr)
            return;
        this->errors->add(
            kind_type::missing_key, this->place, this->path_of(key));
    }

    /// The scalar of a key, or nullptr; `wrong_type` is reported.
    [[nodiscard]] std::string const* find_scalar(std::string_view key) const
    {
        yaml_value const* const value = this->find(key);
        if (value == nullptr)
            return nullptr;
        return read_scalar(*value, this->path_of(key), *this->errors);
    }

    /// As `find_scalar`, but reports a missing key too.
    [[nodiscard]] std::string const* require_scalar(std::string_view key) const
    {
        if (this->require(key) == nullptr)
            return nullptr;
        return this->find_scalar(key);
    }

    /// The place of a key's value, or the mapping's. No precondition.
    [[nodiscard]] document_place place_of(std::string_view key) const
    {
        yaml_value const* const value = this->find(key);
        return value == nullptr ? this->place : value->place;
    }

    /// The key with the mapping's own path before it. No precondition.
    [[nodiscard]] std::string path_of(std::string_view key) const
    {
        return join_path(this->mapping_path, key);
    }

private:
    document_place place;
    std::string mapping_path;
    error_list<Error>* errors;
    std::span<yaml_entry const> entries;
    bool is_mapping;
};

} // namespace cairnhead
