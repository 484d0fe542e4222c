#pragma once

#include <cstddef>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace cairnhead
{

/// What became of an attempt to write without waiting.
enum class write_state : unsigned char
{
    written,
    /// The reader is slow: later.
    would_block,
    /// The reader is gone for good.
    closed,
};

struct write_outcome
{
    write_state state = write_state::written;
    /// How many bytes were taken, from the front.
    std::size_t bytes = 0;
};

/// Takes as many bytes as it can without waiting.
using line_writer = std::function<write_outcome(std::string_view)>;

/// Lines that wait to be written, bounded in bytes.
///
/// A process that waits for the reader of its log stops serving callers: a full
/// pipe shows as packets lost on one VM only. So lines wait here, and those
/// that find no room are left out and counted by whoever adds them.
/// Thread safety of all methods: none; the logger guards it.
class line_ring
{
public:
    /// Precondition: the bound is above zero.
    explicit line_ring(std::size_t maximum_bytes);

    /// Adds a line without its end, or leaves it out where there is no room.
    /// Whether it was added. No precondition.
    bool push(std::string_view line);

    /// Gives what waits to the writer until that takes no more. Whether the
    /// writer's reader is still there. No precondition.
    bool drain(line_writer const& write);

    /// No precondition.
    [[nodiscard]] std::size_t size_in_bytes() const;

private:
    std::size_t bound;
    std::size_t held_bytes = 0;
    /// Of the first line, what was written already.
    std::size_t written_of_first = 0;
    std::deque<std::string> lines;
};

/// Writes to standard output, at most as much as a pipe takes at once. Thread
/// safety: one thread at a time.
[[nodiscard]] write_outcome write_standard_output(std::string_view bytes);

} // namespace cairnhead
