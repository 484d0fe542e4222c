#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace cairnhead
{

/// The label has exactly this value.
struct label_equals
{
    std::string key;
    std::string value;
};

/// The label is absent or has another value.
struct label_differs
{
    std::string key;
    std::string value;
};

/// The label has one of these values.
struct label_in
{
    std::string key;
    std::vector<std::string> values;
};

/// The label is absent or has none of these values.
struct label_not_in
{
    std::string key;
    std::vector<std::string> values;
};

/// The label is there, with any value.
struct label_exists
{
    std::string key;
};

/// The label is not there.
struct label_absent
{
    std::string key;
};

using label_requirement = std::variant<
    label_equals,
    label_differs,
    label_in,
    label_not_in,
    label_exists,
    label_absent>;

/// A selector with more requirements than this is refused.
inline constexpr std::size_t maximum_selector_requirements = 16;

/// Requirements that must all hold, written as operators know it:
/// `app=listings,tier in (a,b),!draining`. The forms are `key`, `!key`,
/// `key=value`, `key==value`, `key!=value`, `key in (value,…)` and
/// `key notin (value,…)`; spaces may stand between the parts. In YAML a
/// selector that starts with `!` must be quoted.
///
/// NOTE: A draining upstream needs no `!draining`. The label alone keeps the
/// upstream in its services' tables: it gets no new work, and its flows live
/// on. A selector with `!draining` removes the upstream from the service as
/// soon as the label is there, with any value, `false` included.
class selector
{
public:
    selector() = default;

    /// Throws `declaration_rejected` with `bad_selector` and the column at
    /// which reading failed. An empty text is refused: it would pick all.
    /// Thread safety: no shared state.
    [[nodiscard]] static selector parse(std::string_view text);

    /// Whether all requirements hold. Thread safety: concurrent readers.
    [[nodiscard]] bool
    matches(std::map<std::string, std::string> const& labels) const;

private:
    std::vector<label_requirement> requirements;
};

} // namespace cairnhead
