#pragma once

#include <cstdint>
#include <exception>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead
{

/// What can be wrong with a settings file.
enum class settings_error_kind : std::uint8_t
{
    not_yaml,
    too_large,
    too_deep,
    /// Anchors and aliases let a short text stand for a huge tree.
    alias_not_allowed,
    wrong_type,
    unknown_key,
    missing_key,
    duplicate_key,
    bad_name,
    bad_address,
    bad_port,
    bad_number,
    bad_duration,
    /// A duration without `ms`, `s`, `min` or `h`.
    unit_missing,
    /// The value can be read but is not allowed.
    out_of_range,
    /// The value is allowed but not together with another one.
    conflicting_values,
    /// A secret has the wrong length or is not hexadecimal.
    bad_secret,
    /// Not one or two keys.
    wrong_key_count,
    bad_url,
    bad_level,
};

/// The kind's name as operators see it, such as `unit_missing`.
[[nodiscard]] std::string_view to_text(settings_error_kind kind);

/// One error with its place. Lines and columns start at 1; 0 means that the
/// place is the whole file.
struct settings_error
{
    settings_error_kind kind = settings_error_kind::not_yaml;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    /// The setting concerned, `peers.port`. Never its value: it may be a
    /// secret, and errors are logged.
    std::string subject;
};

/// Thrown when a settings file cannot be used.
class settings_rejected : public std::exception
{
public:
    /// Precondition: at least one error.
    explicit settings_rejected(std::vector<settings_error> errors);

    /// All errors found, in the order of reading. No precondition. Thread
    /// safety: concurrent readers.
    [[nodiscard]] std::span<settings_error const> errors() const;

    /// The first error's kind.
    [[nodiscard]] char const* what() const noexcept override;

private:
    std::vector<settings_error> found;
};

} // namespace cairnhead
