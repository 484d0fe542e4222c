#pragma once

#include "network.hpp"

#include <httplib.h>
#include <nlohmann/json.hpp>

namespace cairnhead::standins
{

/// An HTTP server in threads of its own, which end with the process.
/// Handlers run in those threads.
class http_server
{
public:
    using handler = httplib::Server::Handler;

    /// Precondition: routes are added before `start`.
    explicit http_server(std::size_t threads);

    /// Thread safety: before `start` only, one thread.
    void get(std::string const& pattern, handler const& answer);
    void put(std::string const& pattern, handler const& answer);

    /// Binds and answers from now on. Throws `std::system_error`.
    void start(socket_address local);

private:
    httplib::Server server;
};

/// Answers 200 with a JSON body.
void answer_json(httplib::Response& response, nlohmann::json const& body);

} // namespace cairnhead::standins
