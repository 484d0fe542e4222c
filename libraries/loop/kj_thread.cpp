#include <loop/kj_thread.hpp>

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

char const* kj_thread_unavailable::what() const noexcept
{
    return "a KJ thread cannot be set up";
}

kj_thread::kj_thread()
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
                // Without its thread the object would take tasks and never run
                // one: whoever waits for an answer waits for ever, unseen.
                // Like this the process ends, and is started anew.
                if (is_started && !this->is_ending())
                    throw;
                if (is_started)
                    return;
                started.set_exception(
                    std::make_exception_ptr(kj_thread_unavailable()));
            }
        });
    try
    {
        outcome.get();
    }
    catch (kj_thread_unavailable const&)
    {
        this->thread.join();
        throw;
    }
}

kj_thread::~kj_thread()
{
    {
        std::lock_guard const lock(this->mutex);
        this->is_stopping = true;
        this->wake_up();
    }
    this->thread.join();
}

void kj_thread::post(task work)
{
    std::lock_guard const lock(this->mutex);
    this->posted.push_back(std::move(work));
    this->wake_up();
}

bool kj_thread::is_ending()
{
    std::lock_guard const lock(this->mutex);
    return this->is_stopping;
}

void kj_thread::wake_up()
{
    if (this->sleeping.get() == nullptr)
        return;
    auto const waiting = std::exchange(this->sleeping, nullptr);
    waiting->fulfill();
}

void kj_thread::run(std::function<void()> const& tell_started)
{
    auto io = kj::setupAsyncIo();
    ignored_failures failures;
    kj::TaskSet tasks(failures);
    kj_loop loop{io, tasks};
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

bool kj_thread::run_posted(kj_loop& loop)
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
