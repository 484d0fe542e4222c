#pragma once

namespace cairnhead
{

/// Owns one file descriptor and closes it.
/// Thread safety: as a plain value.
class file_descriptor
{
public:
    /// Owns nothing.
    file_descriptor() = default;

    /// Precondition: nobody else closes the descriptor.
    explicit file_descriptor(int opened);

    file_descriptor(file_descriptor&& other) noexcept;
    file_descriptor& operator=(file_descriptor&& other) noexcept;
    file_descriptor(file_descriptor const&) = delete;
    file_descriptor& operator=(file_descriptor const&) = delete;
    ~file_descriptor();

    /// The descriptor, or -1 when nothing is owned. No precondition.
    [[nodiscard]] int get() const;

private:
    int owned = -1;
};

} // namespace cairnhead
