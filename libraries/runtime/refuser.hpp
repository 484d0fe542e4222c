#pragma once

#include <event/effect.hpp>
#include <packet/packet_view.hpp>
#include <packet/refusal_responder.hpp>
#include <runtime/packet_sender.hpp>
#include <settings/settings.hpp>

namespace cairnhead
{

/// Tells callers that their opening was not run.
/// Thread safety of all methods: none; one thread, the packet thread.
class refuser
{
public:
    /// Precondition: the sender outlives the object.
    refuser(daemon_settings const& settings, packet_sender& caller_sender);

    /// Answers a refused opening. Precondition: no packet of the flow was
    /// sent towards an upstream.
    void refuse(packet_view const& opening, refuse_opening const& refusal);

    /// Whether the packet belongs to a flow that some entry VM refused by
    /// HTTP. Precondition: this VM has no pin of the flow; with one, the
    /// packet belongs to it.
    [[nodiscard]] bool has_refused(packet_view const& packet) const;

    /// Goes on with the refusal of a flow. Precondition: `has_refused`.
    void continue_refusal(packet_view const& packet);

private:
    void
    refuse_by_http(packet_view const& opening, refuse_opening const& refusal);

    packet_sender& sender;
    refusal_responder responder;
};

} // namespace cairnhead
