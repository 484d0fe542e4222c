#pragma once

#include <cstdint>
#include <exception>
#include <string>
#include <string_view>

namespace cairnhead
{

/// What can be wrong with a command line.
enum class usage_error_kind : std::uint8_t
{
    missing_command,
    unknown_command,
    unknown_flag,
    missing_flag,
    conflicting_flags,
    missing_flag_value,
    bad_flag_value,
    missing_argument,
    unexpected_argument,
    bad_argument,
};

/// The kind in words. Thread safety: no shared state.
[[nodiscard]] std::string_view to_text(usage_error_kind kind);

/// Thrown for a command line that cannot be carried out.
class usage_error : public std::exception
{
public:
    /// `subject` is the flag, command or argument concerned; may be empty.
    usage_error(usage_error_kind kind, std::string subject);

    /// No precondition. Thread safety: concurrent readers, as the others.
    [[nodiscard]] usage_error_kind kind() const;

    [[nodiscard]] std::string const& subject() const;

    [[nodiscard]] char const* what() const noexcept override;

private:
    usage_error_kind reason;
    std::string concerned;
};

} // namespace cairnhead
