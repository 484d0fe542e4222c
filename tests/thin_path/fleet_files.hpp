#pragma once

#include <filesystem>
#include <string>
#include <string_view>
#include <vector>

namespace cairnhead::thin_path
{

/// The addresses of one test: each test has a range of its own, so that tests
/// can run beside each other.
class address_plan
{
public:
    /// Precondition: no other test has the number.
    explicit address_plan(int test_number);

    /// `127.NETWORK.N.HOST`; the network is this process's own.
    [[nodiscard]] std::string host(int number) const;

    [[nodiscard]] std::string platform() const;
    [[nodiscard]] std::string fabric() const;
    [[nodiscard]] std::string callers() const;
    [[nodiscard]] std::string entry_vm(int number) const;
    [[nodiscard]] std::string upstream(int number) const;

private:
    std::string prefix;
};

inline constexpr int entry_vm_count = 4;
inline constexpr int upstream_count = 4;

/// The failure domain of an entry VM or upstream, two of each in either.
[[nodiscard]] std::string_view failure_domain_of(int number);

/// Address of the one service, as callers see it.
inline constexpr std::string_view service_address = "198.51.100.1:8443";

/// A temporary folder that is removed at the end of the test.
class temporary_folder
{
public:
    temporary_folder();
    temporary_folder(temporary_folder const&) = delete;
    temporary_folder& operator=(temporary_folder const&) = delete;
    ~temporary_folder();

    [[nodiscard]] std::filesystem::path const& path() const;

private:
    std::filesystem::path folder;
};

/// Writes the documents of the platform below `folder`.
void write_documents(
    std::filesystem::path const& folder, address_plan const& plan);

/// What an organisation declares beyond the usual.
struct declared_change
{
    /// Upstreams that have the label `draining`.
    std::vector<int> draining;
    /// Further settings of the service, as one line of YAML.
    std::string service_line;
};

/// The organisation's document.
[[nodiscard]] std::string
organisation_text(address_plan const& plan, declared_change const& change = {});

/// Writes the settings of one entry VM and gives their path.
[[nodiscard]] std::filesystem::path write_settings(
    std::filesystem::path const& folder, address_plan const& plan, int number);

} // namespace cairnhead::thin_path
