#pragma once

#include <control/control_answers.hpp>

#include <control.capnp.h>
#include <exception>

/// Between the answers and their Cap'n Proto form. The readers throw
/// `malformed_answer` for values that are not declared.
/// Thread safety: no shared state.
namespace cairnhead::control_codec
{

/// Thrown for an enumeration that this release does not know.
class malformed_answer : public std::exception
{
public:
    [[nodiscard]] char const* what() const noexcept override;
};

void write(endpoint const& from, control_schema::Endpoint::Builder to);
void write(status_answer const& from, control_schema::Status::Builder to);
void write(member_answer const& from, control_schema::Member::Builder to);
void write(service_answer const& from, control_schema::Service::Builder to);
void write(upstream_answer const& from, control_schema::Upstream::Builder to);
void write(explain_answer const& from, control_schema::Explanation::Builder to);

[[nodiscard]] endpoint read(control_schema::Endpoint::Reader from);
[[nodiscard]] status_answer read(control_schema::Status::Reader from);
[[nodiscard]] member_answer read(control_schema::Member::Reader from);
[[nodiscard]] service_answer read(control_schema::Service::Reader from);
[[nodiscard]] upstream_answer read(control_schema::Upstream::Reader from);
[[nodiscard]] explain_answer read(control_schema::Explanation::Reader from);

// Parts of the above; declared here, as lists of them are read and written.
void write(
    document_answer const& from, control_schema::DocumentStamp::Builder to);
[[nodiscard]] document_answer read(control_schema::DocumentStamp::Reader from);

/// Writes each entry. Precondition: the list is as long as the entries.
template <typename Entry, typename ListBuilder>
void write_list(std::vector<Entry> const& entries, ListBuilder list)
{
    unsigned index = 0;
    for (auto const& entry : entries)
        write(entry, list[index++]);
}

template <typename Entry, typename ListReader>
[[nodiscard]] std::vector<Entry> read_list(ListReader list)
{
    std::vector<Entry> entries;
    entries.reserve(list.size());
    for (auto const entry : list)
        entries.push_back(read(entry));
    return entries;
}

} // namespace cairnhead::control_codec
