#pragma once

#include <control/control_answers.hpp>
#include <reducer/reducer_view.hpp>

namespace cairnhead
{

/// What operators may see of one moment. Immutable once published.
struct daemon_view
{
    reducer_view decided;
    packet_totals packets;
};

} // namespace cairnhead
