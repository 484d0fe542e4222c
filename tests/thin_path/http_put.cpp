#include "http_put.hpp"

#include <criterion/criterion.h>
#include <httplib.h>

namespace cairnhead::thin_path
{

void http_put(
    std::string const& address,
    int port,
    std::string const& path,
    std::string const& body)
{
    httplib::Client client(address, port);
    auto const answer = client.Put(path, body, "text/plain");
    cr_assert(answer, "no answer to PUT %s", path.c_str());
    cr_assert_eq(answer->status, 200, "PUT %s refused", path.c_str());
}

} // namespace cairnhead::thin_path
