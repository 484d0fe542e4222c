#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cairnhead
{

/// Where something stands in a document. Lines and columns start at 1; 0
/// means the whole document.
struct document_place
{
    std::uint32_t line = 0;
    std::uint32_t column = 0;

    bool operator==(document_place const&) const = default;
};

/// Documents beyond this many bytes are refused unread.
inline constexpr std::size_t maximum_document_bytes = 1024 * 1024;

/// Documents with more nested mappings and sequences than this are refused.
inline constexpr std::size_t maximum_document_depth = 16;

/// Documents with more keys, scalars and collections than this are refused.
/// Reading takes time by their number: a megabyte of tiny values from one
/// organisation would hold up the decisions for all.
inline constexpr std::size_t maximum_document_values = 100'000;

struct yaml_entry;

/// `key:` with nothing after it, or `~`.
struct yaml_null
{
};

using yaml_sequence = std::vector<struct yaml_value>;
using yaml_mapping = std::vector<yaml_entry>;

/// One value of a document. Unlike `YAML::Node` it keeps duplicate keys and
/// the place of every key, so that readers can report them.
/// Thread safety: any number of concurrent readers.
struct yaml_value
{
    document_place place;
    std::variant<yaml_null, std::string, yaml_sequence, yaml_mapping> content;
};

/// One key of a mapping with its value.
struct yaml_entry
{
    std::string key;
    document_place place;
    yaml_value value;
};

/// Reads a document of one mapping, sequence or scalar; an empty document is
/// `yaml_null`. Throws `yaml_rejected`. Thread safety: no shared state.
[[nodiscard]] yaml_value parse_yaml(std::string_view text);

} // namespace cairnhead
