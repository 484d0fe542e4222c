#include <control/rpc_errors.hpp>
#include <control/rpc_thread.hpp>

#include <future>
#include <utility>

namespace cairnhead
{

namespace
{

// Cap'n Proto's classes have destructors that are not virtual, by design:
// kj::Own keeps the function that destroys the real type. Deleting through
// such a base stays an error (-Wdelete-non-virtual-dtor).
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Tasks tell their own failures; what is left here is a connection that
/// ended, which its other side notices.
class ignored_failures final : public kj::TaskSet::ErrorHandler
{
public:
    void taskFailed(kj::Exception&&) override
    {
    }
};

#pragma GCC diagnostic pop

} // namespace

rpc_thread::rpc_thread()
{
    std::promise<void> started;
    auto outcome = started.get_future();
    this->thread = std::thread(
        [this, &started]
        {
            bool is_started = false;
            try
            {
                this->run(
                    [&]
                    {
                        is_started = true;
                        started.set_value();
                    });
            }
            catch (kj::Exception const&)
            {
                if (!is_started)
                    started.set_exception(
                        std::make_exception_ptr(rpc_unavailable()));
            }
        });
    try
    {
        outcome.get();
    }
    catch (rpc_unavailable const&)
    {
        this->thread.join();
        throw;
    }
}

rpc_thread::~rpc_thread()
{
    {
        std::lock_guard const lock(this->mutex);
        this->is_stopping = true;
        this->wake_up();
    }
    this->thread.join();
}

void rpc_thread::post(task work)
{
    std::lock_guard const lock(this->mutex);
    this->posted.push_back(std::move(work));
    this->wake_up();
}

void rpc_thread::wake_up()
{
    if (this->sleeping.get() == nullptr)
        return;
    auto const waiting = std::exchange(this->sleeping, nullptr);
    waiting->fulfill();
}

void rpc_thread::run(std::function<void()> const& tell_started)
{
    auto io = kj::setupAsyncIo();
    ignored_failures failures;
    kj::TaskSet tasks(failures);
    rpc_loop loop{io, tasks};
    tell_started();
    while (this->run_posted(loop))
    {
        auto wake = kj::newPromiseAndCrossThreadFulfiller<void>();
        {
            std::lock_guard const lock(this->mutex);
            // A post between the last look and here would find nobody to
            // wake, and wait until the next one.
            if (!this->posted.empty() || this->is_stopping)
                continue;
            this->sleeping = kj::mv(wake.fulfiller);
        }
        wake.promise.wait(io.waitScope);
    }
}

bool rpc_thread::run_posted(rpc_loop& loop)
{
    std::vector<task> ready;
    {
        std::lock_guard const lock(this->mutex);
        if (this->is_stopping)
            return false;
        ready.swap(this->posted);
    }
    for (auto const& work : ready)
        work(loop);
    return true;
}

} // namespace cairnhead
