#include <runtime/file_descriptor.hpp>

#include <unistd.h>
#include <utility>

namespace cairnhead
{

file_descriptor::file_descriptor(int opened) : owned(opened)
{
}

file_descriptor::file_descriptor(file_descriptor&& other) noexcept
    : owned(std::exchange(other.owned, -1))
{
}

file_descriptor& file_descriptor::operator=(file_descriptor&& other) noexcept
{
    std::swap(this->owned, other.owned);
    return *this;
}

file_descriptor::~file_descriptor()
{
    if (this->owned >= 0)
        ::close(this->owned);
}

int file_descriptor::get() const
{
    return this->owned;
}

} // namespace cairnhead
