#pragma once

#include <cstdint>
#include <exception>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead
{

/// What can be wrong with a document.
enum class declaration_error_kind : std::uint8_t
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
    bad_address,
    bad_port,
    bad_protocol,
    bad_selector,
    bad_class,
    bad_preference,
    bad_refusal,
    bad_limit,
    bad_number,
    bad_name,
    wrong_organisation,
    address_not_allotted,
    upstream_not_allotted,
    address_used_twice,
    upstream_used_twice,
    overlapping_allotment,
};

/// The kind's name as operators see it, such as `unknown_key`.
[[nodiscard]] std::string_view to_text(declaration_error_kind kind);

/// One error with its place. Lines and columns start at 1; 0 means that the
/// place is the whole document.
struct declaration_error
{
    declaration_error_kind kind = declaration_error_kind::not_yaml;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    /// The key, name or value concerned.
    std::string subject;
};

/// Thrown when a document cannot be used.
class declaration_rejected : public std::exception
{
public:
    /// Precondition: at least one error.
    explicit declaration_rejected(std::vector<declaration_error> errors);

    [[nodiscard]] std::span<declaration_error const> errors() const;

    /// The first error's kind.
    [[nodiscard]] char const* what() const noexcept override;

private:
    std::vector<declaration_error> found;
};

} // namespace cairnhead
