#pragma once

#include "child_process.hpp"
#include "fleet_files.hpp"

#include <vector>

namespace cairnhead::thin_path
{

/// How many callers come, and how long their flows last.
struct workload
{
    int flows = 200;
    int concurrency = 200;
    int requests = 10;
    int request_gap_milliseconds = 50;
};

/// Flows long enough that something can happen while all of them are open.
inline constexpr workload long_flows{200, 200, 40, 250};

/// Platform, fabric, four entry VMs in two failure domains and four
/// upstreams, all as processes of their own on loopback addresses.
class fleet
{
public:
    /// Starts all processes and waits until each entry VM serves and sees the
    /// others. Precondition: no other test has the number.
    explicit fleet(int test_number);

    /// Starts callers; they go on beside the test. Precondition: no earlier
    /// callers of the same group run.
    [[nodiscard]] child_process
    start_callers(workload const& offered, int group = 0) const;

    /// Waits until the callers have opened all their flows.
    static void
    wait_until_open(child_process& callers, workload const& offered);

    /// The entry VM of a number. Precondition: below `entry_vm_count`.
    [[nodiscard]] child_process& entry_vm(int number);

    /// Tells the platform something by HTTP PUT.
    void
    put_to_platform(std::string const& path, std::string const& body) const;

    /// Takes an entry VM that has ended out of the fabric's list, as a fabric
    /// does some time after a VM stopped answering. Without it a quarter of
    /// all packets would be lost for good, and flows would time out by the
    /// fabric's fault.
    void withdraw_from_fabric(int entry_vm_number) const;

    /// Waits until an entry VM's log has the text.
    void wait_for_log(int number, std::string const& text);

    /// Publishes the organisation's document and waits until every entry VM
    /// has it. Precondition: `version` is that of the new document.
    void publish(declared_change const& change, int version);

    /// Waits until an entry VM has at least this version of a document.
    void wait_for_document(
        int entry_vm_number, std::string const& name, int version) const;

    /// Runs the command line client against an entry VM.
    [[nodiscard]] child_process start_client(
        std::vector<std::string> const& arguments, int entry_vm_number) const;

    /// What the command line client prints when it asks an entry VM.
    [[nodiscard]] std::string
    ask(std::string const& command, int entry_vm_number) const;

    [[nodiscard]] address_plan const& addresses() const;

private:
    void start_platform();
    void start_fabric();
    void start_upstream(int number);
    void start_entry_vm(int number);
    void wait_until_serving(int number) const;
    [[nodiscard]] child_process
    start(std::vector<std::string> command, std::string const& name) const;

    address_plan plan;
    temporary_folder folder;
    std::vector<child_process> stand_ins;
    std::vector<child_process> entry_vms;
};

} // namespace cairnhead::thin_path
