#pragma once

#include <yaml/yaml_value.hpp>

#include <cstdint>
#include <exception>
#include <string>

namespace cairnhead
{

/// Why a text is not a document at all.
enum class yaml_error_kind : std::uint8_t
{
    not_yaml,
    too_large,
    too_deep,
    /// Anchors and aliases let a short text stand for a huge tree.
    alias_not_allowed,
    /// A tag such as `!draining`, or a key that is not a scalar.
    wrong_type,
};

/// Thrown when a text cannot be read as a document.
class yaml_rejected : public std::exception
{
public:
    /// No precondition.
    yaml_rejected(
        yaml_error_kind kind, document_place place, std::string subject);

    /// No precondition. Thread safety: concurrent readers, as the others.
    [[nodiscard]] yaml_error_kind kind() const;

    [[nodiscard]] document_place place() const;

    /// What is wrong. It may quote the text, secrets included.
    [[nodiscard]] std::string const& subject() const;

    /// A fixed text that never quotes the document.
    [[nodiscard]] char const* what() const noexcept override;

private:
    yaml_error_kind reason;
    document_place where;
    std::string concerned;
};

} // namespace cairnhead
