#include "samples.hpp"

#include <platform/store_mirror.hpp>

#include <criterion/criterion.h>
#include <map>
#include <random>

using namespace cairnhead;
using namespace cairnhead::samples;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t seed = 20260101;

store_item make_item(
    std::string const& key,
    std::uint64_t revision,
    std::optional<std::string> value)
{
    return {key, store_revision(revision), std::move(value)};
}

store_item make_upstream_item(
    int number, std::uint64_t revision, char const* state, int heartbeat = 0)
{
    return make_item(
        "servers/i-" + std::to_string(number), revision,
        make_value(
            "10.0.0." + std::to_string(number) + ":80", state, heartbeat));
}

/// The upstreams of a document, without how cold they are and when they
/// changed: the one falls all the time, and the other may be any version from
/// the change on, so readers may differ in both.
std::vector<registered_upstream> content_of(store_mirror const& mirror)
{
    auto listing = decode_upstreams(mirror.upstreams_text());
    for (registered_upstream& upstream : listing.upstreams)
    {
        upstream.cold_milliseconds = 0;
        upstream.changed_at = {};
    }
    return listing.upstreams;
}

mirror_outcome apply_one(store_mirror& mirror, store_item const& item)
{
    return mirror.apply({&item, 1});
}

/// A configuration that names this service alone.
store_item make_configuration_item(
    std::uint64_t revision,
    std::uint64_t version,
    std::string const& service = "listings")
{
    return make_item(
        "op/config", revision,
        make_configuration(version, make_route(443, service)));
}

/// A complete read of upstreams. The configuration is as old as can be.
void read_upstreams(store_mirror& mirror, store_page const& upstreams)
{
    auto const outcome = mirror.replace(
        upstreams, {{make_configuration_item(0, 1)}, store_revision(0)});
    cr_assert(outcome == mirror_outcome::taken_in);
}

/// A complete read of what operators wrote, without upstreams.
void read_operator_items(store_mirror& mirror, store_page const& items)
{
    auto const outcome = mirror.replace({{}, items.revision}, items);
    cr_assert(outcome == mirror_outcome::taken_in);
}

/// The entry of an upstream of that service.
store_item make_entry_of(
    std::string const& service, std::string const& key, std::uint64_t revision)
{
    std::string value = make_value("10.0.0.1:80", "ready");
    std::string const sample = "listings";
    value.replace(value.find(sample), sample.size(), service);
    return make_item(key, revision, value);
}

/// A mirror that has read two upstreams at revision 10.
store_mirror make_mirror()
{
    store_mirror mirror;
    read_upstreams(
        mirror,
        {{make_upstream_item(1, 4, "ready"), make_upstream_item(2, 7, "ready")},
         store_revision(10),
         false});
    return mirror;
}

/// A store's whole history: the state after each revision.
class history
{
public:
    explicit history(std::uint64_t chosen_seed) : random(chosen_seed)
    {
    }

    void change()
    {
        std::uint64_t const revision = this->states.size();
        auto state = this->states.back();
        auto item = this->random() % 8 == 0
                        ? this->choose_configuration(revision)
                        : this->choose_entry(revision);
        state.erase(item.key);
        if (item.value)
            state.emplace(item.key, item);
        this->events.push_back(item);
        this->states.push_back(std::move(state));
    }

    [[nodiscard]] std::uint64_t revision() const
    {
        return this->states.size() - 1;
    }

    /// A complete read in pages of two: each shows the revision at which it
    /// was read, which may lie ahead of the first page's. Sets `seen` to the
    /// last page's.
    [[nodiscard]] store_page read(std::uint64_t at, std::uint64_t& seen)
    {
        store_page all{{}, store_revision(at), false};
        std::string after = "servers/";
        for (std::uint64_t now = at;; now = this->later(now))
        {
            seen = now;
            auto next = this->states[now].upper_bound(after);
            for (int left = 2; left > 0; --left, ++next)
            {
                if (next == this->states[now].end())
                    return all;
                all.items.push_back(next->second);
                after = next->first;
            }
        }
    }

    /// What operators wrote, at that revision.
    [[nodiscard]] store_page read_operator_items(std::uint64_t at) const
    {
        auto const found = this->states[at].find("op/config");
        if (found == this->states[at].end())
            return {{}, store_revision(at)};
        return {{found->second}, store_revision(at)};
    }

    [[nodiscard]] store_item const& event(std::uint64_t revision) const
    {
        return this->events[revision - 1];
    }

private:
    store_item choose_entry(std::uint64_t revision)
    {
        int const number = 1 + static_cast<int>(this->random() % 5);
        auto item = make_upstream_item(
            number, revision, this->random() % 3 == 0 ? "draining" : "ready",
            static_cast<int>(revision));
        if (number > 3)
            item.value->replace(item.value->find("listings"), 8, "offers");
        if (this->random() % 3 == 0)
            item.value.reset();
        return item;
    }

    /// Names one of the two services, or both.
    store_item choose_configuration(std::uint64_t revision)
    {
        std::string const routes[] = {
            make_route(443, "listings"), make_route(444, "offers"),
            make_route(443, "listings") + "," + make_route(444, "offers")};
        return make_item(
            "op/config", revision,
            make_configuration(revision, routes[this->random() % 3]));
    }

    std::uint64_t later(std::uint64_t now)
    {
        return std::min(this->revision(), now + this->random() % 3);
    }

    std::mt19937_64 random;
    std::vector<std::map<std::string, store_item>> states{{}};
    std::vector<store_item> events;
};

/// One reader, and how far it has read.
struct reader
{
    store_mirror mirror;
    std::uint64_t revision = 0;
    /// Up to here its content may show changes.
    std::uint64_t seen = 0;

    void read_all(history& store, std::uint64_t at)
    {
        std::uint64_t last_page = 0;
        auto const upstreams = store.read(at, last_page);
        auto const outcome = this->mirror.replace(
            upstreams, store.read_operator_items(last_page));
        if (outcome == mirror_outcome::needs_complete_read)
            return this->read_all(store, last_page);
        this->revision = at;
        this->seen = std::max(this->seen, last_page);
    }

    void watch(history& store, std::uint64_t until)
    {
        while (this->revision < until)
        {
            auto const outcome =
                apply_one(this->mirror, store.event(this->revision + 1));
            if (outcome == mirror_outcome::needs_complete_read)
                return this->read_all(store, until);
            ++this->revision;
        }
        this->seen = std::max(this->seen, this->revision);
    }
};

/// Whether the first reader has read all that either of them may show, and
/// yet its document would not replace the other's.
bool is_outranked(reader const& first, reader const& other)
{
    if (first.revision < std::max(first.seen, other.seen))
        return false;
    bool const is_newer =
        first.mirror.upstreams_version() > other.mirror.upstreams_version();
    return !is_newer && content_of(first.mirror) != content_of(other.mirror);
}

} // namespace

Test(store_mirror, only_what_vms_decide_by_is_news)
{
    // Symptom: each VM sends the registry around many times a second, or a
    // drained upstream goes on getting flows. Sequence: upstreams write their
    // heartbeats. Cause: the wrong changes of an entry count.
    struct table_entry
    {
        char const* name;
        store_item item;
        bool is_news;
    };
    std::string const value = make_value("10.0.0.1:80", "ready");
    table_entry const table[] = {
        {"heartbeat", make_upstream_item(1, 11, "ready", 5), false},
        {"state", make_upstream_item(1, 11, "draining"), true},
        {"address",
         make_item("servers/i-1", 11, make_value("10.0.0.9:80", "ready")),
         true},
        {"new", make_upstream_item(3, 11, "ready"), true},
        {"removed", make_item("servers/i-1", 11, std::nullopt), true},
        {"unreadable", make_item("servers/i-1", 11, "{"), true},
        {"unreadable, new", make_item("servers/i-9", 11, "{"), false},
        {"other key", make_item("elsewhere/i-1", 11, value), false},
        {"no id", make_item("servers/", 11, value), false},
    };
    for (auto const& [name, item, is_news] : table)
    {
        store_mirror mirror = make_mirror();
        auto const before = mirror.upstreams_version();
        auto const content = content_of(mirror);
        (void)apply_one(mirror, item);
        cr_expect_eq(mirror.upstreams_version() > before, is_news, "%s", name);
        cr_expect_eq(content_of(mirror) != content, is_news, "%s", name);
    }
}

// Symptom: callers are sent to an upstream whose entry says nothing any more.
// Sequence: another writer puts its own under the key of a good entry, by a
// watch or found by a complete read. Cause: the old one was kept. It names no
// upstream to use; the others hold, and it is told once, not with each reading.
Test(store_mirror, an_entry_that_cannot_be_read_names_no_upstream)
{
    store_item unreadable = make_item("servers/i-1", 11, std::nullopt);
    unreadable.fault = store_fault::not_base64;
    store_item const bad[] = {
        make_item("servers/i-1", 11, "garbage"), unreadable,
        make_item("servers/i-1", 11, make_value("10.0.0.1:80", "paused"))};
    for (store_item const& item : bad)
    {
        store_mirror watched = make_mirror();
        auto const before = watched.upstreams_version();
        (void)apply_one(watched, item);
        cr_expect(watched.upstreams_version() > before);
        store_mirror read = make_mirror();
        read_upstreams(
            read, {{item, make_upstream_item(2, 7, "ready")},
                   store_revision(13),
                   false});
        for (store_mirror* const mirror : {&watched, &read})
        {
            cr_assert_eq(content_of(*mirror).size(), 1);
            cr_expect(content_of(*mirror)[0].instance == instance_number(2));
            cr_expect_eq(mirror->take_rejected().size(), 1);
            (void)apply_one(*mirror, item);
            cr_expect(mirror->take_rejected().empty(), "told before");
            (void)apply_one(*mirror, make_upstream_item(1, 14, "ready"));
            cr_expect_eq(content_of(*mirror).size(), 2);
            (void)apply_one(*mirror, item);
            cr_expect_eq(mirror->take_rejected().size(), 1, "bad again");
        }
    }
}

// Guards against entries of another writer that make the document of upstreams
// longer than VMs accept, so that they take in no change any more.
Test(store_mirror, an_entry_of_a_service_without_a_route_stays_out)
{
    // As long as a value of the store may be.
    constexpr std::size_t longest_value = std::size_t{1} << 20;
    auto const foreign =
        make_entry_of(std::string(longest_value, 's'), "servers/i-9", 11);
    auto const drained = make_upstream_item(1, 12, "draining");
    store_mirror watched = make_mirror();
    (void)apply_one(watched, foreign);
    (void)apply_one(watched, drained);
    store_mirror read = make_mirror();
    read_upstreams(
        read, {{drained, make_upstream_item(2, 7, "ready"), foreign},
               store_revision(13)});
    for (store_mirror* const mirror : {&watched, &read})
    {
        cr_expect_lt(mirror->upstreams_text().size(), 1000);
        cr_assert_eq(content_of(*mirror).size(), 2);
        cr_expect(content_of(*mirror)[0].is_draining);
        auto const rejected = mirror->take_rejected();
        cr_assert_eq(rejected.size(), 1);
        cr_expect(rejected[0].fault == store_fault::unknown_service);
    }
}

// Guards against an entry whose failure domain's name alone makes the document
// too long.
Test(store_mirror, an_entry_with_a_long_domain_name_stays_out)
{
    store_mirror mirror = make_mirror();
    auto item = make_upstream_item(9, 11, "ready");
    item.value->replace(
        item.value->find("perth"), 5,
        std::string(maximum_domain_name_bytes + 1, 'z'));
    (void)apply_one(mirror, item);
    cr_expect_eq(content_of(mirror).size(), 2);
    auto const rejected = mirror.take_rejected();
    cr_assert_eq(rejected.size(), 1);
    cr_expect(rejected[0].fault == store_fault::name_too_long);
}

// Guards against upstreams that registered before their service got a route
// and are never used.
Test(store_mirror, a_service_that_is_named_later_brings_its_upstreams)
{
    store_mirror mirror = make_mirror();
    auto const entry = make_entry_of("offers", "servers/i-9", 11);
    (void)apply_one(mirror, entry);
    auto const before = mirror.upstreams_version();
    auto const naming = make_configuration_item(12, 12, "offers");
    cr_assert(apply_one(mirror, naming) == mirror_outcome::needs_complete_read);
    cr_expect(mirror.routes_version() == document_version(1));
    // Read before the configuration was written, this would be a second
    // content of version 11.
    cr_expect(
        mirror.replace(
            {{entry}, store_revision(11)}, {{naming}, store_revision(12)}) ==
        mirror_outcome::needs_complete_read);
    cr_expect(mirror.upstreams_version() == before);
    cr_expect(
        mirror.replace(
            {{entry}, store_revision(12)}, {{naming}, store_revision(12)}) ==
        mirror_outcome::taken_in);
    cr_expect(mirror.routes_version() == document_version(12));
    cr_assert_eq(content_of(mirror).size(), 1);
    cr_expect(content_of(mirror)[0].instance == instance_number(9));
    cr_expect(mirror.upstreams_version() > before);
}

// Guards against upstreams that stay when the configuration no longer names
// their service: a reader that starts later would have another document.
Test(store_mirror, upstreams_leave_with_the_name_of_their_service)
{
    store_mirror mirror = make_mirror();
    std::string const both =
        make_route(443, "listings") + "," + make_route(444, "offers");
    (void)mirror.replace(
        {{make_upstream_item(1, 4, "ready"),
          make_entry_of("offers", "servers/i-9", 5)},
         store_revision(12)},
        {{make_item("op/config", 12, make_configuration(12, both))},
         store_revision(12)});
    cr_assert_eq(content_of(mirror).size(), 2);
    cr_expect(
        apply_one(mirror, make_configuration_item(14, 14, "listings")) ==
        mirror_outcome::taken_in);
    cr_assert_eq(content_of(mirror).size(), 1);
    cr_expect(content_of(mirror)[0].instance == instance_number(1));
    cr_expect(mirror.upstreams_version() == document_version(14));
}

// Symptom: all upstreams are lost. Sequence: two keys end with the same number.
// Cause: a document with both cannot be read by any VM.
Test(store_mirror, of_two_keys_with_one_number_the_first_counts)
{
    store_mirror mirror = make_mirror();
    read_upstreams(
        mirror,
        {{make_upstream_item(1, 4, "ready"),
          make_item("servers/z-1", 9, make_value("10.0.0.9:80", "ready"))},
         store_revision(13),
         false});
    cr_assert_eq(content_of(mirror).size(), 1);
    cr_expect(content_of(mirror)[0].address == ipv4_address(0x0a000001));
    auto const rejected = mirror.take_rejected();
    cr_assert_eq(rejected.size(), 1);
    cr_expect(rejected[0].fault == store_fault::instance_taken);
}

// Guards against an upstream that gets no flows any more because another
// writer's key ends in the same digits.
Test(store_mirror, a_key_with_the_digits_of_another_removes_nothing)
{
    std::string const key = "servers/agent-1";
    store_item const items[] = {
        make_item(key, 11, "garbage"),
        make_item(key, 12, make_value("10.0.0.9:80", "ready")),
        make_item(key, 13, std::nullopt)};
    for (store_item const& item : items)
    {
        store_mirror mirror = make_mirror();
        auto const before = content_of(mirror);
        (void)apply_one(mirror, item);
        cr_expect(content_of(mirror) == before);
        cr_expect_eq(mirror.take_rejected().size(), item.value ? 1 : 0);
        // Its own key is still heeded.
        (void)apply_one(mirror, make_item("servers/i-1", 14, std::nullopt));
        cr_expect_eq(content_of(mirror).size(), 1);
        (void)apply_one(
            mirror, make_item(key, 15, make_value("10.0.0.9:80", "ready")));
        cr_expect_eq(content_of(mirror).size(), 2);
    }
}

Test(store_mirror, a_configuration_that_cannot_be_read_leaves_the_old_one)
{
    store_mirror mirror = make_mirror();
    (void)apply_one(mirror, make_item("op/config", 11, make_configuration(12)));
    (void)apply_one(mirror, make_item("op/config", 12, "garbage"));
    cr_expect(mirror.routes_version() == document_version(12));
    cr_expect_eq(mirror.take_rejected().size(), 1);
}

// Symptom: what was believed of an upstream's earlier start goes on. Sequence:
// it starts again under its number. Cause: only the number counts as news.
Test(store_mirror, another_start_is_news)
{
    store_mirror mirror = make_mirror();
    auto value = make_value("10.0.0.1:80", "ready");
    value.insert(1, "\"born\":1772409600123,");
    auto const before = mirror.upstreams_version();
    (void)apply_one(mirror, make_item("servers/i-1", 11, value));
    cr_expect(mirror.upstreams_version() > before);
    cr_expect(content_of(mirror)[0].life == incarnation(1772409600123));
    auto const after = mirror.upstreams_version();
    (void)apply_one(mirror, make_item("servers/i-1", 12, value));
    cr_expect(mirror.upstreams_version() == after);
}

Test(store_mirror, a_complete_read_drops_what_it_lacks)
{
    store_mirror mirror = make_mirror();
    auto const before = mirror.upstreams_version();
    read_upstreams(
        mirror,
        {{make_upstream_item(2, 7, "ready")}, store_revision(20), false});
    cr_assert_eq(content_of(mirror).size(), 1);
    cr_expect(content_of(mirror)[0].instance == instance_number(2));
    cr_expect(mirror.upstreams_version() > before);

    store_mirror empty;
    read_upstreams(empty, {{}, store_revision(5), false});
    cr_expect(empty.upstreams_version() == document_version(5));
    cr_expect(content_of(empty).empty());
}

Test(store_mirror, an_older_configuration_changes_nothing)
{
    store_mirror mirror;
    cr_expect(mirror.routes_version() == document_version());
    read_operator_items(
        mirror, {{make_configuration_item(4, 12)}, store_revision(4)});
    cr_expect(mirror.routes_version() == document_version(12));
    auto const text = mirror.routes_text();
    cr_expect_eq(decode_routes(text).routes.size(), 1);
    apply_one(
        mirror,
        make_item("op/config", 5, R"({"configVersion":11,"routes":[]})"));
    (void)apply_one(mirror, make_item("op/config", 6, std::nullopt));
    cr_expect(mirror.routes_version() == document_version(12));
    cr_expect_eq(mirror.routes_text(), text);
}

Test(store_mirror, versions_never_fall)
{
    std::mt19937_64 random(seed);
    store_mirror mirror = make_mirror();
    auto before = mirror.upstreams_version();
    for (int round = 0; round < 2000; ++round)
    {
        std::uint64_t const revision = random() % 100;
        int const number = 1 + static_cast<int>(random() % 3);
        auto item = make_upstream_item(
            number, revision, random() % 2 == 0 ? "ready" : "draining");
        if (random() % 4 == 0)
            item.value.reset();
        if (random() % 8 == 0)
            read_upstreams(mirror, {{}, store_revision(revision), false});
        else
            (void)apply_one(mirror, item);
        cr_assert(mirror.upstreams_version() >= before, "round %d", round);
        before = mirror.upstreams_version();
    }
}

Test(store_mirror, a_higher_version_is_never_the_older_document)
{
    // Symptom: flows go on reaching an upstream that has left. Sequence: one
    // VM reads the registry anew, after an upstream came and went; a peer that
    // stopped reading in between lists a higher version, with that upstream.
    // Cause: the new reader's version is that of an older change than the
    // latest that its content shows.
    std::mt19937_64 random(seed);
    for (int round = 0; round < 1000; ++round)
    {
        history store(random());
        for (int left = 40; left > 0; --left)
            store.change();
        std::vector<reader> readers(4);
        for (int left = 40; left > 0; --left)
        {
            reader& taken = readers[random() % readers.size()];
            auto const until =
                std::min(store.revision(), taken.revision + random() % 10);
            if (taken.revision == 0 || random() % 6 == 0)
                taken.read_all(store, until);
            else
                taken.watch(store, until);
            for (reader const& other : readers)
            {
                cr_assert(!is_outranked(taken, other), "round %d", round);
                cr_assert(!is_outranked(other, taken), "round %d", round);
            }
        }
        reader fresh;
        fresh.read_all(store, store.revision());
        for (reader& finished : readers)
        {
            finished.watch(store, store.revision());
            cr_assert(content_of(finished.mirror) == content_of(fresh.mirror));
            cr_assert(!is_outranked(fresh, finished));
        }
    }
}

namespace
{

store_item make_evacuation(
    std::string const& domain,
    std::uint64_t revision,
    std::optional<std::string> value = "{}")
{
    return make_item("op/evacuate/" + domain, revision, std::move(value));
}

std::vector<std::string> evacuated_in(store_mirror const& mirror)
{
    return decode_evacuations(mirror.evacuations_text()).domains;
}

} // namespace

// Guards against an evacuation that is lost, or one that goes on after its end.
Test(store_mirror, evacuations_come_and_go_in_their_order)
{
    store_mirror mirror;
    cr_expect(mirror.evacuations_version() == document_version());
    read_operator_items(
        mirror, {{make_evacuation("perth", 4),
                  make_item("op/config", 5, make_configuration(12))},
                 store_revision(10)});
    cr_expect(evacuated_in(mirror) == std::vector<std::string>{"perth"});
    cr_expect(mirror.evacuations_version() == document_version(10));
    cr_expect(mirror.routes_version() == document_version(12));
    // Asked for, taken back and asked for again, seen at once.
    store_item const changes[] = {
        make_evacuation("lanark", 11), make_evacuation("lanark", 12, {}),
        make_evacuation("lanark", 13), make_evacuation("perth", 14, {})};
    (void)mirror.apply(changes);
    cr_expect(evacuated_in(mirror) == std::vector<std::string>{"lanark"});
    cr_expect(mirror.evacuations_version() == document_version(14));
    // Each of these came before what was read.
    (void)mirror.apply(changes);
    cr_expect(evacuated_in(mirror) == std::vector<std::string>{"lanark"});
    read_operator_items(
        mirror, {{make_evacuation("perth", 4)}, store_revision(10)});
    cr_expect(evacuated_in(mirror) == std::vector<std::string>{"lanark"});
    read_operator_items(mirror, {{}, store_revision(20)});
    cr_expect(evacuated_in(mirror).empty());
    cr_expect(mirror.evacuations_version() == document_version(20));
}

// Guards against one bad key or value that holds back evacuations.
Test(store_mirror, evacuations_with_bad_keys_or_values)
{
    store_mirror mirror;
    auto bad = make_evacuation("perth", 11, std::nullopt);
    bad.fault = store_fault::not_base64;
    store_item const changes[] = {
        make_evacuation("", 10), bad, make_evacuation("lanark", 12, "no json"),
        make_evacuation("atlantis", 13)};
    (void)mirror.apply(changes);
    std::vector<std::string> const expected{"atlantis", "lanark", "perth"};
    cr_expect(evacuated_in(mirror) == expected);
    auto const rejected = mirror.take_rejected();
    cr_assert_eq(rejected.size(), 2);
    cr_expect(rejected[0].fault == store_fault::no_domain);
    cr_expect(rejected[1].fault == store_fault::not_base64);
}

// Guards against a reader that goes on from another one's registry and forgets
// what is evacuated.
Test(store_mirror, a_reader_goes_on_with_evacuations)
{
    store_mirror mirror;
    versioned_listing<evacuation_listing> const known{
        document_version(9), {{"perth"}}};
    registry_snapshot snapshot{
        platform_index(20),
        std::make_shared<versioned_listing<route_listing> const>(),
        std::make_shared<versioned_listing<upstream_listing> const>(), nullptr};
    cr_expect_not(mirror.go_on_from(snapshot), "it would open flows there");
    snapshot.evacuations =
        std::make_shared<versioned_listing<evacuation_listing> const>(known);
    cr_expect(mirror.go_on_from(snapshot));
    cr_expect(evacuated_in(mirror) == std::vector<std::string>{"perth"});
    (void)apply_one(mirror, make_evacuation("perth", 21, {}));
    cr_expect(evacuated_in(mirror).empty());
}

Test(store_items, reads_how_upstreams_warm_up)
{
    std::string const services =
        R"("services":[{"name":"b","coldStartS":2.5,"coldPerS":4},)"
        R"({"name":"a"},{"name":"b","coldStartS":9}])";
    std::string text = make_configuration(12);
    text.replace(text.find("\"services\":[]"), 13, services);
    auto const warmups = parse_configuration(text).listing.warmups;
    cr_assert_eq(warmups.size(), 2);
    pool_warmup const without{"a", {}, 0};
    pool_warmup const with{"b", 2500ms, 4.0};
    cr_expect(warmups[0] == without);
    cr_expect(warmups[1] == with);
}
