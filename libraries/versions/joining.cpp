#include <versions/joining.hpp>

#include <random>
#include <utility>

namespace cairnhead
{

namespace
{

/// A VM that received no answer asks again after this: when all VMs start at
/// once, the peers that all of them ask may be up a little later than the
/// others.
constexpr duration unanswered_retry_delay = std::chrono::milliseconds(90);

/// How many peers are asked by the first request and by a retry: some of the
/// peers that a VM knows may have stopped.
constexpr std::size_t first_peers_to_ask = 2;
constexpr std::size_t maximum_peers_to_ask = 3;

/// A VM that was referred to others and not served asks again after this: long
/// enough for a few VMs to pass documents on to each other.
constexpr duration referral_retry_delay = std::chrono::milliseconds(400);

/// How many VMs read the platform at once. The seeds may be the last to start,
/// and reading takes long on a small VM. So a few other VMs read at once, the
/// seeds refer joiners to them, and no joiner has to wait until the seeds have
/// read.
constexpr std::uint32_t early_reader_percent = 5;
constexpr std::uint32_t whole_percent = 100;

/// A VM reads the upstreams and the first page after this: seeds that are up
/// have answered by then.
constexpr duration answer_timeout = std::chrono::milliseconds(20);

/// A VM that receives no answer reads the platform after the shorter time, and
/// a VM that was referred to others after the longer one. Both get random
/// jitter: VMs that are cut off from the peers that they know must not all read
/// at the same time.
constexpr duration unanswered_read_delay = std::chrono::milliseconds(800);
constexpr duration referred_read_delay = std::chrono::milliseconds(1'500);

/// A random duration between `length` and twice `length`.
duration add_jitter(duration length, version_random& random)
{
    std::uniform_int_distribution<duration::rep> jitter(0, length.count());
    return length + duration(jitter(random));
}

} // namespace

joining::joining(vm_identity const& own) : self(own)
{
}

void joining::begin(time_point now, bool is_own_seed, version_random& random)
{
    this->has_begun = true;
    this->is_seed = is_own_seed;
    this->first_page_read_at = now + answer_timeout;
    std::uniform_int_distribution<std::uint32_t> draw(1, whole_percent);
    bool const is_early = draw(random) <= early_reader_percent;
    this->complete_read_at =
        is_own_seed || is_early
            ? now
            : now + add_jitter(unanswered_read_delay, random);
}

void joining::record_several_pages()
{
    this->has_several_pages = true;
}

bool joining::take_upstreams_read(time_point now)
{
    bool const is_due = this->has_begun && !this->has_read_upstreams &&
                        now >= this->first_page_read_at &&
                        now < this->complete_read_at && !this->was_referred;
    this->has_read_upstreams |= is_due;
    return is_due;
}

bool joining::take_due(time_point now)
{
    if (now < this->next_request_at)
        return false;
    this->next_request_at = now + unanswered_retry_delay;
    ++this->requests_since_referral;
    if (std::exchange(this->is_referral_pending, false))
    {
        this->asked_holders.clear();
        ++this->failed_attempts;
    }
    return true;
}

std::size_t joining::peers_to_ask() const
{
    return this->requests_since_referral > 1 ? maximum_peers_to_ask
                                             : first_peers_to_ask;
}

join_request joining::request() const
{
    return {
        .domain = this->self.domain,
        .has_documents = false,
        .is_referred = false,
        .attempt = this->failed_attempts};
}

std::vector<vm_id> joining::follow(
    time_point now, join_referral const& referral, version_random& random)
{
    bool const is_first = !std::exchange(this->was_referred, true);
    this->is_referral_pending = true;
    this->requests_since_referral = 0;
    this->next_request_at = now + add_jitter(referral_retry_delay, random);
    if (referral.is_to_read)
        this->complete_read_at = std::min(this->complete_read_at, now);
    else if (is_first && now < this->complete_read_at)
        this->complete_read_at = now + add_jitter(referred_read_delay, random);
    std::vector<vm_id> named;
    for (vm_id const holder : referral.holders)
    {
        if (holder == this->self.id ||
            !this->asked_holders.insert(holder).second)
            continue;
        named.push_back(holder);
    }
    return named;
}

platform_access joining::choose_access(time_point now)
{
    if (!this->has_begun)
        return platform_access::none;
    if (now >= this->complete_read_at)
        return platform_access::reading;
    this->is_reading_first_page |=
        now >= this->first_page_read_at && !this->was_referred;
    return this->is_reading_first_page && !this->has_several_pages
               ? platform_access::first_page
               : platform_access::none;
}

std::optional<time_point> joining::next_due(time_point now) const
{
    std::optional<time_point> next;
    for (time_point const due :
         {this->first_page_read_at, this->next_request_at,
          this->complete_read_at})
    {
        if (due > now && (!next || due < *next))
            next = due;
    }
    return next;
}

bool joining::keeps_reading(time_point now) const
{
    return this->has_begun && (this->is_seed || now >= this->complete_read_at);
}

} // namespace cairnhead
