#include "fuzz_targets.h"

#include "oriolehold/coap/message.h"
#include "oriolehold/core/flow_token.h"
#include "oriolehold/core/invariant.h"
#include "oriolehold/platform_adapter/configuration_check.h"
#include "oriolehold/platform_adapter/platform_packet_codec.h"
#include "oriolehold/runtime/configuration_document.h"
#include "oriolehold/runtime/settings.h"
#include "oriolehold/wire/envelope.h"
#include "oriolehold/wire/flow_codec.h"
#include "store_documents.h"

#include <sodium.h>

#include <algorithm>
#include <array>

namespace oriolehold::fuzz {

namespace {

using namespace std::chrono_literals;

constexpr core::time_point now { 1'800'000'000s };
constexpr std::uint32_t callerAddress = 0x0a000001;

core::configuration_content testContent()
{
    core::configuration_content content;
    content.keys = { { 1, { 1, 2, 3 } }, { 2, { 4, 5, 6 } } };
    content.signingKey = 1;
    content.tokenLifetime = 3600s;
    return content;
}

bool isInside(core::byte_view part, core::byte_view whole)
{
    return part.empty()
            || (part.data() >= whole.data()
                && part.data() + part.size() <= whole.data() + whole.size());
}

void decodeCoapMessage(core::byte_view input)
{
    coap::parse_error error = coap::parse_error::none;
    const auto message = coap::message_view::parse(input, &error);
    ORIOLEHOLD_INVARIANT(message.has_value() == (error == coap::parse_error::none),
                         "every rejection has a reason");
    if (!message)
        return;
    ORIOLEHOLD_INVARIANT(isInside(message->token(), input) && isInside(message->payload(), input),
                         "views stay inside the message");
    std::uint16_t previous = 0;
    message->forEachOption([&](coap::option_number number, coap::byte_view value) {
        ORIOLEHOLD_INVARIANT(isInside(value, input), "option values stay inside the message");
        ORIOLEHOLD_INVARIANT(static_cast<std::uint16_t>(number) >= previous,
                             "option numbers ascend");
        previous = static_cast<std::uint16_t>(number);
    });
    message->uintOption(coap::option_number::observe);
    message->block2();
    message->query("deadline");
    message->hasPath("stock/1");
}

// A decoded message must not change when it is encoded and decoded again.
void checkRoundTrip(const wire::envelope_codec &codec, const std::optional<wire::message> &message)
{
    if (!message)
        return;
    const core::byte_vector encoded = codec.encode(*message);
    ORIOLEHOLD_INVARIANT(encoded.empty() || codec.decode(encoded) == message,
                         "a decoded envelope is equal after a round trip");
}

void decodeEnvelope(core::byte_view input)
{
    static const wire::envelope_codec codec { testContent() };
    checkRoundTrip(codec, codec.decode(input));
}

// The input is a message, sent with a valid MAC so that the parser is reached.
void decodeSealedEnvelope(core::byte_view input)
{
    static const core::configuration_content content = testContent();
    static const wire::envelope_codec codec { content };
    constexpr std::uint8_t protocolVersion = 1;
    const core::token_key &key = content.keys.front();
    std::array<std::uint8_t, crypto_shorthash_BYTES> mac {};
    crypto_shorthash(mac.data(), input.data(), input.size(), key.secret.data());
    core::byte_vector datagram { protocolVersion, key.id };
    datagram.insert(datagram.end(), mac.begin(), mac.end());
    datagram.insert(datagram.end(), input.begin(), input.end());
    checkRoundTrip(codec, codec.decode(datagram));
}

// Returns a token with the fields of the input and a valid MAC.
core::flow_token_bytes sealToken(core::byte_view input)
{
    const core::flow_token_codec codec { testContent() };
    core::byte_vector fields(input.begin(), input.end());
    fields.resize(core::flowTokenSize);
    const auto number = [&fields](std::size_t offset, std::size_t size) {
        std::uint64_t value = 0;
        for (const std::uint8_t byte : std::span(fields).subspan(offset, size))
            value = value << 8 | byte;
        return value;
    };
    core::flow_token token;
    token.service = core::service_id { static_cast<std::uint16_t>(number(0, 2)) };
    token.upstream = core::upstream_id { static_cast<std::uint16_t>(number(2, 2)) };
    token.agent = { static_cast<std::uint32_t>(number(4, 4)),
                    static_cast<std::uint16_t>(number(8, 2)) };
    token.incarnation = core::incarnation { static_cast<std::uint32_t>(number(10, 4)) };
    token.issuedAt = core::unixSeconds(now);
    token.ticket = number(14, 6);
    const core::flow_token_bytes bytes = codec.seal(token, callerAddress);
    const core::token_result result = codec.open(bytes, callerAddress, now);
    ORIOLEHOLD_INVARIANT(result.status == core::token_status::valid && result.token == token,
                         "a sealed token opens to the same token");
    return bytes;
}

void openFlowToken(core::byte_view input)
{
    static const core::flow_token_codec codec { testContent() };
    const core::token_result result = codec.open(input, callerAddress, now);
    ORIOLEHOLD_INVARIANT(input.size() == core::flowTokenSize
                                 || result.status == core::token_status::malformed,
                         "a token of another size is malformed");
    const core::flow_token_bytes sealed = sealToken(input);
    if (input.empty())
        return;
    core::flow_token_bytes changed = sealed;
    changed[input.back() % changed.size()] ^= 0x10;
    ORIOLEHOLD_INVARIANT(codec.open(changed, callerAddress, now).status
                                 != core::token_status::valid,
                         "a changed token is not valid");
}

std::string_view toText(core::byte_view input)
{
    return { reinterpret_cast<const char *>(input.data()), input.size() };
}

// Whether parsing succeeds. A failure must carry an error object of type Error.
template<typename Error, typename Value>
bool parseSucceeds(boost::leaf::result<Value> (*parse)(std::string_view), std::string_view text,
                   Value &value)
{
    return boost::leaf::try_handle_all(
            [&]() -> boost::leaf::result<bool> {
                BOOST_LEAF_ASSIGN(value, parse(text));
                return true;
            },
            [](const Error &error) {
                ORIOLEHOLD_INVARIANT(!error.expected.empty(), "an error names what was expected");
                return false;
            },
            [] {
                ORIOLEHOLD_INVARIANT(false, "a parser fails with its own error object");
                return false;
            });
}

void parseDocumentText(core::byte_view input)
{
    core::configuration_content content;
    if (!parseSucceeds<runtime::document_error>(runtime::parseDocument, toText(input), content))
        return;
    core::configuration_content reparsed;
    ORIOLEHOLD_INVARIANT(parseSucceeds<runtime::document_error>(
                                 runtime::parseDocument, runtime::renderDocument(content), reparsed)
                                 && reparsed == content,
                         "a rendered document parses to the same content");
    const core::configuration indexed { std::move(content) };
    std::ranges::for_each(indexed.content().upstreams, [&](const core::upstream &upstream) {
        ORIOLEHOLD_INVARIANT(indexed.findUpstreamByIndex(upstream.service, upstream.index)
                                     == &upstream,
                             "an upstream is found by its index");
    });
}

void parseEntrySettingsText(core::byte_view input)
{
    runtime::entry_settings settings;
    parseSucceeds<runtime::settings_error>(runtime::parseEntrySettings, toText(input), settings);
}

void parseAgentSettingsText(core::byte_view input)
{
    runtime::agent_settings settings;
    parseSucceeds<runtime::settings_error>(runtime::parseAgentSettings, toText(input), settings);
}

void decodeFlowMessage(core::byte_view input)
{
    const auto message = wire::decodeFlowMessage(input);
    if (!message)
        return;
    core::byte_vector encoded;
    wire::encodeFlowMessage(*message, encoded);
    ORIOLEHOLD_INVARIANT(wire::decodeFlowMessage(encoded) == message,
                         "an encoded message decodes to the same message");
}

void decodeFlowDocument(core::byte_view input)
{
    const wire::flow_document_codec codec;
    if (const auto configuration = codec.decodeConfiguration(input))
        ORIOLEHOLD_INVARIANT(codec.decodeConfiguration(codec.encode(*configuration))
                                     == configuration,
                             "an encoded configuration decodes to the same one");
    if (const auto list = codec.decodeUpstreams(input))
        ORIOLEHOLD_INVARIANT(codec.decodeUpstreams(codec.encode(*list)) == list,
                             "an encoded list decodes to the same one");
}

void decodePacket(core::byte_view input)
{
    const platform_adapter::platform_packet_codec codec;
    const auto head = codec.decode(input);
    if (!head)
        return;
    const flow::packet_tag tag { flow::packet_tag::instruction::probe, 0x123456, 3,
                                 std::chrono::milliseconds { 150 },
                                 std::chrono::milliseconds { 1500 } };
    core::byte_vector copy;
    codec.copyTagged(input, tag, copy);
    const auto tagged = codec.decode(copy);
    ORIOLEHOLD_INVARIANT(tagged && tagged->tag == tag && !tagged->returned,
                         "a tag is read back from the copy");
    ORIOLEHOLD_INVARIANT(tagged->source == head->source && tagged->sequence == head->sequence
                                 && tagged->payloadSize == head->payloadSize,
                         "tagging changes nothing else");
    core::byte_vector reset;
    codec.writeReset(*head, reset);
    const auto answer = codec.decode(reset);
    ORIOLEHOLD_INVARIANT(answer && answer->resets && answer->destination == head->source,
                         "a reset goes to the client");
}

// The store may respond to any request with any text.
void decodeStoreAnswer(core::byte_view input)
{
    const std::string_view text = toText(input);
    std::uint64_t revision = 0;
    (void)platform_adapter::decodeItem(text, revision);
    (void)platform_adapter::decodeWatchResult(text);
    const auto page = platform_adapter::decodePage(text);
    ORIOLEHOLD_INVARIANT(!page || page->items.size() <= text.size(),
                         "a page has no more items than bytes");
    (void)platform_adapter::decodeUpstream("id", text);
    const auto configuration = platform_adapter::decodeConfiguration(text);
    platform_adapter::configuration_remarks remarks;
    ORIOLEHOLD_INVARIANT(platform_adapter::decodeConfiguration(text, &remarks) == configuration,
                         "remarks change nothing");
    const platform_adapter::named_document document { "file", text };
    const auto findings =
            platform_adapter::checkConfiguration({ document, document, document }, {});
    (void)toText(findings);
    (void)toJson(findings);
    ORIOLEHOLD_INVARIANT(!configuration
                                 || std::ranges::none_of(configuration->routes,
                                                         [](const flow::flow_route &route) {
                                                             return route.address.port == 0;
                                                         }),
                         "a route has a port");
}

void parseFlowSettingsText(core::byte_view input)
{
    runtime::flow_settings settings;
    parseSucceeds<runtime::settings_error>(runtime::parseFlowEntrySettings, toText(input),
                                           settings);
    parseSucceeds<runtime::settings_error>(runtime::parseFlowAgentSettings, toText(input),
                                           settings);
}

constexpr std::array targets {
    fuzz_target { "coap_message", decodeCoapMessage },
    fuzz_target { "envelope", decodeEnvelope },
    fuzz_target { "sealed_envelope", decodeSealedEnvelope },
    fuzz_target { "flow_token", openFlowToken },
    fuzz_target { "document", parseDocumentText },
    fuzz_target { "entry_settings", parseEntrySettingsText },
    fuzz_target { "agent_settings", parseAgentSettingsText },
    fuzz_target { "flow_message", decodeFlowMessage },
    fuzz_target { "flow_document", decodeFlowDocument },
    fuzz_target { "packet", decodePacket },
    fuzz_target { "store_answer", decodeStoreAnswer },
    fuzz_target { "flow_settings", parseFlowSettingsText },
};

} // namespace

std::span<const fuzz_target> fuzzTargets()
{
    return targets;
}

const fuzz_target *findTarget(std::string_view name)
{
    const auto found = std::ranges::find(targets, name, &fuzz_target::name);
    return found == targets.end() ? nullptr : &*found;
}

} // namespace oriolehold::fuzz
