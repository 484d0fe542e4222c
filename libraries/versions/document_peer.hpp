#pragma once

#include <base/identifiers.hpp>

namespace cairnhead
{

/// A peer that documents may be fetched from or announced to.
struct document_peer
{
    vm_id id;
    failure_domain_id domain;
};

} // namespace cairnhead
