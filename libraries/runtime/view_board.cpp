#include <runtime/view_board.hpp>

#include <utility>

namespace cairnhead
{

void view_board::publish(shared_view view)
{
    std::scoped_lock const lock(this->guard);
    // The old view is freed with the argument, after the lock.
    this->published.swap(view);
}

view_board::shared_view view_board::newest() const
{
    std::scoped_lock const lock(this->guard);
    return this->published;
}

} // namespace cairnhead
