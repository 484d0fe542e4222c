#include <base/hash.hpp>
#include <base/ipv4.hpp>
#include <settings/settings.hpp>

#include "declaration/document_text.hpp"

#include <criterion/criterion.h>

namespace cairnhead
{

namespace
{

using kind = settings_error_kind;

std::string const secret =
    "00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF";

std::string const good_settings =
    R"(vm: {address: 127.0.1.1, failure_domain: stirling, random_seed: 9}
fabric:
  listen_port: 6070
  sources: [127.0.0.10, 127.0.0.11]
  return: "127.0.0.10:6082"
  maximum_packet_age: 3s
upstreams: {port: 6090}
peers:
  port: 6071
  document_port: 6073
  seeds: [127.0.1.1, 127.0.1.2]
  keys: [{id: 1, secret: 00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF}]
flow_key: 000102030405060708090a0b0c0d0e0f
platform: {url: "http://127.0.0.1:8500"}
control: {port: 6074}
metrics: {port: 0}
logging: {level: debug, lines_per_second: 7}
membership:
  probe_period: 400ms
  probe_timeout: 150ms
  indirect_probes: 2
  suspicion_timeout: 3s
  lease: 2500ms
  dead_retention: 1min
  dead_probe_period: 4s
  updates_per_message: 6
ownership: {history_retention: 1h}
pins:
  maximum_pins: 1000
  opening_lifetime: 1s
  closing_lifetime: 2s
  reset_lifetime: 3s
  feed_lifetime: 4h
  form_lifetime: 5min
  media_lifetime: 6min
  refresh_period: 7s
  sweep_period: 8s
handover: {bytes_per_second: 9, leave_timeout: 1min, leave_minimum: 2s}
versions:
  readers_per_domain: 1
  watch_wait: 10s
  backoff_minimum: 100ms
  backoff_maximum: 3s
  fetch_timeout: 4s
  announce_fanout: 5
  join_timeout: 6s
placement:
  failures_to_eject: 4
  ejection_minimum: 1s
  ejection_maximum: 2s
  maximum_ejected_percent: 30
  slow_start: 4s
  report_lifetime: 5s
  probe_period: 6s
  probers_per_upstream: 7
admission:
  burst: 2s
  minimum_retry_after: 3s
  maximum_retry_after: 4s
  maximum_organisation_percent: 50
)";

/// A VM behind a fabric whose packets carry tags, with a metadata store.
std::string const tagged_settings =
    R"(vm: {address: 10.1.0.10, failure_domain: perth}
fabric: {encapsulation: tagged, listen: "10.1.0.10:8172"}
peers:
  port: 6071
  document_port: 6073
  seeds: ["10.1.0.10:9000", 10.1.0.11]
  keys: [{id: 1, secret: 00112233445566778899aabbccddeeff00112233445566778899AABBCCDDEEFF}]
flow_key: 000102030405060708090a0b0c0d0e0f
platform: {url: "http://127.0.0.1:8500", protocol: metadata_store}
readiness: {listen: "10.1.0.10:8173", path: /-/ready}
tagging:
  upstream_retention: 80s
  missing_grace: 3s
  answer_timeout: 150ms
  avoidance_minimum: 2s
  avoidance_maximum: 9s
  idle_timeout: 16s
  cold_share_percent: 70
  maximum_flows: 1000
  placement: answer_times
  flow_lifetime: 61s
)";

std::vector<settings_error> errors_of(std::string_view text)
{
    try
    {
        (void)parse_settings(text);
    }
    catch (settings_rejected const& failure)
    {
        return {failure.errors().begin(), failure.errors().end()};
    }
    return {};
}

} // namespace

Test(settings, reads_who_and_where)
{
    daemon_settings const read = parse_settings(good_settings);
    cr_expect(read.reducer.self.id == vm_id(0x7f000101));
    cr_expect(read.reducer.self.domain == make_failure_domain_id("stirling"));
    cr_expect_eq(read.failure_domain, "stirling");
    cr_expect_eq(read.reducer.random_seed, 9);
    cr_expect_eq(read.reducer.seeds.size(), 2);
    cr_expect(read.reducer.seeds.at(1) == vm_id(0x7f000102));
    cr_expect_eq(read.fabric.listen_port, 6070);
    cr_expect_eq(read.fabric.sources.size(), 2);
    cr_expect(read.fabric.return_path.address == *parse_ipv4("127.0.0.10"));
    cr_expect_eq(read.fabric.return_path.port, 6082);
    cr_expect(read.fabric.maximum_packet_age == 3s);
    cr_expect_eq(read.upstream_port, 6090);
    cr_expect_eq(read.peers.port, 6071);
    cr_expect_eq(read.peers.document_port, 6073);
    cr_expect_eq(read.peers.keys.size(), 1);
    cr_expect_eq(read.peers.keys.at(0).id, 1);
    cr_expect_eq(read.peers.keys.at(0).secret[31], 0xff);
    cr_expect_eq(read.flow_key[15], 0x0f);
    cr_expect_eq(read.platform_url, "http://127.0.0.1:8500");
    cr_expect_eq(read.control_port, 6074);
    cr_expect_eq(read.metrics_port, 0);
    cr_expect_eq(read.logging.level, "debug");
    cr_expect_eq(read.logging.lines_per_second, 7);
}

Test(settings, reads_every_optional_section)
{
    reducer_settings const read = parse_settings(good_settings).reducer;
    cr_expect(read.membership.probe_period == 400ms);
    cr_expect(read.membership.probe_timeout == 150ms);
    cr_expect_eq(read.membership.indirect_probes, 2);
    cr_expect(read.membership.suspicion_timeout == 3s);
    cr_expect(read.membership.lease == 2500ms);
    cr_expect(read.membership.dead_retention == 1min);
    cr_expect(read.membership.dead_probe_period == 4s);
    cr_expect_eq(read.membership.updates_per_message, 6);
    cr_expect(read.ownership.history_retention == 1h);
    cr_expect_eq(read.pins.maximum_pins, 1000);
    cr_expect(read.pins.opening_lifetime == 1s);
    cr_expect(read.pins.closing_lifetime == 2s);
    cr_expect(read.pins.reset_lifetime == 3s);
    cr_expect(read.pins.feed_lifetime == 4h);
    cr_expect(read.pins.form_lifetime == 5min);
    cr_expect(read.pins.media_lifetime == 6min);
    cr_expect(read.pins.refresh_period == 7s);
    cr_expect(read.pins.sweep_period == 8s);
    cr_expect_eq(read.handover.bytes_per_second, 9);
    cr_expect(read.handover.leave_timeout == 1min);
    cr_expect(read.handover.leave_minimum == 2s);
    cr_expect_eq(read.versions.readers_per_domain, 1);
    cr_expect(read.versions.watch_wait == 10s);
    cr_expect(read.versions.backoff_minimum == 100ms);
    cr_expect(read.versions.backoff_maximum == 3s);
    cr_expect(read.versions.fetch_timeout == 4s);
    cr_expect_eq(read.versions.announce_fanout, 5);
    cr_expect(read.versions.join_timeout == 6s);
    cr_expect_eq(read.placement.failures_to_eject, 4);
    cr_expect(read.placement.ejection_minimum == 1s);
    cr_expect(read.placement.ejection_maximum == 2s);
    cr_expect_eq(read.placement.maximum_ejected_percent, 30);
    cr_expect(read.placement.slow_start == 4s);
    cr_expect(read.placement.report_lifetime == 5s);
    cr_expect(read.placement.probe_period == 6s);
    cr_expect_eq(read.placement.probers_per_upstream, 7);
    cr_expect(read.admission.burst == 2s);
    cr_expect(read.admission.minimum_retry_after == 3s);
    cr_expect(read.admission.maximum_retry_after == 4s);
    cr_expect_eq(read.admission.maximum_organisation_percent, 50);
}

Test(settings, reads_a_tagged_fabric)
{
    daemon_settings const read = parse_settings(tagged_settings);
    cr_expect(read.fabric.encapsulation == fabric_encapsulation::tagged);
    cr_expect(read.reducer.memory == flow_memory::tags);
    cr_expect_eq(read.fabric.listen_port, 8172);
    cr_expect_eq(read.fabric.caller_port, 8172);
    cr_expect(read.fabric.sources.empty());
    cr_expect(read.publishes == platform_protocol::metadata_store);
    cr_expect_eq(read.readiness.port, 8173);
    cr_expect_eq(read.readiness.path, "/-/ready");
    std::vector<vm_id> const seeds = {vm_id(0x0a01000a), vm_id(0x0a01000b)};
    cr_expect(read.reducer.seeds == seeds);
    tagging_settings const& tagging = read.reducer.tagging;
    cr_expect(tagging.upstream_retention == 80s);
    cr_expect(tagging.missing_grace == 3s);
    cr_expect(tagging.answer_timeout == 150ms);
    cr_expect(tagging.avoidance_minimum == 2s);
    cr_expect(tagging.avoidance_maximum == 9s);
    cr_expect(tagging.idle_timeout == 16s);
    cr_expect(tagging.flow_lifetime == 61s);
    cr_expect_eq(tagging.cold_share_percent, 70);
    cr_expect(tagging.placement == placement_rule::answer_times);
    cr_expect_eq(tagging.maximum_flows, 1000);
}

// Symptom: a VM of an old deployment treats packets in another way.
// Sequence: its file, which names none of the new keys, is read.
// Cause: a new key's default changes what the file meant.
Test(settings, files_without_the_new_keys_mean_what_they_meant)
{
    daemon_settings const read = parse_settings(good_settings);
    cr_expect(read.fabric.encapsulation == fabric_encapsulation::gue);
    cr_expect(read.reducer.memory == flow_memory::pins);
    cr_expect(read.publishes == platform_protocol::documents);
    cr_expect_eq(read.readiness.port, 0);
    std::string const named = replace_part(
        replace_part(
            good_settings, "fabric:\n", "fabric:\n  encapsulation: gue\n"),
        "8500\"", "8500\", protocol: documents");
    daemon_settings const same = parse_settings(named);
    cr_expect(same.fabric.encapsulation == fabric_encapsulation::gue);
    cr_expect(same.reducer.memory == flow_memory::pins);
    cr_expect(same.publishes == platform_protocol::documents);
}

Test(settings, a_vm_listens_to_its_peers_where_it_is_told)
{
    daemon_settings const usual = parse_settings(good_settings);
    cr_expect_eq(
        usual.peers.listen_address.value(), usual.reducer.self.id.value());
    daemon_settings const told = parse_settings(replace_part(
        good_settings, "peers:\n", "peers:\n  listen: 127.0.1.7\n"));
    cr_expect(told.peers.listen_address == *parse_ipv4("127.0.1.7"));
    cr_expect_eq(told.reducer.self.id, usual.reducer.self.id);
    cr_expect_throw(
        static_cast<void>(parse_settings(replace_part(
            good_settings, "peers:\n", "peers:\n  listen: here\n"))),
        settings_rejected);
}

/// Reads the text with each slip and expects its error.
void expect_errors(
    std::string const& good, std::span<bad_document<kind> const> cases)
{
    for (bad_document<kind> const& item : cases)
    {
        auto const errors =
            errors_of(replace_part(good, item.good_part, item.bad_part));
        cr_expect(
            has_error(errors, item.kind, item.line, item.column),
            "%s: %s at %u:%u", item.bad_part,
            errors.empty() ? "none" : to_text(errors[0].kind).data(),
            errors.empty() ? 0 : errors[0].line,
            errors.empty() ? 0 : errors[0].column);
    }
}

// Symptom: a VM starts with settings that nobody wrote, or not at all.
// Sequence: a settings file with one slip is read.
// Cause: a value that cannot be read is replaced by a default.
Test(settings, refuses_bad_tagged_fabrics)
{
    bad_document<kind> const cases[] = {
        {"tagged", "geneve", kind::out_of_range, 2, 25},
        {"tagged", "gue", kind::missing_key, 2, 9},
        {", listen: \"10.1.0.10:8172\"", "", kind::missing_key, 2, 9},
        {"10.1.0.10:8172", "10.1.0.11:8172", kind::conflicting_values, 2, 42},
        {"10.1.0.10:8172", "10.1.0.10", kind::bad_port, 2, 42},
        {"10.1.0.10:8172", "10.1.0.10:", kind::bad_port, 2, 42},
        {"10.1.0.10:8172", "10.1.0.10:0", kind::bad_port, 2, 42},
        {"10.1.0.10:8172", "10.1.0.10:65536", kind::bad_port, 2, 42},
        {"10.1.0.10:8172", "10.1.0.10:81x", kind::bad_port, 2, 42},
        {"10.1.0.10:8172", ":8172", kind::bad_address, 2, 42},
        {"10.1.0.10:8172", "host:8172", kind::bad_address, 2, 42},
        {"10.1.0.10:8172\"", "10.1.0.10:8172\", sources: [x]",
         kind::bad_address, 2, 69},
        {"8172", "6071", kind::conflicting_values, 4, 3},
        {"10.1.0.10:9000", "host:9000", kind::bad_address, 6, 12},
        {"10.1.0.10:9000", ":9000", kind::bad_address, 6, 12},
        {"10.1.0.10:9000", "", kind::bad_address, 6, 12},
        {"10.1.0.10:9000", "10.1.0.10:xyz", kind::bad_port, 6, 12},
        {"metadata_store", "documents", kind::conflicting_values, 9, 11},
        {"tagged,", "tagged, listen_port: 80,", kind::conflicting_values, 2,
         46},
        {"tagged,", "tagged, return: '10.1.0.10:80',", kind::conflicting_values,
         2, 42},
        {"metadata_store", "etcd", kind::out_of_range, 9, 52},
        {"metadata_store", "[]", kind::wrong_type, 9, 52},
        {"8173", "6073", kind::conflicting_values, 10, 12},
        {"10.1.0.10:8173", "10.1.0.1:8173", kind::conflicting_values, 10, 22},
        {"listen: \"10.1.0.10:8173\", ", "", kind::missing_key, 10, 12},
        {"/-/ready", "ready", kind::bad_url, 10, 45},
        {"/-/ready", "''", kind::bad_url, 10, 46},
        {"path:", "paths:", kind::unknown_key, 10, 39},
        {"80s", "80", kind::unit_missing, 12, 23},
        {"150ms", "0ms", kind::out_of_range, 14, 19},
        {"2s", "10s", kind::conflicting_values, 15, 22},
        {"percent: 70", "percent: 0", kind::out_of_range, 18, 23},
        {"percent: 70", "percent: 101", kind::out_of_range, 18, 23},
        {"1000", "0", kind::out_of_range, 19, 18},
        {"idle_timeout", "idle_time", kind::unknown_key, 17, 3},
        {"answer_times", "answer_time", kind::out_of_range, 20, 14},
        {"answer_times", "''", kind::out_of_range, 20, 15},
        {"answer_times", "[flows]", kind::wrong_type, 20, 14},
    };
    expect_errors(tagged_settings, cases);
}

// Symptom: a VM starts with settings that nobody wrote, or not at all.
// Sequence: a settings file with one slip is read.
// Cause: a value that cannot be read is replaced by a default.
Test(settings, refuses_bad_files)
{
    bad_document<kind> const cases[] = {
        {"vm: {address", "vm: {adress", kind::unknown_key, 1, 6},
        {"vm: {address", "vm: {adress", kind::missing_key, 1, 5},
        {"127.0.1.1,", "127.0.1,", kind::bad_address, 1, 15},
        {"stirling", "Stirling", kind::bad_name, 1, 42},
        {": 9}", ": x}", kind::bad_number, 1, 65},
        {"fabric:", "fabric: ]", kind::not_yaml, 2, 9},
        {"6070", "0", kind::bad_port, 3, 16},
        {"6070", "65536", kind::bad_port, 3, 16},
        {"6070", "6071", kind::conflicting_values, 9, 3},
        {"[127.0.0.10, 127.0.0.11]", "[]", kind::out_of_range, 4, 12},
        {"[127.0.0.10, 127.0.0.11]", "127.0.0.10", kind::wrong_type, 4, 12},
        {"0.10:6082", "0.10", kind::bad_port, 5, 12},
        {"\"127.0.0.10:6082\"", "host:6082", kind::bad_address, 5, 11},
        {"  return: \"127.0.0.10:6082\"\n", "", kind::missing_key, 3, 3},
        {"age: 3s", "age: 3", kind::unit_missing, 6, 23},
        {"age: 3s", "age: 3m", kind::bad_duration, 6, 23},
        {"age: 3s", "age: -3s", kind::bad_duration, 6, 23},
        {"age: 3s", "age: 1.5s", kind::bad_duration, 6, 23},
        {"age: 3s", "age: 0s", kind::out_of_range, 6, 23},
        {"age: 3s", "age: 9999999999999999h", kind::out_of_range, 6, 23},
        {"[{id: 1,", "[{id: 300,", kind::out_of_range, 12, 15},
        {"[{id: 1,", "[{", kind::missing_key, 12, 10},
        {"EEFF}]", "EEF}]", kind::bad_secret, 12, 26},
        {"EEFF}]", "EEFF00}]", kind::bad_secret, 12, 26},
        {"EEFF}]", "EEFX}]", kind::bad_secret, 12, 26},
        {"0b0c0d0e0f", "", kind::bad_secret, 13, 11},
        {"http://", "ftp://", kind::bad_url, 14, 18},
        {"http://127.0.0.1:8500", "http://", kind::bad_url, 14, 18},
        {"6074", "6073", kind::conflicting_values, 15, 10},
        {"debug", "loud", kind::bad_level, 17, 18},
        {": 7}", ": 0}", kind::out_of_range, 17, 43},
        {"150ms", "400ms", kind::conflicting_values, 20, 18},
        {"lease: 2500ms", "lease: 4s", kind::conflicting_values, 23, 10},
        {"lease: 2500ms", "lease: 0ms", kind::out_of_range, 23, 10},
        {"indirect_probes: 2", "indirect_probes: -2", kind::bad_number, 21, 20},
        {"indirect_probes:", "direct_probes:", kind::unknown_key, 21, 3},
        {"probe_timeout:", "probe_period:", kind::duplicate_key, 20, 3},
        {"percent: 30", "percent: 101", kind::out_of_range, 51, 28},
        {"ownership: {history_retention: 1h}", "ownership: 1h",
         kind::wrong_type, 27, 12},
        {"flow_key", "flow_keys", kind::missing_key, 1, 1},
    };
    expect_errors(good_settings, cases);
}

Test(settings, reports_all_errors_at_once)
{
    std::string text = replace_part(good_settings, "6070", "0");
    text = replace_part(text, "debug", "loud");
    text = replace_part(text, "burst: 2s", "burst: 2");
    cr_expect_eq(errors_of(text).size(), 3);
}

// Symptom: peers drop each other's frames after a key was rotated.
// Sequence: a file with none, three or equal key ids is rolled out.
// Cause: a frame's key is chosen by its id, and two are kept at most.
Test(settings, takes_one_or_two_keys_with_distinct_ids)
{
    auto const with_keys = [](std::initializer_list<int> ids)
    {
        std::string list;
        for (int id : ids)
            list += "{id: " + std::to_string(id) + ", secret: " + secret + "},";
        return replace_part(
            good_settings, "{id: 1, secret: " + secret + "}", list);
    };
    cr_expect(errors_of(with_keys({1, 2})).empty());
    auto const expect_only = [](std::string const& text, kind expected)
    {
        auto const errors = errors_of(text);
        cr_assert_eq(errors.size(), 1);
        cr_expect(errors[0].kind == expected);
    };
    expect_only(with_keys({}), kind::wrong_key_count);
    expect_only(with_keys({1, 2, 3}), kind::wrong_key_count);
    expect_only(with_keys({1, 1}), kind::conflicting_values);
}

// Symptom: a key of the fleet stands in a log.
// Sequence: a secret is written in a wrong place, and its file is refused.
// Cause: the error quotes what it could not read.
Test(settings, never_quotes_secrets)
{
    std::string const whole = "secret: " + secret;
    std::string const replacements[] = {
        secret,
        secret + ": 1, " + secret,
        "secret: *" + secret,
        "secret: &" + secret + " x",
        "secret: !" + secret,
        "secret: " + secret + "0",
        "secret: [" + secret + "]",
        "secret: '\\x" + secret,
        "secrets: " + secret,
    };
    for (std::string const& replacement : replacements)
    {
        auto const errors =
            errors_of(replace_part(good_settings, whole, replacement));
        cr_expect_not(errors.empty(), "%s", replacement.c_str());
        for (settings_error const& error : errors)
            cr_expect(
                error.subject.find(secret.substr(0, 8)) == std::string::npos,
                "%s", error.subject.c_str());
    }
}

// Symptom: all VMs probe and back off at the same moments.
// Sequence: no file names a random seed.
// Cause: all VMs draw the same random numbers.
Test(settings, vms_without_a_seed_differ)
{
    std::string const text =
        replace_part(good_settings, ", random_seed: 9", "");
    std::string const other = replace_part(text, "127.0.1.1", "127.0.1.2");
    cr_expect_neq(
        parse_settings(text).reducer.random_seed,
        parse_settings(other).reducer.random_seed);
}

Test(settings, examples_can_be_read)
{
    struct
    {
        std::string deployment;
        std::vector<std::string> domains;
    } const cases[] = {
        {"association", {"stirling", "perth", "falkirk", "lanark"}},
        {"brackenlea", {"dub-a", "dub-b", "dub-c"}},
    };
    for (auto const& item : cases)
    {
        for (std::string const& domain : item.domains)
        {
            for (char const* const number : {"-1.yaml", "-2.yaml"})
            {
                daemon_settings const read = parse_settings(read_example(
                    item.deployment + "/settings-" + domain + number));
                cr_expect_eq(read.failure_domain, domain);
            }
        }
    }
}

// Symptom: a VM ends without telling what is wrong with its file.
// Sequence: a file that was damaged at any place is read.
// Cause: an exception that is not `settings_rejected` leaves the parser.
Test(settings, mutations_leave_only_typed_errors)
{
    for (std::string const& good : {good_settings, tagged_settings})
    {
        auto const rejected = count_rejected_mutations<settings_rejected>(
            good,
            [](std::string_view text)
            {
                (void)parse_settings(text);
            });
        cr_expect_gt(rejected, 0);
    }
}

// Symptom: a VM does not start, though its platform's figures are good.
// Sequence: the platform gives a grace in which no fabric can give a VM up.
// Cause: settings that refuse what can be served as far as it goes.
Test(settings, any_grace_of_a_platform_is_taken)
{
    struct table_entry
    {
        char const* grace;
        duration expected;
    };
    table_entry const table[] = {
        {"6s", 6s}, {"1800ms", 1800ms}, {"1s", 1s}, {"0ms", 0ms}};
    for (auto const& [grace, expected] : table)
    {
        std::string text = good_settings;
        std::string const part = "leave_minimum: 2s}";
        text.replace(
            text.find(part), part.size(),
            "leave_minimum: 2s, stop_grace: " + std::string(grace) + "}");
        daemon_settings const read = parse_settings(text);
        cr_expect(read.reducer.handover.stop_grace == expected, "%s", grace);
    }
}

} // namespace cairnhead
