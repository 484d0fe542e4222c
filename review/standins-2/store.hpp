#pragma once

#include "loop.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace review
{

/// The platform's metadata store: ranges and watches over HTTP/1.1, with one
/// revision counter. Each machine reaches it at an address of its own, so that
/// calls can be told apart.
class store
{
public:
    store(loop& on, record& into);

    /// Serves one machine at this address.
    void serve(std::uint32_t address, std::uint16_t port, std::string machine);

    void put(std::string const& key, std::string const& value);
    void remove(std::string const& key);
    [[nodiscard]] std::uint64_t revision() const;

    /// Begins a compaction: watches hear nothing of what is changed.
    void silence_watches();
    /// Ends it: the history is dropped, and waiting watches are cut.
    void drop_history();

    struct call
    {
        std::string machine;
        std::string path;
        time_point at;
        /// The store's revision when the answer was made.
        std::uint64_t revision = 0;
    };
    [[nodiscard]] std::vector<call> const& calls() const;

private:
    struct item
    {
        std::string value;
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
    };
    struct change
    {
        std::string key;
        std::uint64_t revision = 0;
        std::optional<std::string> value;
        std::uint64_t created = 0;
    };
    struct connection
    {
        int descriptor = -1;
        std::string machine;
        std::string received;
    };
    using connection_ptr = std::shared_ptr<connection>;
    struct waiting_watch
    {
        connection_ptr from;
        std::string prefix;
        std::uint64_t after = 0;
        time_point until;
    };

    void accept(int listener, std::string const& machine);
    void read(connection_ptr const& from);
    void close(connection_ptr const& ended);
    void answer(connection_ptr const& to, std::string const& target);
    void send(
        connection_ptr const& to,
        std::string const& status,
        std::string const& body);
    [[nodiscard]] std::string
    range(std::string const& prefix, std::string const& after) const;
    void begin_watch(waiting_watch wanted);
    /// Whether the watch was answered.
    bool try_watch(waiting_watch const& wanted);
    void look_at_watches();

    loop& events;
    record& seen;
    std::map<std::string, item> items;
    std::vector<change> history;
    std::uint64_t current = 100;
    /// Changes up to this revision are no longer told.
    std::uint64_t dropped_up_to = 100;
    /// Watches hear of nothing after this revision while it is set.
    std::optional<std::uint64_t> silent_after;
    std::vector<waiting_watch> watches;
    std::vector<call> answered;
};

} // namespace review
