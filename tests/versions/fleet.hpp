#pragma once

#include "texts.hpp"

#include <versions/version_store.hpp>

#include <deque>
#include <functional>
#include <map>
#include <random>
#include <set>

/// Several version stores and a platform; messages between them are passed as
/// effects.
namespace cairnhead
{

/// How the platform answers.
enum class platform_state : std::uint8_t
{
    good,
    down,
    /// The platform does not answer at all.
    silent,
    /// Documents cannot be fetched; listings can.
    no_documents,
    /// Fetched documents are one version older than listed.
    old_documents,
};

struct fake_platform
{
    struct document
    {
        std::uint64_t version = 0;
        std::string text;
    };

    platform_state state = platform_state::good;
    std::uint64_t index = 1;
    std::map<std::string, document> documents;
    std::uint64_t watches = 0;
    std::uint64_t fetches = 0;

    void publish(std::string const& name, std::string const& text);
};

class fleet
{
public:
    /// VM i is in failure domain i modulo `domains`. With a non-zero
    /// `patience`, the platform answers the calls of each reader once a second.
    fleet(
        std::size_t vms,
        std::size_t domains,
        std::uint32_t readers = 1,
        duration patience = duration::zero());

    /// Advances time in ticks of 100 ms.
    void run(std::size_t ticks);

    /// Adds a VM that is at once a peer of all others.
    std::size_t join();

    /// Disconnects a VM from all other VMs and the platform, or reconnects it.
    void cut(std::size_t vm);
    void reconnect(std::size_t vm);

    /// Stops a VM; its peers still consider it reachable.
    void kill_unnoticed(std::size_t vm);

    [[nodiscard]] version_store& at(std::size_t vm);
    [[nodiscard]] bool is_caught_up(std::size_t vm);
    [[nodiscard]] std::size_t size() const;
    [[nodiscard]] std::size_t
    count_reports(std::size_t vm, report_kind kind) const;

    /// Whether all VMs hold this version of the document.
    [[nodiscard]] bool all_have(std::string const& name, std::uint64_t version);

    /// The same for the VMs that are not cut off.
    [[nodiscard]] bool
    all_connected_have(std::string const& name, std::uint64_t version);

    /// Counts of the messages between VMs.
    struct traffic_counts
    {
        std::size_t changes = 0;
        std::map<std::size_t, std::size_t> changes_by_sender;
        std::size_t peer_fetches = 0;
        std::map<std::size_t, std::size_t> served_by;
        /// Number of fetches that the busiest VM answered.
        std::size_t most_fetches_served = 0;
    };

    fake_platform platform;
    traffic_counts traffic;
    /// Percentage of relayed changes that are lost.
    unsigned lost_changes_percent = 0;
    /// Peers that serve no documents.
    std::set<std::size_t> unresponsive_peers;
    /// VMs whose calls the platform rejects while it serves the others.
    std::set<std::size_t> rejected_by_platform;
    time_point now{};

private:
    struct node
    {
        vm_identity self;
        version_store store;
        std::optional<platform_index> watching;
        bool is_cut = false;
        std::map<report_kind, std::size_t> reports;
    };

    void add_node();
    void start(std::size_t vm);
    void set_all_peers();
    void compare_digests(std::size_t first, std::size_t second);
    void execute(std::size_t from, effect_list& effects);
    void execute_one(std::size_t from, effect const& item);
    void relay(std::size_t from, std::size_t to, registry_change const& change);
    void fetch(std::size_t from, fetch_document const& request);
    void fetch_from_platform(std::size_t from, fetch_document const& request);
    void answer_watches();
    void answer_calls();
    [[nodiscard]] bool is_served(std::size_t vm) const;
    void deliver();
    [[nodiscard]] std::size_t find(vm_id id) const;
    [[nodiscard]] bool is_connected(std::size_t from, std::size_t to) const;

    template <typename... Arguments>
    void post(std::size_t to, Arguments... arguments);

    std::size_t domains;
    std::uint32_t readers_per_domain;
    duration reader_patience;
    std::vector<node> nodes;
    std::deque<std::function<void()>> pending_messages;
    std::mt19937_64 random{20261202};
};

} // namespace cairnhead
