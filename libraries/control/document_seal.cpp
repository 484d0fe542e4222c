#include <control/document_seal.hpp>
#include <wire/codec.hpp>

#include <algorithm>
#include <vector>

namespace cairnhead
{

namespace
{

constexpr std::size_t kind_offset = 1;

/// Lays out what a tag covers, with room for prefix and tag. The fields that
/// vary in length come behind their length, so that no two statements give
/// the same bytes.
class sealed_bytes
{
public:
    sealed_bytes() : bytes(authenticator::prefix_size)
    {
    }

    void add(std::uint64_t number)
    {
        constexpr int bits_of_byte = 8;
        for (std::size_t index = 0; index < sizeof(number); ++index)
        {
            this->bytes.push_back(static_cast<std::uint8_t>(number));
            number >>= bits_of_byte;
        }
    }

    void add(std::string_view text)
    {
        this->add(std::uint64_t{text.size()});
        this->bytes.insert(this->bytes.end(), text.begin(), text.end());
    }

    void add(document_question const& question)
    {
        this->add(question.name);
        this->add(question.least.value());
        this->bytes.insert(
            this->bytes.end(), question.nonce.begin(), question.nonce.end());
    }

    [[nodiscard]] document_seal
    seal(authenticator const& keys, datagram_kind purpose)
    {
        this->bytes.resize(this->bytes.size() + authenticator::tag_size);
        keys.sign(this->bytes, static_cast<std::uint8_t>(purpose));
        document_seal result{};
        auto const prefix = std::span(this->bytes).first(prefix_size);
        auto const tag = std::span(this->bytes).last(tag_size);
        std::ranges::copy(prefix, result.begin());
        std::ranges::copy(tag, result.begin() + prefix_size);
        return result;
    }

    [[nodiscard]] bool is_sealed(
        authenticator const& keys,
        datagram_kind purpose,
        std::span<std::uint8_t const> given)
    {
        if (given.size() != prefix_size + tag_size)
            return false;
        // A tag for another purpose must not serve here, even a valid one.
        if (given[kind_offset] != static_cast<std::uint8_t>(purpose))
            return false;
        std::ranges::copy(given.first(prefix_size), this->bytes.begin());
        auto const tag = given.last(tag_size);
        this->bytes.insert(this->bytes.end(), tag.begin(), tag.end());
        return keys.is_authentic(this->bytes);
    }

private:
    static constexpr auto prefix_size = authenticator::prefix_size;
    static constexpr auto tag_size = authenticator::tag_size;

    std::vector<std::uint8_t> bytes;
};

sealed_bytes bytes_of(document_question const& question)
{
    sealed_bytes bytes;
    bytes.add(question);
    return bytes;
}

sealed_bytes bytes_of(document_statement const& statement)
{
    sealed_bytes bytes;
    bytes.add(statement.question);
    bytes.add(statement.version.value());
    bytes.add(statement.text);
    return bytes;
}

} // namespace

document_seal seal(authenticator const& keys, document_question const& question)
{
    return bytes_of(question).seal(keys, datagram_kind::document_request);
}

document_seal
seal(authenticator const& keys, document_statement const& statement)
{
    return bytes_of(statement).seal(keys, datagram_kind::document_answer);
}

bool is_sealed(
    authenticator const& keys,
    document_question const& question,
    std::span<std::uint8_t const> given)
{
    return bytes_of(question).is_sealed(
        keys, datagram_kind::document_request, given);
}

bool is_sealed(
    authenticator const& keys,
    document_statement const& statement,
    std::span<std::uint8_t const> given)
{
    return bytes_of(statement).is_sealed(
        keys, datagram_kind::document_answer, given);
}

} // namespace cairnhead
