#include "fleet.hpp"

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::version_texts;

namespace
{

constexpr std::size_t ticks_per_second = 10;

std::size_t count_services(fleet& vms, std::size_t vm = 0)
{
    return vms.at(vm).current()->services().size();
}

} // namespace

Test(document_validation, an_invalid_document_affects_only_its_organisation)
{
    // Guards against a bad edit that stops the changes of all organisations, or
    // empties a service: an operator publishes a text that may not be used, and
    // all documents are validated as one, or the old version is dropped before
    // the check.
    struct table_entry
    {
        char const* name;
        std::string text;
        bool is_rejected;
    };
    table_entry const table[] = {
        {"not YAML", "organisation: [", true},
        {"empty", "", true},
        {"unknown key", brackenlea_text + "surplus: 1\n", true},
        {"another's address", unallotted_address_text, true},
        {"another's name", association_text, true},
        {"good", brackenlea_text, false},
    };
    for (auto const& entry : table)
    {
        fleet vms(3, 1);
        vms.run(3 * ticks_per_second);
        auto const before = vms.at(0).generation();
        vms.platform.publish(brackenlea, entry.text);
        vms.run(2 * ticks_per_second);
        vms.platform.publish(association, association_text);
        vms.run(2 * ticks_per_second);
        cr_expect(vms.all_have(brackenlea, 2), "%s", entry.name);
        cr_expect(vms.all_have(association, 2), "%s", entry.name);
        cr_expect_eq(count_services(vms), 3, "%s", entry.name);
        auto const expected = before + (entry.is_rejected ? 1 : 2);
        cr_expect_eq(vms.at(0).generation(), expected, "%s", entry.name);
        cr_expect_eq(
            vms.count_reports(0, report_kind::document_rejected),
            entry.is_rejected ? 1 : 0, "%s", entry.name);
    }
}

Test(
    document_validation,
    a_joiner_gets_the_last_accepted_text_of_a_rejected_document)
{
    // Guards against a service that answers at some VMs only: after a bad edit
    // a VM joins, and peers and platform serve it only the newest text.
    fleet vms(3, 1);
    vms.run(3 * ticks_per_second);
    vms.platform.publish(brackenlea, unallotted_address_text);
    vms.run(2 * ticks_per_second);
    auto const joiner = vms.join();
    vms.run(2 * ticks_per_second);
    cr_expect(vms.is_caught_up(joiner));
    cr_expect_eq(count_services(vms, joiner), 3);
    cr_expect_eq(vms.at(joiner).digest(), vms.at(0).digest());

    // Validated again and rejected as before: not reported to operators again.
    vms.platform.publish("allotment", both_allotted);
    vms.run(2 * ticks_per_second);
    cr_expect_eq(vms.count_reports(0, report_kind::document_rejected), 1);
    vms.platform.publish(brackenlea, brackenlea_text);
    vms.run(2 * ticks_per_second);
    cr_expect_eq(vms.at(joiner).stamps().size(), 3);
}

Test(document_validation, the_allotment_alone_decides_who_has_an_address)
{
    // Guards against a packet that reaches another organisation's service:
    // operators change allotment and documents in any order, and documents are
    // validated only once, against the allotment of that time.
    struct table_entry
    {
        char const* name;
        std::string allotment;
        std::string brackenlea_document;
        std::size_t services;
    };
    table_entry const table[] = {
        {"overlap is rejected as a whole", overlapping, unallotted_address_text,
         3},
        {"organisation dropped", association_alone, brackenlea_text, 2},
        {"one address taken", association_shrunk, brackenlea_text, 2},
        {"broken allotment", "organisations: 1", brackenlea_text, 3},
    };
    for (auto const& entry : table)
    {
        for (auto const is_allotment_first : {true, false})
        {
            fleet vms(3, 1);
            vms.run(3 * ticks_per_second);
            if (is_allotment_first)
                vms.platform.publish("allotment", entry.allotment);
            vms.run(1 * ticks_per_second);
            vms.platform.publish(brackenlea, entry.brackenlea_document);
            vms.run(1 * ticks_per_second);
            if (!is_allotment_first)
                vms.platform.publish("allotment", entry.allotment);
            vms.run(2 * ticks_per_second);
            auto const joiner = vms.join();
            vms.run(2 * ticks_per_second);
            for (std::size_t vm = 0; vm < vms.size(); ++vm)
                cr_expect_eq(
                    count_services(vms, vm), entry.services, "%s VM %zu",
                    entry.name, vm);
            cr_expect_eq(vms.at(joiner).digest(), vms.at(0).digest());
        }
    }
}

Test(document_validation, a_document_waits_for_its_allotment)
{
    // Guards against a rejected change that stays out of force although its
    // allotment arrived: the document arrives before the allotment that permits
    // it, and validation results are final.
    fleet vms(3, 1);
    vms.platform.publish("allotment", association_alone);
    vms.run(3 * ticks_per_second);
    cr_expect_eq(count_services(vms), 2);
    vms.platform.publish("allotment", both_allotted);
    vms.run(2 * ticks_per_second);
    cr_expect_eq(count_services(vms), 3);
}
