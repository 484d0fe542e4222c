#include <runtime/event_descriptor.hpp>

#include <runtime/system_failure.hpp>

#include <sys/eventfd.h>

namespace cairnhead
{

event_descriptor::event_descriptor()
    : descriptor_of_event(require_success(
          system_call::create_event_descriptor,
          ::eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)))
{
}

int event_descriptor::descriptor() const
{
    return this->descriptor_of_event.get();
}

void event_descriptor::notify() const
{
    // This fails only when the counter is full, and then it is readable.
    static_cast<void>(::eventfd_write(this->descriptor(), 1));
}

void event_descriptor::clear() const
{
    eventfd_t count = 0;
    static_cast<void>(::eventfd_read(this->descriptor(), &count));
}

} // namespace cairnhead
