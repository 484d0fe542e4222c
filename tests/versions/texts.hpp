#pragma once

#include <string>

/// Documents for the tests. No text contains its version, so one text can be
/// published under several versions.
namespace cairnhead::version_texts
{

inline constexpr char const* association = "organisations/association";
inline constexpr char const* brackenlea = "organisations/brackenlea";

inline std::string const both_allotted = R"(organisations:
  association: {addresses: [198.51.100.0/28], upstreams: [127.0.16.0/24]}
  brackenlea: {addresses: [203.0.113.0/28], upstreams: [127.0.32.0/24]}
)";

inline std::string const association_alone = R"(organisations:
  association: {addresses: [198.51.100.0/28], upstreams: [127.0.16.0/24]}
)";

/// Takes 198.51.100.2 away from the association.
inline std::string const association_shrunk = R"(organisations:
  association: {addresses: [198.51.100.1], upstreams: [127.0.16.0/24]}
  brackenlea: {addresses: [203.0.113.0/28], upstreams: [127.0.32.0/24]}
)";

/// Allots one address to both organisations.
inline std::string const overlapping = R"(organisations:
  association: {addresses: [198.51.100.0/28], upstreams: [127.0.16.0/24]}
  brackenlea: {addresses: [198.51.100.0/24], upstreams: [127.0.32.0/24]}
)";

inline std::string
make_service_text(std::string const& name, std::string const& address)
{
    return "  " + name + ": {address: '" + address +
           ":443', protocol: tcp, selector: app=x, class: form}\n";
}

inline std::string make_document(
    std::string const& organisation,
    std::string const& services,
    std::string const& upstream)
{
    return "organisation: " + organisation + "\nservices:\n" + services +
           "upstreams:\n  one: {address: " + upstream +
           ", failure_domain: perth, labels: {app: x}}\n";
}

inline std::string const association_text = make_document(
    "association",
    make_service_text("listings", "198.51.100.1") +
        make_service_text("media", "198.51.100.2"),
    "127.0.16.1");

inline std::string const brackenlea_text = make_document(
    "brackenlea", make_service_text("permits", "203.0.113.1"), "127.0.32.1");

/// Brackenlea's document with an address that is allotted to the association.
inline std::string const unallotted_address_text = make_document(
    "brackenlea", make_service_text("permits", "198.51.100.1"), "127.0.32.1");

} // namespace cairnhead::version_texts
