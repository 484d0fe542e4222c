#include <poll.h>
#include <runtime/inbox.hpp>
#include <thread>

// Last: its macro `Test` breaks headers of Abseil.
#include <criterion/criterion.h>

using namespace cairnhead;

namespace
{

bool is_readable(int descriptor)
{
    pollfd waited{descriptor, POLLIN, 0};
    return ::poll(&waited, 1, 0) == 1;
}

} // namespace

Test(inbox, hands_over_items_of_another_thread_in_order)
{
    inbox carried;
    std::thread other(
        [&carried]
        {
            carried.post(platform_failed{});
            carried.post(document_fetch_failed{std::nullopt, "allotment"});
        });
    other.join();
    cr_expect(is_readable(carried.descriptor()));
    auto const items = carried.take();
    cr_assert_eq(items.size(), 2);
    cr_expect(std::holds_alternative<platform_failed>(items[0]));
    cr_expect_eq(std::get<document_fetch_failed>(items[1]).name, "allotment");
    cr_expect(!is_readable(carried.descriptor()));
    cr_expect(carried.take().empty());
}
