#include <http/http_caller.hpp>

#include <utility>

namespace cairnhead
{

http_caller::http_caller()
{
    this->thread.post(
        [this](kj_loop& loop)
        {
            auto made = kj::heap<http_client>(loop);
            this->client = made.get();
            auto forever = kj::Promise<void>(kj::NEVER_DONE);
            loop.tasks.add(forever.attach(kj::mv(made)));
        });
}

void http_caller::post(task work)
{
    this->thread.post(
        [this, run = std::move(work)](kj_loop&)
        {
            run(*this->client);
        });
}

} // namespace cairnhead
