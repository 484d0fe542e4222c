#pragma once

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

/// Requirements that must all hold, written as operators know it:
/// `app=listings,tier in (a,b),!draining`.
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
