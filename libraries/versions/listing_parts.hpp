#pragma once

#include <protocol/control_message.hpp>

#include <span>
#include <vector>

namespace cairnhead
{

/// Splits stamps into listings that each fit in one control datagram. Only the
/// last part has the given kind; the others are answers, because a request in
/// several parts would be answered once for each part. Without stamps the
/// result is one empty part. Precondition: no name is longer than
/// `maximum_document_name_bytes`. Thread safety: no shared state.
[[nodiscard]] std::vector<document_listing>
split_listing(listing_kind kind, std::span<document_stamp const> stamps);

} // namespace cairnhead
