#pragma once

#include <runtime/daemon_view.hpp>

#include <memory>
#include <mutex>

namespace cairnhead
{

/// Where the packet thread puts what operators may see.
class view_board
{
public:
    using shared_view = std::shared_ptr<daemon_view const>;

    /// Replaces the view. Precondition: not null. Thread safety: any thread.
    void publish(shared_view view);

    /// The newest view; null before the first. Thread safety: any thread.
    [[nodiscard]] shared_view newest() const;

private:
    mutable std::mutex guard;
    shared_view published;
};

} // namespace cairnhead
