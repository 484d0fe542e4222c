#pragma once

#include <wire/authenticator.hpp>

#include <base/identifiers.hpp>

#include <array>
#include <cstdint>
#include <span>
#include <string_view>

/// Tags over document fetches. Documents decide where callers go; without a
/// tag, whoever reaches the port of a VM could serve its peers a document of
/// a higher version than the platform's, and versions never go back.
namespace cairnhead
{

/// Random bytes that make each question its own.
using document_nonce = std::array<std::uint8_t, 16>;

/// What is asked for.
struct document_question
{
    std::string_view name;
    document_version least;
    document_nonce nonce{};
    /// The version that the asker holds. Not sealed: an answer that does not
    /// fit it is of no use, and does no harm.
    document_version held{};
};

/// The answer, with the question that it answers.
struct document_statement
{
    document_question question;
    document_version version;
    std::string_view text;
};

/// Key id, purpose and tag.
using document_seal = std::
    array<std::uint8_t, authenticator::prefix_size + authenticator::tag_size>;

/// Thread safety of all: no shared state. No preconditions.
[[nodiscard]] document_seal
seal(authenticator const& keys, document_question const& question);

[[nodiscard]] document_seal
seal(authenticator const& keys, document_statement const& statement);

[[nodiscard]] bool is_sealed(
    authenticator const& keys,
    document_question const& question,
    std::span<std::uint8_t const> given);

[[nodiscard]] bool is_sealed(
    authenticator const& keys,
    document_statement const& statement,
    std::span<std::uint8_t const> given);

} // namespace cairnhead
