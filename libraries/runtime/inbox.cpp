#include <runtime/inbox.hpp>

#include <utility>

namespace cairnhead
{

int inbox::descriptor() const
{
    return this->wake_up.descriptor();
}

void inbox::post(inbox_item item)
{
    {
        std::scoped_lock const lock(this->guard);
        this->waiting.push_back(std::move(item));
    }
    this->wake_up.notify();
}

std::vector<inbox_item> inbox::take()
{
    // Cleared first: an item posted after that makes it readable again.
    this->wake_up.clear();
    std::scoped_lock const lock(this->guard);
    return std::exchange(this->waiting, {});
}

} // namespace cairnhead
