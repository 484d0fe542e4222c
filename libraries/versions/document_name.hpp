#pragma once

#include <cstddef>
#include <string>
#include <string_view>

/// The names under which VMs exchange documents.
///
/// A document has its own name, `organisations/example`. While its newest text
/// is rejected, its last accepted text is exchanged beside it as
/// `organisations/example#accepted`. Without that, a VM that joins after a bad
/// edit would get only the rejected text: the organisation would be in force on
/// the old VMs and absent on the new one. Symptom: packets are dropped at some
/// VMs only.
///
/// The functions share no state and so are thread-safe; none has a precondition
/// unless its comment states one.
namespace cairnhead
{

/// Longer names are ignored; several stamps must fit in one datagram.
inline constexpr std::size_t maximum_document_name_bytes = 200;

/// Whether this is the name of a registry document. Those belong to no
/// organisation and need no allotment.
[[nodiscard]] bool is_registry_name(std::string_view name);

/// Whether the platform may publish a document under this name.
[[nodiscard]] bool is_document_name(std::string_view name);

/// Whether peers may list a document under this name: the name of a document,
/// or of its last accepted text.
[[nodiscard]] bool is_listed_name(std::string_view name);

/// Whether this is the name of a last accepted text.
[[nodiscard]] bool is_accepted_name(std::string_view name);

/// The name of the document's last accepted text. Precondition:
/// `is_document_name(name)`.
[[nodiscard]] std::string make_accepted_name(std::string_view name);

/// The document's own name, without the suffix of a last accepted text.
[[nodiscard]] std::string_view get_document_name(std::string_view name);

/// The organisation that the document belongs to; empty for the allotment and
/// for registry documents. Precondition: `is_document_name(name)`.
[[nodiscard]] std::string_view get_organisation(std::string_view name);

} // namespace cairnhead
