#include "store.hpp"

#include <algorithm>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace review
{

namespace
{

/// How long the store takes to answer, by the users' sheet.
constexpr auto answer_time = 4ms;

constexpr std::size_t items_per_page = 50;

std::string to_base64(std::string const& bytes)
{
    static char const* const digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                      "abcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3)
    {
        unsigned group = 0;
        for (std::size_t next = at; next < at + 3; ++next)
        {
            unsigned const byte = next < bytes.size()
                                      ? static_cast<std::uint8_t>(bytes[next])
                                      : 0;
            group = (group << 8) | byte;
        }
        std::size_t const used = std::min<std::size_t>(3, bytes.size() - at);
        for (std::size_t digit = 0; digit < 4; ++digit)
            text +=
                digit <= used ? digits[(group >> (18 - 6 * digit)) & 63] : '=';
    }
    return text;
}

std::string decode_query(std::string const& text)
{
    std::string plain;
    for (std::size_t at = 0; at < text.size(); ++at)
    {
        if (text[at] != '%' || at + 2 >= text.size())
        {
            plain += text[at];
            continue;
        }
        plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), {}, 16));
        at += 2;
    }
    return plain;
}

std::string query_value(std::string const& target, std::string const& name)
{
    auto const marks = target.find('?');
    if (marks == std::string::npos)
        return {};
    std::string const query = "&" + target.substr(marks + 1) + "&";
    auto const found = query.find("&" + name + "=");
    if (found == std::string::npos)
        return {};
    auto const begin = found + name.size() + 2;
    return decode_query(query.substr(begin, query.find('&', begin) - begin));
}

std::uint64_t to_number(std::string const& text)
{
    return text.empty() ? 0 : std::stoull(text);
}

std::string describe(
    std::string const& key,
    std::string const& value,
    std::uint64_t revision,
    std::uint64_t created)
{
    return R"({"key":")" + key + R"(","value":")" + to_base64(value) +
           R"(","rev":)" + std::to_string(revision) + R"(,"createRev":)" +
           std::to_string(created) + R"(,"lease":0})";
}

} // namespace

store::store(loop& on, record& into) : events(on), seen(into)
{
}

void store::serve(
    std::uint32_t address, std::uint16_t port, std::string machine)
{
    int const listener = listen_tcp(address, port);
    this->events.watch(
        listener,
        [this, listener, name = std::move(machine)]
        {
            this->accept(listener, name);
        });
}

void store::put(std::string const& key, std::string const& value)
{
    ++this->current;
    auto& kept = this->items[key];
    if (kept.created == 0)
        kept.created = this->current;
    kept.value = value;
    kept.revision = this->current;
    this->history.push_back({key, this->current, value, kept.created});
    this->look_at_watches();
}

void store::remove(std::string const& key)
{
    ++this->current;
    this->items.erase(key);
    this->history.push_back({key, this->current, std::nullopt, 0});
    this->look_at_watches();
}

std::uint64_t store::revision() const
{
    return this->current;
}

void store::silence_watches()
{
    this->silent_after = this->current;
}

void store::drop_history()
{
    this->silent_after.reset();
    this->dropped_up_to = this->current;
    this->history.clear();
    for (waiting_watch const& cut : std::exchange(this->watches, {}))
        this->close(cut.from);
}

std::vector<store::call> const& store::calls() const
{
    return this->answered;
}

void store::accept(int listener, std::string const& machine)
{
    int const accepted =
        ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted < 0)
        return;
    auto made = std::make_shared<connection>();
    made->descriptor = accepted;
    made->machine = machine;
    this->events.watch(
        accepted,
        [this, made]
        {
            this->read(made);
        });
}

void store::read(connection_ptr const& from)
{
    char buffer[4096];
    auto const count = ::recv(from->descriptor, buffer, sizeof(buffer), 0);
    if (count <= 0)
        return this->close(from);
    from->received.append(buffer, static_cast<std::size_t>(count));
    auto const end = from->received.find("\r\n\r\n");
    if (end == std::string::npos)
        return;
    std::string const head = from->received.substr(0, end);
    from->received.erase(0, end + 4);
    auto const begin = head.find(' ') + 1;
    std::string const target =
        head.substr(begin, head.find(' ', begin) - begin);
    this->events.after(
        answer_time,
        [this, from, target]
        {
            this->answer(from, target);
        });
}

void store::close(connection_ptr const& ended)
{
    if (ended->descriptor < 0)
        return;
    this->events.unwatch(ended->descriptor);
    ::close(ended->descriptor);
    ended->descriptor = -1;
}

void store::answer(connection_ptr const& to, std::string const& target)
{
    std::string const path = target.substr(0, target.find('?'));
    std::string const prefix = query_value(target, "prefix");
    std::string const after = query_value(target, "after");
    this->answered.push_back(
        {to->machine, path + " " + prefix, clock::now(), this->current});
    this->seen.write(
        "store call machine=" + to->machine + " target=" + target +
        " revision=" + std::to_string(this->current));
    if (path == "/-/kv-range")
        return this->send(to, "200 OK", this->range(prefix, after));
    if (path == "/-/kv-watch")
        return this->begin_watch(
            {to, prefix, to_number(after),
             clock::now() +
                 milliseconds(to_number(query_value(target, "waitMs")))});
    this->send(to, "404 Not Found", "{}");
}

void store::send(
    connection_ptr const& to,
    std::string const& status,
    std::string const& body)
{
    if (to->descriptor < 0)
        return;
    std::string const text =
        "HTTP/1.1 " + status +
        "\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(body.size()) + "\r\n\r\n" + body;
    // Answers are a few kilobytes, less than a socket's buffer.
    static_cast<void>(
        ::send(to->descriptor, text.data(), text.size(), MSG_NOSIGNAL));
}

std::string
store::range(std::string const& prefix, std::string const& after) const
{
    std::string listed;
    std::size_t count = 0;
    bool is_truncated = false;
    auto next = after.empty() ? this->items.lower_bound(prefix)
                              : this->items.upper_bound(after);
    for (; next != this->items.end() && next->first.starts_with(prefix); ++next)
    {
        is_truncated = count == items_per_page;
        if (is_truncated)
            break;
        auto const& [key, kept] = *next;
        listed += count++ == 0 ? "" : ",";
        listed += describe(key, kept.value, kept.revision, kept.created);
    }
    return R"({"items":[)" + listed + R"(],"truncated":)" +
           (is_truncated ? "true" : "false") + R"(,"storeRevision":)" +
           std::to_string(this->current) + "}";
}

void store::begin_watch(waiting_watch wanted)
{
    if (wanted.after < this->dropped_up_to)
    {
        this->seen.write("store watch-410 machine=" + wanted.from->machine);
        return this->send(wanted.from, "410 Gone", "{}");
    }
    if (this->try_watch(wanted))
        return;
    this->events.at(
        wanted.until,
        [this]
        {
            this->look_at_watches();
        });
    this->watches.push_back(std::move(wanted));
}

bool store::try_watch(waiting_watch const& wanted)
{
    std::uint64_t const known = this->silent_after.value_or(this->current);
    std::string told;
    for (change const& each : this->history)
    {
        bool const is_told = each.revision > wanted.after &&
                             each.revision <= known &&
                             each.key.starts_with(wanted.prefix);
        if (!is_told)
            continue;
        told += told.empty() ? "" : ",";
        told +=
            each.value
                ? describe(each.key, *each.value, each.revision, each.created)
                : R"({"key":")" + each.key + R"(","rev":)" +
                      std::to_string(each.revision) + R"(,"removed":true})";
    }
    if (told.empty() && clock::now() < wanted.until)
        return false;
    this->send(
        wanted.from, "200 OK",
        R"({"events":[)" + told + R"(],"storeRevision":)" +
            std::to_string(std::max(known, wanted.after)) + "}");
    return true;
}

void store::look_at_watches()
{
    std::erase_if(
        this->watches,
        [this](waiting_watch const& each)
        {
            return this->try_watch(each);
        });
}

} // namespace review
