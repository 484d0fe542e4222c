#include "fleet.hpp"

#include <criterion/criterion.h>

using namespace cairnhead;
using namespace cairnhead::version_texts;

namespace
{

constexpr std::size_t second = 10;

std::size_t count_services(fleet& vms, std::size_t vm = 0)
{
    return vms.at(vm).current()->services().size();
}

} // namespace

Test(verdicts, one_bad_document_holds_back_only_its_organisation)
{
    // Symptom: everyone's changes stop, or a bad edit empties a service.
    // Sequence: an operator publishes a text that may not be used. Cause: all
    // documents judged as one, or the old version dropped before the check.
    struct table_entry
    {
        char const* name;
        std::string text;
        bool is_refused;
    };
    table_entry const table[] = {
        {"not YAML", "organisation: [", true},
        {"empty", "", true},
        {"unknown key", brackenlea_text + "surplus: 1\n", true},
        {"another's address", greedy_text, true},
        {"another's name", association_text, true},
        {"good", brackenlea_text, false},
    };
    for (auto const& entry : table)
    {
        fleet vms(3, 1);
        vms.run(3 * second);
        auto const before = vms.at(0).generation();
        vms.platform.publish(brackenlea, entry.text);
        vms.run(2 * second);
        vms.platform.publish(association, association_text);
        vms.run(2 * second);
        cr_expect(vms.all_have(brackenlea, 2), "%s", entry.name);
        cr_expect(vms.all_have(association, 2), "%s", entry.name);
        cr_expect_eq(count_services(vms), 3, "%s", entry.name);
        auto const expected = before + (entry.is_refused ? 1 : 2);
        cr_expect_eq(vms.at(0).generation(), expected, "%s", entry.name);
        cr_expect_eq(
            vms.count_reports(0, report_kind::document_rejected),
            entry.is_refused ? 1 : 0, "%s", entry.name);
    }
}

Test(verdicts, a_joiner_gets_the_last_accepted_text_of_a_refused_document)
{
    // Symptom: a service answers at some VMs only. Sequence: a bad edit, then
    // a VM joins. Cause: peers and platform give it only the newest text.
    fleet vms(3, 1);
    vms.run(3 * second);
    vms.platform.publish(brackenlea, greedy_text);
    vms.run(2 * second);
    auto const joiner = vms.join();
    vms.run(2 * second);
    cr_expect(vms.is_caught_up(joiner));
    cr_expect_eq(count_services(vms, joiner), 3);
    cr_expect_eq(vms.at(joiner).digest(), vms.at(0).digest());

    // Judged again and refused as before: operators know that already.
    vms.platform.publish("allotment", both_allotted);
    vms.run(2 * second);
    cr_expect_eq(vms.count_reports(0, report_kind::document_rejected), 1);
    vms.platform.publish(brackenlea, brackenlea_text);
    vms.run(2 * second);
    cr_expect_eq(vms.at(joiner).stamps().size(), 3);
}

Test(verdicts, the_allotment_alone_decides_who_has_an_address)
{
    // Symptom: a packet reaches another organisation's service. Sequence:
    // operators change allotment and documents in any order. Cause: documents
    // checked once, against the allotment of that moment.
    struct table_entry
    {
        char const* name;
        std::string allotment;
        std::string brackenlea_document;
        std::size_t services;
    };
    table_entry const table[] = {
        {"overlap is refused whole", overlapping, greedy_text, 3},
        {"organisation dropped", association_alone, brackenlea_text, 2},
        {"one address taken", association_shrunk, brackenlea_text, 2},
        {"broken allotment", "organisations: 1", brackenlea_text, 3},
    };
    for (auto const& entry : table)
    {
        for (auto const is_allotment_first : {true, false})
        {
            fleet vms(3, 1);
            vms.run(3 * second);
            if (is_allotment_first)
                vms.platform.publish("allotment", entry.allotment);
            vms.run(1 * second);
            vms.platform.publish(brackenlea, entry.brackenlea_document);
            vms.run(1 * second);
            if (!is_allotment_first)
                vms.platform.publish("allotment", entry.allotment);
            vms.run(2 * second);
            auto const joiner = vms.join();
            vms.run(2 * second);
            for (std::size_t vm = 0; vm < vms.size(); ++vm)
                cr_expect_eq(
                    count_services(vms, vm), entry.services, "%s VM %zu",
                    entry.name, vm);
            cr_expect_eq(vms.at(joiner).digest(), vms.at(0).digest());
        }
    }
}

Test(verdicts, a_document_waits_for_its_allotment)
{
    // Symptom: a change that was refused stays out though its allotment came.
    // Sequence: the document arrives before the allotment that permits it.
    // Cause: verdicts that are final.
    fleet vms(3, 1);
    vms.platform.publish("allotment", association_alone);
    vms.run(3 * second);
    cr_expect_eq(count_services(vms), 2);
    vms.platform.publish("allotment", both_allotted);
    vms.run(2 * second);
    cr_expect_eq(count_services(vms), 3);
}
