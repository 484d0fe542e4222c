#pragma once

#include <control/control_answers.hpp>

#include <functional>
#include <memory>
#include <string>

/// Where the RPC server gets its answers.
namespace cairnhead
{

/// Takes one answer, once, from any thread. One that is dropped without an
/// answer fails the call.
template <typename Answer>
using reply_to = std::function<void(Answer)>;

/// Answers one of the operators' questions.
template <typename Answer>
using answered_by = std::function<void(reply_to<Answer>)>;

/// Answers operators' questions. All are called on the server's thread and
/// must be safe there; they should not block, and the reply may come from any
/// thread.
struct control_source
{
    answered_by<status_answer> status;
    answered_by<std::vector<member_answer>> members;
    answered_by<std::vector<service_answer>> services;
    answered_by<std::vector<upstream_answer>> upstreams;
    std::function<void(explain_question, reply_to<explain_answer>)> explain;
};

/// Longer texts are neither served nor taken; the platform holds values up to
/// a megabyte.
inline constexpr std::size_t maximum_document_bytes = std::size_t{1} << 20U;

/// One version of a document.
struct document_content
{
    document_version version;
    std::shared_ptr<std::string const> text;
};

/// Looks up a document by name for another VM, which holds the version that is
/// given, zero for none: nothing when it is not held here.
/// Called on the server's thread; the reply may come from any thread.
using document_source = std::function<void(
    std::string name,
    document_version held_there,
    reply_to<std::optional<document_content>>)>;

} // namespace cairnhead
