#include <wire/authenticator.hpp>
#include <wire/codec.hpp>

#include <algorithm>
#include <sodium.h>

namespace cairnhead
{

namespace
{

/// Names this use of the secret; changing it changes all derived keys.
constexpr char derivation_context[crypto_kdf_CONTEXTBYTES + 1] = "cairnvms";

/// Numbers of the derived keys.
constexpr std::uint64_t control_subkey = 1;
constexpr std::uint64_t frame_subkey = 2;

static_assert(authenticator::secret_size == crypto_kdf_KEYBYTES);
static_assert(authenticator::tag_size == crypto_shorthash_siphashx24_BYTES);
static_assert(authenticator::tag_size >= crypto_generichash_BYTES_MIN);

constexpr std::size_t id_offset = 0;
constexpr std::size_t kind_offset = 1;

template <std::size_t Size>
void derive_subkey(
    std::uint64_t number,
    std::span<std::uint8_t const> secret,
    std::array<std::uint8_t, Size>& out)
{
    crypto_kdf_derive_from_key(
        out.data(), out.size(), number, derivation_context, secret.data());
}

void check_keys(std::span<authenticator::key const> keys)
{
    if (keys.empty() || keys.size() > authenticator::maximum_keys)
        throw unusable_keys(key_fault::wrong_count);
    for (auto const& given : keys)
    {
        if (given.secret.size() != authenticator::secret_size)
            throw unusable_keys(key_fault::wrong_length);
        if (&given != &keys.front() && given.id == keys.front().id)
            throw unusable_keys(key_fault::repeated_id);
    }
}

} // namespace

unusable_keys::unusable_keys(key_fault fault) : why(fault)
{
}

key_fault unusable_keys::reason() const
{
    return this->why;
}

char const* unusable_keys::what() const noexcept
{
    switch (this->why)
    {
    case key_fault::wrong_count:
        return "peer keys: one or two are needed";
    case key_fault::wrong_length:
        return "peer keys: a secret has 32 bytes";
    case key_fault::repeated_id:
        return "peer keys: two have the same id";
    case key_fault::library_unusable:
        return "peer keys: libsodium cannot be set up";
    }
    return "peer keys: unusable";
}

authenticator::authenticator(std::span<key const> given)
{
    if (sodium_init() < 0)
        throw unusable_keys(key_fault::library_unusable);
    check_keys(given);
    for (auto const& one : given)
        this->keys.push_back(derive(one));
}

authenticator::stored_key authenticator::derive(key const& given)
{
    stored_key stored;
    stored.id = given.id;
    derive_subkey(control_subkey, given.secret, stored.control);
    derive_subkey(frame_subkey, given.secret, stored.frame);
    return stored;
}

authenticator::tag authenticator::compute_tag(
    stored_key const& with, std::span<std::uint8_t const> covered)
{
    tag result{};
    auto const is_frame =
        covered[kind_offset] == static_cast<std::uint8_t>(datagram_kind::frame);
    if (is_frame)
    {
        // Frames carry callers' packets, so the tag is on the hot path, where
        // SipHash is several times as fast as BLAKE2b.
        crypto_shorthash_siphashx24(
            result.data(), covered.data(), covered.size(), with.frame.data());
        return result;
    }
    crypto_generichash(
        result.data(), result.size(), covered.data(), covered.size(),
        with.control.data(), with.control.size());
    return result;
}

void authenticator::sign(
    std::span<std::uint8_t> datagram, std::uint8_t kind) const
{
    auto const& signer = this->keys.front();
    datagram[id_offset] = signer.id;
    datagram[kind_offset] = kind;
    auto const covered = datagram.first(datagram.size() - tag_size);
    std::ranges::copy(
        compute_tag(signer, covered), datagram.last(tag_size).begin());
}

bool authenticator::is_authentic(std::span<std::uint8_t const> datagram) const
{
    if (datagram.size() < prefix_size + tag_size)
        return false;
    auto const covered = datagram.first(datagram.size() - tag_size);
    for (auto const& accepted : this->keys)
    {
        if (accepted.id != datagram[id_offset])
            continue;
        // An early end of the comparison would tell a forger, byte by byte,
        // how much of a guessed tag is right.
        auto const expected = compute_tag(accepted, covered);
        auto const given = datagram.last(tag_size);
        return sodium_memcmp(expected.data(), given.data(), tag_size) == 0;
    }
    return false;
}

} // namespace cairnhead
