#pragma once

#include <exception>
#include <filesystem>
#include <string>

namespace cairnhead
{

/// Thrown for a file that the operator named and that cannot be read.
class unreadable_file : public std::exception
{
public:
    explicit unreadable_file(std::filesystem::path path);

    /// No precondition. Thread safety: concurrent readers.
    [[nodiscard]] std::filesystem::path const& path() const;

    [[nodiscard]] char const* what() const noexcept override;

private:
    std::filesystem::path unreadable;
};

/// The content of a file. Reads no more than a document may have, and one
/// byte: the parsers refuse what is longer. Throws `unreadable_file`.
/// Thread safety: no shared state.
[[nodiscard]] std::string read_text_file(std::filesystem::path const& path);

} // namespace cairnhead
