#include <exploration/succession_world.hpp>

#include <versions/peer_selection.hpp>

#include <algorithm>
#include <utility>

namespace cairnhead::exploration
{

namespace
{

using std::chrono_literals::operator""h;
using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;

constexpr failure_domain_id domain(1);
constexpr duration step_length = 20ms;
constexpr duration longest_play = 35s;

/// As the settings of a deployment have it.
constexpr duration patience = 1500ms;

/// How the platform's client makes calls.
constexpr duration call_time = 20ms;
constexpr duration call_period = 1s;
constexpr duration retry_period = 100ms;
constexpr duration hanging_time = 900ms;
constexpr duration answer_timeout = 2500ms;

/// How long others go on taking a VM for alive, and until they know a new one.
constexpr duration death_is_known_after = 3s;
constexpr duration start_is_known_after = 300ms;

constexpr duration message_time = 20ms;

/// VMs of one failure domain that may succeed its readers.
constexpr std::size_t candidates = 17;

/// The bounds that the rules give.
constexpr duration asked_within = 600ms;
/// One VM alone makes its call anew only when that has hung for long.
constexpr duration asked_alone_within = 1100ms;
constexpr duration rotation_step = 500ms;
constexpr duration search_time = 1100ms;
constexpr duration calls_window = 10s;
/// Of the rotation; each outage costs one search besides.
constexpr std::size_t calls_in_window = 21;
constexpr std::size_t most_readers = 2;
constexpr duration readers_settle_within = 6s;

} // namespace

std::string to_text(succession_violation const& found)
{
    using rule = succession_violation::rule;
    auto const name = [broken = found.broken]() -> std::string
    {
        switch (broken)
        {
        case rule::platform_unread:
            return "platform_unread";
        case rule::asked_late:
            return "asked_late";
        case rule::too_many_calls:
            return "too_many_calls";
        case rule::too_many_readers:
            return "too_many_readers";
        }
        return "unknown";
    };
    return name() + " at_ms=" + std::to_string(found.at / 1ms);
}

succession_world::succession_world(
    std::uint32_t count, std::vector<disturbance> happening)
    : script(std::move(happening)), vms(count)
{
    for (std::uint32_t number = 0; number < count; ++number)
        this->vms[number].id = vm_id(1 + number);
    std::ranges::sort(
        this->vms,
        [](vm const& first, vm const& second)
        {
            return reader_rank(domain, first.id)
                .is_above(reader_rank(domain, second.id));
        });
}

std::optional<succession_violation> succession_world::play()
{
    while (this->passed < longest_play && !this->found)
    {
        this->step();
        this->passed += step_length;
    }
    return this->found;
}

time_point succession_world::now() const
{
    return time_point(1h) + this->passed;
}

bool succession_world::suffers(disturbance_kind kind, std::uint32_t rank) const
{
    return std::ranges::any_of(
        this->script,
        [&](disturbance const& one)
        {
            return one.kind == kind && one.is_on(this->passed) &&
                   one.concerns(rank);
        });
}

bool succession_world::is_platform(disturbance_kind kind) const
{
    return std::ranges::any_of(
        this->script,
        [&](disturbance const& one)
        {
            return one.kind == kind && one.is_on(this->passed);
        });
}

bool succession_world::is_unanswered(std::uint32_t rank) const
{
    return this->is_platform(disturbance_kind::platform_silent) ||
           this->suffers(disturbance_kind::vms_unanswered, rank);
}

bool succession_world::is_served(std::uint32_t rank) const
{
    return !this->is_unanswered(rank) &&
           !this->is_platform(disturbance_kind::platform_refuses) &&
           !this->suffers(disturbance_kind::vms_turned_away, rank);
}

bool succession_world::is_frozen(std::uint32_t rank) const
{
    return this->suffers(disturbance_kind::vms_frozen, rank);
}

bool succession_world::is_quiet_since(duration moment) const
{
    return std::ranges::none_of(
        this->script,
        [&](disturbance const& one)
        {
            return this->passed >= one.at && one.at + one.length >= moment;
        });
}

void succession_world::step()
{
    this->start_and_stop();
    this->update_views();
    this->deliver();
    for (std::uint32_t rank = 0; rank < this->vms.size(); ++rank)
    {
        if (this->vms[rank].is_running && !this->is_frozen(rank))
            this->proceed(rank);
    }
    this->check();
}

void succession_world::start_and_stop()
{
    for (std::uint32_t rank = 0; rank < this->vms.size(); ++rank)
    {
        vm& each = this->vms[rank];
        bool const is_to_run =
            !this->suffers(disturbance_kind::vms_killed, rank);
        if (is_to_run == each.is_running)
            continue;
        each.is_running = is_to_run;
        each.are_peers_stale = true;
        each.under_way.reset();
        each.started_at = this->passed;
        if (!is_to_run)
        {
            each.succession.reset();
            continue;
        }
        version_settings settings;
        settings.readers_per_domain = 1;
        settings.reader_patience = patience;
        each.succession.emplace(settings, vm_identity{each.id, domain});
    }
}

void succession_world::update_views()
{
    bool is_news = false;
    for (vm& each : this->vms)
    {
        duration const known_after =
            each.is_running ? start_is_known_after : death_is_known_after;
        bool const is_known_now = each.are_peers_stale &&
                                  this->passed >= each.started_at + known_after;
        if (!is_known_now)
            continue;
        each.are_peers_stale = false;
        is_news = true;
    }
    if (!is_news)
        return;
    std::vector<document_peer> alive;
    for (vm const& each : this->vms)
    {
        // One that stopped a moment ago still counts, and one that has just
        // started does not yet.
        if (each.is_running != each.are_peers_stale)
            alive.push_back({each.id, domain});
    }
    for (vm& each : this->vms)
    {
        if (each.succession && !each.are_peers_stale)
            each.succession->set_peers(this->now(), alive);
    }
}

void succession_world::deliver()
{
    for (message const& each : std::exchange(this->on_their_way, {}))
    {
        if (this->passed < each.due_at)
        {
            this->on_their_way.push_back(each);
            continue;
        }
        auto const receiver = std::ranges::find(this->vms, each.to, &vm::id);
        auto const rank =
            static_cast<std::uint32_t>(receiver - this->vms.begin());
        bool const is_lost =
            !receiver->succession || this->is_frozen(rank) ||
            this->suffers(disturbance_kind::vms_cut_off, rank) ||
            this->suffers(disturbance_kind::vms_cut_off, each.from);
        if (is_lost)
            continue;
        vm_id const from = this->vms[each.from].id;
        if (each.said == word::heartbeat)
            receiver->succession->receive_heartbeat(this->now(), from);
        else
            receiver->succession->receive_attempt(this->now(), from);
    }
}

void succession_world::proceed(std::uint32_t rank)
{
    vm& each = this->vms[rank];
    if (each.are_peers_stale)
        return;
    if (each.under_way && this->passed >= each.under_way->ends_at)
        this->end_call(rank);
    if (auto const turn = each.succession->take_turn(this->now()))
    {
        this->tell(rank, turn->announced_to, word::attempt);
        bool const is_hanging =
            each.under_way &&
            this->passed >= each.under_way->began_at + hanging_time;
        if (!each.under_way || is_hanging)
            this->begin_call(rank);
        return;
    }
    bool const is_due = !each.under_way && this->passed >= each.next_call_at;
    if (is_due && each.succession->is_reading(this->now()))
        this->begin_call(rank);
}

void succession_world::end_call(std::uint32_t rank)
{
    vm& each = this->vms[rank];
    call const ended = *std::exchange(each.under_way, std::nullopt);
    if (!ended.is_answered)
    {
        each.next_call_at = this->passed + retry_period;
        return each.succession->failed(this->now());
    }
    each.next_call_at = this->passed + call_period;
    each.answered_at = this->passed;
    this->answered_at = this->passed;
    this->tell(rank, each.succession->answered(this->now()), word::heartbeat);
}

void succession_world::tell(
    std::uint32_t from, std::span<vm_id const> to, word said)
{
    for (vm_id const receiver : to)
        this->on_their_way.push_back(
            {this->passed + message_time, from, receiver, said});
}

void succession_world::begin_call(std::uint32_t rank)
{
    bool const is_answered = this->is_served(rank);
    duration const length =
        this->is_unanswered(rank) ? answer_timeout : call_time;
    this->vms[rank].under_way =
        call{this->passed, this->passed + length, is_answered};
    this->asked_at = this->passed;
    if (!is_answered)
        this->vain_calls.push_back(this->passed);
}

std::size_t succession_world::count_able() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->vms,
        [](vm const& each)
        {
            return each.able_since.has_value();
        }));
}

void succession_world::check()
{
    for (std::uint32_t rank = 0; rank < this->vms.size(); ++rank)
    {
        vm& each = this->vms[rank];
        bool const is_able = each.is_running && !each.are_peers_stale &&
                             !this->is_frozen(rank) && this->is_served(rank);
        if (!is_able)
            each.able_since.reset();
        else if (!each.able_since)
            each.able_since = this->passed;
    }
    bool const is_down = this->is_platform(disturbance_kind::platform_silent) ||
                         this->is_platform(disturbance_kind::platform_refuses);
    if (is_down && !this->was_down)
        this->down_since = this->passed;
    if (is_down)
        this->back_at.reset();
    else if (this->was_down)
        this->back_at = this->passed;
    this->was_down = is_down;
    using rule = succession_violation::rule;
    if (this->is_unread())
        this->note(rule::platform_unread);
    if (this->is_asked_late())
        this->note(rule::asked_late);
    if (this->are_calls_too_many())
        this->note(rule::too_many_calls);
    if (this->are_readers_too_many())
        this->note(rule::too_many_readers);
}

bool succession_world::is_unread() const
{
    // Only candidates read, by the ranks of all.
    auto const last = std::min(this->vms.size(), candidates);
    std::span const readable(this->vms.data(), last);
    std::optional<duration> able_since;
    for (vm const& each : readable)
    {
        if (each.able_since)
            able_since = std::min(
                able_since.value_or(*each.able_since), *each.able_since);
    }
    if (!able_since)
        return false;
    duration const unread_since = std::max(*able_since, this->answered_at);
    auto const unable = std::ranges::count_if(
        readable,
        [unread_since](vm const& each)
        {
            return !each.able_since || *each.able_since > unread_since;
        });
    // A VM that has just started waits twice as long, then comes the search,
    // and then one turn for each that was of no use meanwhile: two calls a
    // second are no more.
    duration const bound = patience * 2 + search_time +
                           rotation_step * static_cast<int>(1 + unable);
    return this->passed > unread_since + bound;
}

bool succession_world::is_asked_late() const
{
    if (!this->back_at || this->count_able() < this->vms.size())
        return false;
    bool const was_long =
        *this->back_at - this->down_since >= patience + search_time * 2;
    duration const bound =
        this->vms.size() == 1 ? asked_alone_within : asked_within;
    bool const is_due = this->passed > *this->back_at + bound;
    if (!was_long || !is_due || this->asked_at >= *this->back_at)
        return false;
    // All else was over before the platform went down.
    return std::ranges::none_of(
        this->script,
        [this](disturbance const& one)
        {
            bool const is_outage =
                one.kind == disturbance_kind::platform_silent ||
                one.kind == disturbance_kind::platform_refuses;
            return !is_outage && one.at <= this->passed &&
                   one.at + one.length + death_is_known_after >=
                       this->down_since;
        });
}

bool succession_world::are_calls_too_many()
{
    while (!this->vain_calls.empty() &&
           this->passed > this->vain_calls.front() + calls_window)
        this->vain_calls.pop_front();
    // VMs that are cut off from each other do not know of each other's calls,
    // and those that start or wake count their turns anew.
    bool const is_together = std::ranges::none_of(
        this->script,
        [](disturbance const& one)
        {
            return one.kind == disturbance_kind::vms_cut_off ||
                   one.kind == disturbance_kind::vms_killed ||
                   one.kind == disturbance_kind::vms_frozen;
        });
    auto const searches = static_cast<std::size_t>(std::ranges::count_if(
        this->script,
        [this](disturbance const& one)
        {
            return one.at <= this->passed &&
                   this->passed <= one.at + one.length + calls_window;
        }));
    return is_together &&
           this->vain_calls.size() > calls_in_window + candidates * searches;
}

bool succession_world::are_readers_too_many()
{
    auto const readers = static_cast<std::size_t>(std::ranges::count_if(
        this->vms,
        [this](vm const& each)
        {
            return each.is_running && each.answered_at > duration{} &&
                   this->passed < each.answered_at + call_period * 3 / 2;
        }));
    bool const is_quiet = this->is_quiet_since(
        this->passed - std::min<duration>(this->passed, readers_settle_within));
    if (readers <= most_readers || !is_quiet)
    {
        this->crowded_since.reset();
        return false;
    }
    if (!this->crowded_since)
        this->crowded_since = this->passed;
    return this->passed > *this->crowded_since + readers_settle_within;
}

void succession_world::note(succession_violation::rule broken)
{
    if (!this->found)
        this->found = succession_violation{broken, this->passed};
}

} // namespace cairnhead::exploration
