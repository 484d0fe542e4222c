#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// The names under which documents travel between VMs.
///
/// A document has its own name, `organisations/example`. While its newest
/// text is refused, its last accepted text travels beside it as
/// `organisations/example#accepted`. Without that, a VM that joins after a
/// bad edit would get only the refused text: the organisation would be in
/// force on the old VMs and absent from the new one, noticed as packets that
/// are dropped at some VMs only.
namespace cairnhead
{

/// Longer names are ignored; several stamps must fit one datagram.
inline constexpr std::size_t maximum_document_name = 200;

/// Whether it is one of a registry's documents, which belong to no
/// organisation and need no allotment. No precondition. Thread safety: no
/// shared state.
[[nodiscard]] bool is_registry_name(std::string_view name);

/// Whether the platform may publish a document under this name. No
/// precondition. Thread safety: no shared state.
[[nodiscard]] bool is_document_name(std::string_view name);

/// Whether peers may list a document under this name: a document's name, or
/// that of its last accepted text. No precondition. Thread safety: no shared
/// state.
[[nodiscard]] bool is_listed_name(std::string_view name);

/// Whether the name is that of a last accepted text. No precondition. Thread
/// safety: no shared state.
[[nodiscard]] bool is_accepted_name(std::string_view name);

/// The name of the document's last accepted text. Precondition:
/// `is_document_name(name)`. Thread safety: no shared state.
[[nodiscard]] std::string make_accepted_name(std::string_view name);

/// The document's own name. No precondition. Thread safety: no shared state.
[[nodiscard]] std::string_view get_document_name(std::string_view name);

/// The organisation that the document belongs to; empty for the allotment.
/// Precondition: `is_document_name(name)`. Thread safety: no shared state.
[[nodiscard]] std::string_view get_organisation(std::string_view name);

} // namespace cairnhead
