#include <observability/line_ring.hpp>

#include <algorithm>
#include <cerrno>
#include <limits.h>
#include <poll.h>
#include <unistd.h>

namespace cairnhead
{

namespace
{

/// A pipe that can be written to takes this much without waiting.
constexpr std::size_t chunk_bytes = PIPE_BUF;

bool is_writable(int descriptor)
{
    pollfd asked{descriptor, POLLOUT, 0};
    return ::poll(&asked, 1, 0) > 0;
}

} // namespace

line_ring::line_ring(std::size_t maximum_bytes) : bound(maximum_bytes)
{
}

bool line_ring::push(std::string_view line)
{
    if (this->held_bytes + line.size() + 1 > this->bound)
        return false;
    std::string& added = this->lines.emplace_back(line);
    added += '\n';
    this->held_bytes += added.size();
    return true;
}

bool line_ring::drain(line_writer const& write)
{
    std::string chunk;
    while (!this->lines.empty())
    {
        chunk.assign(this->lines.front(), this->written_of_first);
        for (std::size_t next = 1; next < this->lines.size(); ++next)
        {
            if (chunk.size() + this->lines[next].size() > chunk_bytes)
                break;
            chunk += this->lines[next];
        }
        write_outcome const outcome = write(chunk);
        if (outcome.state == write_state::closed)
            return false;
        this->written_of_first += outcome.bytes;
        this->held_bytes -= outcome.bytes;
        while (!this->lines.empty() &&
               this->written_of_first >= this->lines.front().size())
        {
            this->written_of_first -= this->lines.front().size();
            this->lines.pop_front();
        }
        if (outcome.state == write_state::would_block)
            return true;
    }
    return true;
}

std::size_t line_ring::size_in_bytes() const
{
    return this->held_bytes;
}

write_outcome write_standard_output(std::string_view bytes)
{
    // NOTE: Whoever else writes to the same pipe could fill it in between; a
    // daemon has its standard output for itself.
    if (!is_writable(STDOUT_FILENO))
        return {write_state::would_block, 0};
    auto const size = std::min(bytes.size(), chunk_bytes);
    auto const written = ::write(STDOUT_FILENO, bytes.data(), size);
    if (written >= 0)
        return {write_state::written, static_cast<std::size_t>(written)};
    bool const is_passing = errno == EAGAIN || errno == EINTR;
    return {is_passing ? write_state::would_block : write_state::closed, 0};
}

} // namespace cairnhead
