#include <runtime/event_loop.hpp>

#include <criterion/criterion.h>
#include <string>
#include <sys/eventfd.h>

using namespace cairnhead;

namespace
{

/// A descriptor that is readable from the start and stays so.
class readable
{
public:
    [[nodiscard]] int descriptor() const
    {
        return this->event.get();
    }

private:
    file_descriptor event{::eventfd(1, EFD_NONBLOCK)};
};

} // namespace

Test(event_loop, a_paused_source_waits_and_keeps_its_place)
{
    // Symptom: callers' packets are decided about before what peers said.
    // Sequence: the fabric's socket is watched only once the registry is there.
    // Cause: a source that is added late is called last, or too early.
    readable const first;
    readable const paused;
    readable const last;
    event_loop loop;
    std::string called;
    loop.watch(
        first.descriptor(),
        [&]
        {
            called += 'f';
        });
    loop.watch_paused(
        paused.descriptor(),
        [&]
        {
            called += 'p';
        });
    loop.watch(
        last.descriptor(),
        [&]
        {
            called += 'l';
            if (called.size() == 4)
                loop.resume(paused.descriptor());
            if (called.size() > 6)
                loop.stop();
        });
    loop.run();
    cr_expect_str_eq(called.c_str(), "flflfpl");
}
