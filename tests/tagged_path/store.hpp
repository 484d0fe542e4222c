#pragma once

#include <condition_variable>
#include <cstdint>
#include <httplib.h>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace cairnhead::tagged_path
{

/// A metadata store in this process: it holds few keys and forgets no
/// history. Thread safety of all methods: any thread.
class store
{
public:
    /// Precondition: nothing listens at the address and port.
    store(std::string const& address, int port);

    store(store const&) = delete;
    store& operator=(store const&) = delete;
    ~store();

    /// Writes a key. No precondition.
    void put(std::string const& key, std::string const& value);

    /// While the store is down, it answers each call with 503. No
    /// precondition.
    void set_down(bool is_down_now);

    /// Calls answered with 503. No precondition.
    [[nodiscard]] int refused() const;

private:
    /// One change as the store tells it.
    struct change
    {
        std::uint64_t revision;
        std::string key;
        std::string text;
    };

    void answer(httplib::Request const& request, httplib::Response& response);
    std::string read_range(std::string const& prefix) const;
    std::string await_events(
        httplib::Request const& request, std::unique_lock<std::mutex>&) const;

    mutable std::mutex mutex;
    mutable std::condition_variable changed;
    /// By key.
    std::map<std::string, std::string> items;
    std::vector<change> changes;
    bool is_down = false;
    int refusals = 0;
    httplib::Server server;
    std::thread thread;
};

} // namespace cairnhead::tagged_path
