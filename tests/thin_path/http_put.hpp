#pragma once

#include <string>

namespace cairnhead::thin_path
{

/// Tells a stand-in something by HTTP PUT; fails the test if it refuses.
void http_put(
    std::string const& address,
    int port,
    std::string const& path,
    std::string const& body);

} // namespace cairnhead::thin_path
