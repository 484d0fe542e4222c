#include "store.hpp"

#include <users_platform/samples.hpp>

#include <chrono>

namespace cairnhead::tagged_path
{

namespace
{

constexpr int status_not_found = 404;
constexpr int status_unavailable = 503;

} // namespace

store::store(std::string const& address, int port)
{
    this->server.Get(
        "/-/(kv-[a-z]+)",
        [this](auto const& request, auto& response)
        {
            this->answer(request, response);
        });
    this->server.bind_to_port(address.c_str(), port);
    this->thread = std::thread(
        [this]
        {
            this->server.listen_after_bind();
        });
    // Stopping a server that does not run yet would have no effect.
    while (!this->server.is_running())
        std::this_thread::yield();
}

store::~store()
{
    this->server.stop();
    this->thread.join();
}

void store::put(std::string const& key, std::string const& value)
{
    std::lock_guard const lock(this->mutex);
    auto const revision = this->changes.size() + 1;
    std::string const text = samples::make_written(key, revision, value);
    this->items[key] = text;
    this->changes.push_back({revision, key, text});
    this->changed.notify_all();
}

void store::set_down(bool is_down_now)
{
    std::lock_guard const lock(this->mutex);
    this->is_down = is_down_now;
    this->changed.notify_all();
}

int store::refused() const
{
    std::lock_guard const lock(this->mutex);
    return this->refusals;
}

void store::answer(httplib::Request const& request, httplib::Response& response)
{
    std::unique_lock lock(this->mutex);
    std::string const call = request.matches[1];
    std::string body;
    if (call == "kv-watch")
        body = this->await_events(request, lock);
    else if (call == "kv-range")
        body = this->read_range(request.get_param_value("prefix"));
    else if (auto const found =
                 this->items.find(request.get_param_value("key"));
             found != this->items.end())
        body = found->second;
    if (body.empty())
        response.status = status_not_found;
    if (this->is_down)
    {
        ++this->refusals;
        response.status = status_unavailable;
        body.clear();
    }
    response.set_content(body, "application/json");
}

std::string store::read_range(std::string const& prefix) const
{
    std::vector<std::string> found;
    for (auto const& [key, text] : this->items)
    {
        if (key.starts_with(prefix))
            found.push_back(text);
    }
    return samples::make_page("items", found, this->changes.size());
}

std::string store::await_events(
    httplib::Request const& request, std::unique_lock<std::mutex>& lock) const
{
    std::string const prefix = request.get_param_value("prefix");
    auto const after = std::stoull(request.get_param_value("after"));
    std::chrono::milliseconds const wait(
        std::stoll(request.get_param_value("waitMs")));
    std::vector<std::string> events;
    this->changed.wait_for(
        lock, wait,
        [&]
        {
            events.clear();
            for (change const& each : this->changes)
            {
                if (each.revision > after && each.key.starts_with(prefix))
                    events.push_back(each.text);
            }
            return !events.empty() || this->is_down;
        });
    return samples::make_page("events", events, this->changes.size());
}

} // namespace cairnhead::tagged_path
