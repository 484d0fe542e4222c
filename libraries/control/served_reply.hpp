#pragma once

#include <control/control_source.hpp>

#include <kj/async.h>
#include <memory>

namespace cairnhead
{

/// A reply that other threads may give, and the promise of it for the RPC
/// thread. A reply that is dropped rejects the promise; one that comes after
/// the server is gone does nothing.
template <typename Answer>
struct served_reply
{
    reply_to<Answer> reply;
    kj::Promise<Answer> answer;

    /// Precondition: called on a thread with a KJ event loop.
    /// Thread safety: no shared state.
    [[nodiscard]] static served_reply make()
    {
        auto pair = kj::newPromiseAndCrossThreadFulfiller<Answer>();
        using fulfiller = kj::CrossThreadPromiseFulfiller<Answer>;
        // std::function has to be copied, the fulfiller cannot be.
        auto shared =
            std::make_shared<kj::Own<fulfiller>>(kj::mv(pair.fulfiller));
        return {
            [shared](Answer answer)
            {
                (*shared)->fulfill(kj::mv(answer));
            },
            kj::mv(pair.promise)};
    }
};

} // namespace cairnhead
