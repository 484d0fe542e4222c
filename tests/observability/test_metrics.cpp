#include <arpa/inet.h>
#include <httplib.h>
#include <observability/metrics.hpp>
#include <observability/metrics_exposer.hpp>
#include <sys/socket.h>
#include <unistd.h>

// Last: its macro `Test` would change Abseil's headers.
#include <criterion/criterion.h>

using namespace cairnhead;
using namespace std::chrono_literals;

namespace
{

constexpr std::string_view fault_names[] = {"truncated", "not_authentic"};
constexpr organisation_id association{7};
constexpr ipv4_address loopback{INADDR_LOOPBACK};

bool has_line(std::string const& scrape, std::string const& line)
{
    return ("\n" + scrape).find("\n" + line + "\n") != std::string::npos;
}

void count_one_of_each(packet_counters& counters)
{
    counters.count_sent_to_upstream();
    counters.count_sent_to_peer(frame_role::adopt);
    counters.count_drop(drop_reason::refused_silently);
    counters.count_fault(1);
    counters.count_refusal(association, refusal_reason::leaving);
    counters.count_control_sent(180);
    counters.count_control_received(90);
    counters.observe({association, flow_class::form, 2ms});
    counters.observe({association, flow_class::form, 11s});
    counters.observe({association, flow_class::form, -1s});
}

} // namespace

Test(metrics, a_scrape_tells_what_was_counted)
{
    metrics all(fault_names);
    packet_counters counters(std::size(fault_names));
    organisation_name const names[] = {{association, "association"}};
    all.name_organisations(names);
    all.set_gauges(
        {.pins = 300'000,
         .members_alive = 8,
         .members_suspect = 1,
         .members_dead = 2,
         .documents_generation = 41,
         .view = view_freshness::fresh});
    count_one_of_each(counters);
    all.flush(counters);
    all.flush(counters);
    auto const scrape = all.scrape();
    std::string const labels = "{organisation=\"association\",";
    std::string const form = "{class=\"form\",organisation=\"association\"";
    std::string const lines[] = {
        R"(cairnhead_packets_total{route="upstream"} 1)",
        R"(cairnhead_packets_total{route="peer_adopt"} 1)",
        R"(cairnhead_packets_total{route="peer_exhausted"} 0)",
        R"(cairnhead_packets_total{route="dropped"} 2)",
        R"(cairnhead_packets_total{route="refused"} 1)",
        R"(cairnhead_packets_dropped_total{reason="refused_silently"} 1)",
        R"(cairnhead_packets_dropped_total{reason="unknown_flow"} 0)",
        R"(cairnhead_packets_malformed_total{fault="not_authentic"} 1)",
        "cairnhead_openings_refused_total" + labels + "reason=\"leaving\"} 1",
        R"(cairnhead_control_bytes_total{direction="sent"} 180)",
        R"(cairnhead_control_bytes_total{direction="received"} 90)",
        "cairnhead_pins 300000",
        R"(cairnhead_members{status="suspect"} 1)",
        "cairnhead_documents_generation 41",
        "cairnhead_view_fresh 1",
        "cairnhead_handshake_seconds_count" + form + "} 3",
        "cairnhead_handshake_seconds_bucket" + form + ",le=\"0.001\"} 1",
        "cairnhead_handshake_seconds_bucket" + form + ",le=\"0.002\"} 2",
        "cairnhead_handshake_seconds_bucket" + form + ",le=\"10\"} 2",
        "cairnhead_handshake_seconds_bucket" + form + ",le=\"+Inf\"} 3",
    };
    for (auto const& line : lines)
        cr_expect(has_line(scrape, line), "%s", line.c_str());
}

Test(metrics, organisations_without_end_share_a_label)
{
    // Symptom: a scrape grows until the scraper gives up.
    // Sequence: documents name ever more organisations.
    // Cause: a label for each value that came from outside.
    metrics all(fault_names);
    packet_counters counters(std::size(fault_names));
    constexpr std::uint32_t beyond = 3;
    for (std::uint32_t id = 0; id < maximum_labelled_organisations + beyond;
         ++id)
        counters.count_refusal(
            organisation_id(id), refusal_reason::service_limit);
    all.flush(counters);
    cr_expect(has_line(
        all.scrape(),
        R"(cairnhead_openings_refused_total{organisation="other",)"
        R"(reason="service_limit"} 3)"));
}

Test(metrics, every_declared_value_has_a_name)
{
    cr_expect_eq(
        count_of_values<drop_reason>(),
        std::size_t(drop_reason::upstream_unreachable) + 1);
    cr_expect_eq(
        count_of_values<refusal_reason>(),
        std::size_t(refusal_reason::leaving) + 1);
    cr_expect_eq(
        count_of_values<report_kind>(),
        std::size_t(report_kind::spill_stopped) + 1);
}

Test(exposer, port_zero_serves_nothing)
{
    metrics all(fault_names);
    cr_expect_not(metrics_exposer(all.registry(), loopback, 0).is_listening());
}

Test(exposer, a_taken_port_is_a_typed_error)
{
    // Symptom: a VM ends at start without a word that helps.
    // Sequence: another process holds the metrics port.
    // Cause: the HTTP library's own exception, which nobody expects.
    int const holder = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const plain = reinterpret_cast<sockaddr*>(&address);
    cr_assert_eq(bind(holder, plain, size), 0);
    cr_assert_eq(listen(holder, 1), 0);
    cr_assert_eq(getsockname(holder, plain, &size), 0);
    metrics all(fault_names);
    auto const port = ntohs(address.sin_port);
    cr_expect_throw(
        metrics_exposer(all.registry(), loopback, port), exposer_unavailable);
    close(holder);
    metrics_exposer const served(all.registry(), loopback, port);
    cr_expect(served.is_listening());
}

Test(exposer, serves_what_a_scrape_tells, .timeout = 30)
{
    metrics all(fault_names);
    int const holder = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* const plain = reinterpret_cast<sockaddr*>(&address);
    cr_assert_eq(bind(holder, plain, size), 0);
    cr_assert_eq(getsockname(holder, plain, &size), 0);
    close(holder);
    auto const port = ntohs(address.sin_port);
    metrics_exposer const served(all.registry(), loopback, port);
    httplib::Client client("127.0.0.1", port);
    auto const answer = client.Get("/metrics");
    cr_assert(answer);
    cr_expect_eq(answer->status, 200);
    cr_expect_eq(answer->body, all.scrape());
    cr_expect(
        answer->get_header_value("Content-Type").starts_with("text/plain"));
    auto const other = client.Get("/other");
    cr_assert(other);
    cr_expect_eq(other->status, 404);
}
