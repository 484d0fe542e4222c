#pragma once

namespace cairnhead
{

class directory;
struct service;
struct service_limits;
struct upstream;

} // namespace cairnhead
