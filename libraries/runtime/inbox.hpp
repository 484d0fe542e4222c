#pragma once

#include <event/event.hpp>
#include <event/platform_called.hpp>
#include <reducer/reducer_view.hpp>
#include <runtime/daemon_view.hpp>
#include <runtime/event_descriptor.hpp>

#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace cairnhead
{

/// An operator asks where a flow is and why.
struct explain_request
{
    flow_id flow;
    endpoint destination;
    /// Called on the packet thread; it must not block.
    std::function<void(flow_explanation const&)> answer;
};

/// An operator asks what this VM believes.
struct view_request
{
    /// Called on the packet thread; it must not block.
    std::function<void(daemon_view const&)> answer;
};

/// A document as it is served to peers.
struct held_document
{
    document_version version;
    std::shared_ptr<std::string const> text;
};

/// A peer asks for a document.
struct document_request
{
    std::string name;
    /// The version that the peer holds, zero for none.
    document_version held_there;
    /// Called on the packet thread; it must not block.
    std::function<void(std::optional<held_document> const&)> answer;
};

/// An entry of the registry names no upstream, as it cannot be read.
struct registry_entry_rejected
{
    /// Empty where not even that can be read.
    std::string key;
    /// A constant of the program.
    std::string_view fault;
};

/// What other threads tell or ask the packet thread.
using inbox_item = std::variant<
    platform_listed,
    platform_failed,
    upstreams_read,
    document_fetched,
    document_fetch_failed,
    upstream_probed,
    explain_request,
    view_request,
    platform_called,
    registry_entry_rejected,
    document_request>;

/// Carries items from other threads to the packet thread.
/// It needs no bound: each item but the operators' answers an effect, and the
/// reducer bounds those; operators wait for each answer.
class inbox
{
public:
    /// For the event loop. No precondition.
    [[nodiscard]] int descriptor() const;

    /// Adds one item and wakes the packet thread. Thread safety: any thread.
    void post(inbox_item item);

    /// All items so far, in the order posted. Thread safety: any thread.
    [[nodiscard]] std::vector<inbox_item> take();

private:
    event_descriptor wake_up;
    std::mutex guard;
    std::vector<inbox_item> waiting;
};

} // namespace cairnhead
