#include "http_server.hpp"

#include <cerrno>
#include <system_error>
#include <thread>

namespace cairnhead::standins
{
namespace
{

constexpr std::size_t largest_value = 1'024 * 1'024;
constexpr std::size_t requests_per_connection = 1'000'000;
constexpr int bad_request = 400;

void reuse_address(socket_t handle)
{
    int const enabled = 1;
    setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
}

/// Malformed JSON or a wrong address in a control request reaches here.
void answer_exception(
    httplib::Request const& /*request*/,
    httplib::Response& response,
    std::exception_ptr const& failure)
{
    try
    {
        std::rethrow_exception(failure);
    }
    catch (std::exception const& error)
    {
        response.status = bad_request;
        response.set_content(error.what(), "text/plain");
    }
}

} // namespace

http_server::http_server(std::size_t threads)
{
    this->server.new_task_queue = [threads]
    {
        return new httplib::ThreadPool{threads};
    };
    this->server.set_socket_options(reuse_address);
    this->server.set_tcp_nodelay(true);
    this->server.set_payload_max_length(largest_value);
    this->server.set_keep_alive_max_count(requests_per_connection);
    this->server.set_exception_handler(answer_exception);
}

void http_server::get(std::string const& pattern, handler const& answer)
{
    this->server.Get(pattern, answer);
}

void http_server::put(std::string const& pattern, handler const& answer)
{
    this->server.Put(pattern, answer);
}

void http_server::start(socket_address local)
{
    if (!this->server.bind_to_port(format_address(local.address), local.port))
    {
        throw std::system_error{errno, std::generic_category(), "bind"};
    }
    std::thread{[this]
                {
                    this->server.listen_after_bind();
                }}
        .detach();
}

void answer_json(httplib::Response& response, nlohmann::json const& body)
{
    response.set_content(body.dump(), "application/json");
}

} // namespace cairnhead::standins
