#pragma once

#include <control/control_source.hpp>
#include <control/document_seal.hpp>

#include <control.capnp.h>

namespace cairnhead
{

// Cap'n Proto's classes have destructors that are not virtual, by design:
// kj::Own keeps the function that destroys the real type. Deleting through
// such a base stays an error (-Wdelete-non-virtual-dtor).
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wnon-virtual-dtor"

/// Serves documents to other VMs that hold a key.
/// Thread safety of all methods: none; the RPC thread.
class document_service final : public control_schema::Documents::Server
{
public:
    /// Precondition: the source is set, the keys outlive the object.
    document_service(document_source documents, authenticator const& accepted);

    kj::Promise<void> fetch(FetchContext context) override;

private:
    document_source source;
    authenticator const& keys;
};

#pragma GCC diagnostic pop

} // namespace cairnhead
