#pragma once

#include <http/http_server.hpp>

#include <kj/compat/http.h>

namespace cairnhead
{

/// Accepts connections at one address and answers one request on each.
/// Thread safety of all methods: none; the loop's thread.
class http_listener final : private kj::HttpService,
                            private kj::HttpServerCallbacks,
                            private kj::TaskSet::ErrorHandler
{
public:
    /// Precondition: the loop and the answerer outlive the object.
    http_listener(
        kj_loop& loop,
        kj::Own<kj::ConnectionReceiver> receiver,
        http_server::answerer const& answers);

    /// Accepts until it is cancelled. Precondition: called once; the object
    /// outlives the promise.
    [[nodiscard]] kj::Promise<void> accept_connections();

private:
    kj::Promise<void> request(
        kj::HttpMethod method,
        kj::StringPtr url,
        kj::HttpHeaders const& headers,
        kj::AsyncInputStream& request_body,
        kj::HttpService::Response& response) override;
    bool shouldClose() override;
    void taskFailed(kj::Exception&& failure) override;
    [[nodiscard]] http_reply
    answer(kj::HttpMethod method, std::string_view target) const;
    void serve(kj::Own<kj::AsyncIoStream> stream);

    kj_loop& loop;
    kj::Own<kj::ConnectionReceiver> receiver;
    http_server::answerer const& answers;
    kj::HttpHeaderTable names;
    kj::HttpServer server;
    std::size_t open_connections = 0;
    /// Last, so that no connection outlives what it uses.
    kj::TaskSet connections;
};

} // namespace cairnhead
