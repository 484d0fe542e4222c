#pragma once

#include <control/control_source.hpp>

#include <control.capnp.h>

namespace cairnhead
{

// Cap'n Proto's classes have destructors that are not virtual, by design:
// kj::Own keeps the function that destroys the real type. Deleting through
// such a base stays an error (-Wdelete-non-virtual-dtor).
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Serves operators' questions from a source.
/// Thread safety of all methods: none; the RPC thread.
class control_service final : public control_schema::Control::Server
{
public:
    /// Precondition: all functions of the source are set.
    explicit control_service(control_source answers);

    kj::Promise<void> status(StatusContext context) override;
    kj::Promise<void> members(MembersContext context) override;
    kj::Promise<void> services(ServicesContext context) override;
    kj::Promise<void> upstreams(UpstreamsContext context) override;
    kj::Promise<void> explain(ExplainContext context) override;

private:
    control_source source;
};

#pragma GCC diagnostic pop

} // namespace cairnhead
