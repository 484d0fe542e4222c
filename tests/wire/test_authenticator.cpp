#include <criterion/criterion.h>
#include <wire/authenticator.hpp>
#include <wire/codec.hpp>

using namespace cairnhead;

namespace
{

std::vector<std::uint8_t> const old_secret(32, 0x11);
std::vector<std::uint8_t> const new_secret(32, 0x22);

authenticator make(std::vector<authenticator::key> const& keys)
{
    return authenticator(keys);
}

std::vector<std::uint8_t>
signed_by(authenticator const& signer, datagram_kind kind)
{
    std::vector<std::uint8_t> datagram(60, 0x33);
    signer.sign(datagram, static_cast<std::uint8_t>(kind));
    return datagram;
}

datagram_kind const all_kinds[] = {
    datagram_kind::control, datagram_kind::frame,
    datagram_kind::document_request, datagram_kind::document_answer};

} // namespace

Test(authenticator, both_keys_are_accepted_during_rotation)
{
    // Symptom: VMs ignore each other while a new key is rolled out.
    // Sequence: one VM signs with the new key, another still with the old.
    // Cause: accepting only the key that one signs with oneself.
    auto const before = make({{1, old_secret}});
    auto const during_old = make({{1, old_secret}, {2, new_secret}});
    auto const during_new = make({{2, new_secret}, {1, old_secret}});
    auto const after = make({{2, new_secret}});
    struct rotation_case
    {
        authenticator const& signer;
        authenticator const& reader;
        bool accepted;
    };
    rotation_case const cases[] = {
        {before, during_old, true},     {during_old, before, true},
        {during_old, during_new, true}, {during_new, during_old, true},
        {after, during_new, true},      {before, after, false},
        {during_new, before, false},
    };
    for (auto const kind : all_kinds)
        for (auto const& item : cases)
            cr_expect_eq(
                item.reader.is_authentic(signed_by(item.signer, kind)),
                item.accepted);
}

Test(authenticator, a_change_of_any_bit_is_detected)
{
    // Symptom: a forged claim moves flows or ends a VM's membership.
    // Sequence: a datagram is changed on its way, in any one place.
    // Cause: a tag that leaves out the prefix, the kind or some payload.
    auto const signer = make({{1, old_secret}, {2, new_secret}});
    for (auto const kind : all_kinds)
    {
        auto datagram = signed_by(signer, kind);
        cr_assert(signer.is_authentic(datagram));
        for (std::size_t bit = 0; bit < datagram.size() * 8; ++bit)
        {
            auto const mask = static_cast<std::uint8_t>(1U << (bit % 8));
            datagram[bit / 8] ^= mask;
            cr_expect_not(signer.is_authentic(datagram), "bit %zu", bit);
            datagram[bit / 8] ^= mask;
        }
    }
}

Test(authenticator, datagrams_of_any_other_length_are_refused)
{
    auto const signer = make({{1, old_secret}});
    auto const whole = signed_by(signer, datagram_kind::frame);
    for (std::size_t size = 0; size < whole.size(); ++size)
        cr_expect_not(
            signer.is_authentic(std::span(whole).first(size)), "%zu bytes",
            size);
}

Test(authenticator, unusable_keys_have_typed_reasons)
{
    std::vector<std::uint8_t> const short_secret(31);
    struct key_case
    {
        std::vector<authenticator::key> keys;
        key_fault reason;
    };
    key_case const cases[] = {
        {{}, key_fault::wrong_count},
        {{{1, old_secret}, {2, new_secret}, {3, new_secret}},
         key_fault::wrong_count},
        {{{1, short_secret}}, key_fault::wrong_length},
        {{{1, old_secret}, {1, new_secret}}, key_fault::repeated_id},
    };
    for (auto const& item : cases)
    {
        try
        {
            (void)make(item.keys);
            cr_expect_fail("unusable keys were accepted");
        }
        catch (unusable_keys const& caught)
        {
            cr_expect(caught.reason() == item.reason, "%s", caught.what());
        }
    }
}
