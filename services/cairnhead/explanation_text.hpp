#pragma once

#include <control/control_answers.hpp>

#include <iosfwd>
#include <nlohmann/json_fwd.hpp>

/// How a daemon's explanation of a flow is written. Thread safety of all: no
/// shared state.
namespace cairnhead
{

/// A table of what decides, and where flows carry tags one of the upstreams
/// that a new flow may get. No precondition.
void write_explanation(std::ostream& out, explain_answer const& answer);

/// The same for programs. No precondition.
[[nodiscard]] nlohmann::json to_json(explain_answer const& answer);

/// An upstream for programs. No precondition.
[[nodiscard]] nlohmann::json to_json(upstream_answer const& upstream);

/// The evidence for what is believed of an upstream, in words. No
/// precondition.
[[nodiscard]] std::string describe(belief_answer const& belief);

/// A number in thousandths, with two digits. No precondition.
[[nodiscard]] std::string format_permille(std::uint32_t permille);

/// A document's version, and its age where that is known. No precondition.
[[nodiscard]] std::string describe(document_answer const& document);

/// A document for programs. No precondition.
[[nodiscard]] nlohmann::json to_json(document_answer const& document);

} // namespace cairnhead
