#include "teasellead/fleet/codec.hpp"

#include <algorithm>
#include <cmath>

#include "peer.pb.h"
#include "teasellead/kernel/exceptions.hpp"

namespace teasellead
{

namespace
{

constexpr int invalid_message_id = 503;
constexpr unsigned port_bits = 16;
constexpr std::uint64_t max_packed_endpoint = (std::uint64_t{1} << 48U) - 1;

[[noreturn]] void reject(const std::string& reason)
{
    throw protocol_error(invalid_message_id, "peer message: " + reason);
}

endpoint unpack(std::uint64_t packed)
{
    if (packed > max_packed_endpoint)
    {
        reject("address out of range");
    }
    return endpoint{static_cast<std::uint32_t>(packed >> port_bits),
                    static_cast<std::uint16_t>(packed & 0xFFFFU)};
}

double finite(double value)
{
    if (!std::isfinite(value) || value < 0.0)
    {
        reject("number out of range");
    }
    return value;
}

std::uint32_t to_wire(std::chrono::milliseconds value)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, UINT32_MAX));
}

void put(wire::PeerMessage& wire, const hello& content)
{
    wire::Hello& target = *wire.mutable_hello();
    target.set_sequence(content.m_sequence);
    target.set_data_centre(content.m_data_centre);
    target.set_revision(content.m_revision);
    target.set_acked_incarnation(content.m_acked_incarnation);
    target.set_acked_sequence(content.m_acked_sequence);
    target.set_counted(content.m_counted);
    target.set_ready(content.m_ready);
    target.set_leaving(content.m_leaving);
    target.set_claim(content.m_claim);
    target.set_vanished(content.m_vanished);
    target.set_floor(content.m_floor);
    target.set_hosts(content.m_hosts);
    target.set_data_centre_part(content.m_data_centre_part);
    target.set_unlisted(content.m_unlisted);
}

void put(wire::PeerMessage& wire, const revision_request& content)
{
    wire.mutable_revision_request()->set_have(content.m_have);
    wire.mutable_revision_request()->set_check(content.m_check);
}

void put(wire::PeerMessage& wire, const revision_reply& content)
{
    wire::RevisionReply& target = *wire.mutable_revision_reply();
    target.set_number(content.m_number);
    target.set_base(content.m_base);
    target.set_payload(content.m_payload);
    target.set_digest(content.m_digest);
    target.set_check(content.m_check);
    target.set_vouched(content.m_vouched);
    for (const text_edit& edit : content.m_delta)
    {
        wire::TextEdit& added = *target.add_delta();
        added.set_offset(edit.m_offset);
        added.set_size(edit.m_size);
        added.set_insert(edit.m_insert);
    }
}

void put(wire::PeerMessage& wire, const share_request& content)
{
    wire::ShareRequest& target = *wire.mutable_share_request();
    target.set_lease(content.m_lease);
    target.set_client_account(content.m_client_account);
    target.set_rate(content.m_rate);
    target.set_burst(content.m_burst);
    target.set_term_ms(to_wire(content.m_term));
}

void put(wire::PeerMessage& wire, const share_grant& content)
{
    wire::ShareGrant& target = *wire.mutable_share_grant();
    target.set_lease(content.m_lease);
    target.set_client_account(content.m_client_account);
    target.set_rate(content.m_rate);
    target.set_burst(content.m_burst);
    target.set_tokens(content.m_tokens);
}

void put(wire::PeerMessage& wire, const share_return& content)
{
    wire::ShareReturn& target = *wire.mutable_share_return();
    target.set_lease(content.m_lease);
    target.set_client_account(content.m_client_account);
    target.set_tokens(content.m_tokens);
}

void put(wire::PeerMessage& wire, const spare_shares& content)
{
    wire::SpareShares& target = *wire.mutable_spare_shares();
    for (const spare_share& share : content.m_shares)
    {
        wire::SpareShare& added = *target.add_shares();
        added.set_client_account(share.m_client_account);
        added.set_rate(share.m_rate);
    }
}

void put(wire::PeerMessage& wire, const evidence_notice& content)
{
    wire::EvidenceNotice& target = *wire.mutable_evidence_notice();
    for (const upstream_evidence& evidence : content.m_evidence)
    {
        wire::UpstreamEvidence& added = *target.add_evidence();
        added.set_upstream(evidence.upstream().packed());
        added.set_incarnation(evidence.incarnation());
        added.set_warm(evidence.warm());
    }
}

void put(wire::PeerMessage& wire, const cold_permit_request& content)
{
    wire::ColdPermitRequest& target = *wire.mutable_cold_permit_request();
    target.set_upstream(content.m_upstream.packed());
    target.set_lease(content.m_lease);
    target.set_term_ms(to_wire(content.m_term));
}

void put(wire::PeerMessage& wire, const cold_permit_grant& content)
{
    wire::ColdPermitGrant& target = *wire.mutable_cold_permit_grant();
    target.set_upstream(content.m_upstream.packed());
    target.set_lease(content.m_lease);
    target.set_requests(content.m_requests);
}

void put(wire::PeerMessage& wire, const quarantine_notice& content)
{
    wire::QuarantineNotice& target = *wire.mutable_quarantine_notice();
    target.set_fingerprint(content.m_fingerprint);
    target.set_lost_upstreams(content.m_lost_upstreams);
    target.set_remaining_ms(to_wire(content.m_remaining));
}

void put(wire::PeerMessage& wire, const forward_request& content)
{
    wire::ForwardRequest& target = *wire.mutable_forward_request();
    target.set_correlation(content.m_correlation);
    target.set_client_account(content.m_client_account);
    target.set_route(content.m_route);
    target.set_request_id(content.m_request_id);
    target.set_body(content.m_body);
    target.set_remaining_ms(to_wire(content.m_remaining));
}

void put(wire::PeerMessage& wire, const forward_reply& content)
{
    wire::ForwardReply& target = *wire.mutable_forward_reply();
    target.set_correlation(content.m_correlation);
    target.set_status(content.m_status);
    target.set_body(content.m_body);
    target.set_verdict(static_cast<std::uint32_t>(content.m_verdict));
    target.set_retry_after_ms(to_wire(content.m_retry_after));
}

void put(wire::PeerMessage& wire, const roster_notice& content)
{
    wire::RosterNotice& target = *wire.mutable_roster_notice();
    target.set_wants_reply(content.m_wants_reply);
    for (const node_record& record : content.m_records)
    {
        wire::NodeRecord& added = *target.add_records();
        added.set_address(record.m_address.packed());
        added.set_incarnation(record.m_incarnation);
        added.set_sequence(record.m_sequence);
        added.set_leaving(record.m_leaving);
        added.set_data_centre(record.m_data_centre);
    }
}

void put(wire::PeerMessage& wire, const token_request& content)
{
    wire::TokenRequest& target = *wire.mutable_token_request();
    target.set_call(content.m_call);
    target.set_client_account(content.m_client_account);
    target.set_tokens(content.m_tokens);
}

void put(wire::PeerMessage& wire, const token_grant& content)
{
    wire::TokenGrant& target = *wire.mutable_token_grant();
    target.set_call(content.m_call);
    target.set_client_account(content.m_client_account);
    target.set_tokens(content.m_tokens);
    target.set_retry_after_ms(to_wire(content.m_retry_after));
}

void put(wire::PeerMessage& wire, const publication_request& content)
{
    wire.mutable_publication_request()->set_call(content.m_call);
    wire.mutable_publication_request()->set_have(content.m_have);
}

void put(wire::PeerMessage& wire, const publication_reply& content)
{
    wire::PublicationReply& target = *wire.mutable_publication_reply();
    target.set_call(content.m_call);
    target.set_as_of(content.m_as_of);
    target.set_full(content.m_is_full);
    target.set_proved(content.m_proof_age.has_value());
    target.set_proof_age_ms(to_wire(content.m_proof_age.value_or(std::chrono::milliseconds{0})));
    target.set_lapse_left_ms(to_wire(content.m_lapse_left));
    for (const published_item& item : content.m_items)
    {
        wire::PublishedItem& added = *target.add_items();
        added.set_key(item.m_key);
        added.set_value(item.m_value.value_or(std::string{}));
        added.set_removed(!item.m_value);
        added.set_revision(item.m_revision);
    }
}

hello take(const wire::Hello& source)
{
    return hello{source.sequence(),
                 source.data_centre(),
                 source.revision(),
                 source.acked_incarnation(),
                 source.acked_sequence(),
                 source.counted(),
                 source.ready(),
                 source.leaving(),
                 finite(source.claim()),
                 finite(source.vanished()),
                 source.floor(),
                 source.hosts(),
                 finite(source.data_centre_part()),
                 source.unlisted()};
}

revision_reply take(const wire::RevisionReply& source)
{
    std::vector<text_edit> delta;
    delta.reserve(static_cast<std::size_t>(source.delta_size()));
    for (const wire::TextEdit& edit : source.delta())
    {
        delta.push_back({edit.offset(), edit.size(), edit.insert()});
    }
    return revision_reply{source.number(),  source.base(),  source.payload(), source.digest(),
                          std::move(delta), source.check(), source.vouched()};
}

share_request take(const wire::ShareRequest& source)
{
    return share_request{source.lease(), source.client_account(), finite(source.rate()),
                         finite(source.burst()), std::chrono::milliseconds{source.term_ms()}};
}

share_grant take(const wire::ShareGrant& source)
{
    return share_grant{source.lease(), source.client_account(), finite(source.rate()), finite(source.burst()),
                       finite(source.tokens())};
}

spare_shares take(const wire::SpareShares& source)
{
    spare_shares result;
    for (const wire::SpareShare& share : source.shares())
    {
        result.m_shares.push_back({share.client_account(), finite(share.rate())});
    }
    return result;
}

evidence_notice take(const wire::EvidenceNotice& source)
{
    evidence_notice result;
    for (const wire::UpstreamEvidence& evidence : source.evidence())
    {
        result.m_evidence.emplace_back(unpack(evidence.upstream()), evidence.incarnation(), evidence.warm());
    }
    return result;
}

cold_permit_request take(const wire::ColdPermitRequest& source)
{
    return cold_permit_request{unpack(source.upstream()), source.lease(),
                               std::chrono::milliseconds{source.term_ms()}};
}

cold_permit_grant take(const wire::ColdPermitGrant& source)
{
    return cold_permit_grant{unpack(source.upstream()), source.lease(), source.requests()};
}

quarantine_notice take(const wire::QuarantineNotice& source)
{
    return quarantine_notice{source.fingerprint(), source.lost_upstreams(),
                             std::chrono::milliseconds{source.remaining_ms()}};
}

forward_request take(const wire::ForwardRequest& source)
{
    return forward_request{source.correlation(), source.client_account(),
                           source.route(),       source.request_id(),
                           source.body(),        std::chrono::milliseconds{source.remaining_ms()}};
}

forward_reply take(const wire::ForwardReply& source)
{
    if (source.verdict() > static_cast<std::uint32_t>(verdict::ran))
    {
        reject("unknown verdict");
    }
    return forward_reply{source.correlation(), source.status(), source.body(),
                         static_cast<verdict>(source.verdict()),
                         std::chrono::milliseconds{source.retry_after_ms()}};
}

roster_notice take(const wire::RosterNotice& source)
{
    roster_notice result;
    result.m_wants_reply = source.wants_reply();
    for (const wire::NodeRecord& record : source.records())
    {
        result.m_records.push_back({unpack(record.address()), record.incarnation(), record.sequence(),
                                    record.leaving(), record.data_centre()});
    }
    return result;
}

publication_reply take(const wire::PublicationReply& source)
{
    publication_reply result;
    result.m_call = source.call();
    result.m_as_of = source.as_of();
    result.m_is_full = source.full();
    result.m_lapse_left = std::chrono::milliseconds{source.lapse_left_ms()};
    if (source.proved())
    {
        result.m_proof_age = std::chrono::milliseconds{source.proof_age_ms()};
    }
    for (const wire::PublishedItem& item : source.items())
    {
        const auto value = item.removed() ? std::nullopt : std::optional<std::string>{item.value()};
        result.m_items.push_back({item.key(), value, item.revision()});
    }
    return result;
}

peer_content take_content(const wire::PeerMessage& wire)
{
    switch (wire.content_case())
    {
    case wire::PeerMessage::kHello:
        return take(wire.hello());
    case wire::PeerMessage::kRevisionRequest:
        return revision_request{wire.revision_request().have(), wire.revision_request().check()};
    case wire::PeerMessage::kRevisionReply:
        return take(wire.revision_reply());
    case wire::PeerMessage::kShareRequest:
        return take(wire.share_request());
    case wire::PeerMessage::kShareGrant:
        return take(wire.share_grant());
    case wire::PeerMessage::kSpareShares:
        return take(wire.spare_shares());
    case wire::PeerMessage::kEvidenceNotice:
        return take(wire.evidence_notice());
    case wire::PeerMessage::kColdPermitRequest:
        return take(wire.cold_permit_request());
    case wire::PeerMessage::kColdPermitGrant:
        return take(wire.cold_permit_grant());
    case wire::PeerMessage::kQuarantineNotice:
        return take(wire.quarantine_notice());
    case wire::PeerMessage::kForwardRequest:
        return take(wire.forward_request());
    case wire::PeerMessage::kForwardReply:
        return take(wire.forward_reply());
    case wire::PeerMessage::kShareReturn:
        return share_return{wire.share_return().lease(), wire.share_return().client_account(),
                            finite(wire.share_return().tokens())};
    case wire::PeerMessage::kRosterNotice:
        return take(wire.roster_notice());
    case wire::PeerMessage::kTokenRequest:
        return token_request{wire.token_request().call(), wire.token_request().client_account(),
                             wire.token_request().tokens()};
    case wire::PeerMessage::kTokenGrant:
        return token_grant{wire.token_grant().call(), wire.token_grant().client_account(),
                           wire.token_grant().tokens(),
                           std::chrono::milliseconds{wire.token_grant().retry_after_ms()}};
    case wire::PeerMessage::kPublicationRequest:
        return publication_request{wire.publication_request().call(), wire.publication_request().have()};
    case wire::PeerMessage::kPublicationReply:
        return take(wire.publication_reply());
    case wire::PeerMessage::CONTENT_NOT_SET:
        break;
    }
    reject("no content");
}

} // namespace

std::string encode(const peer_message& message)
{
    wire::PeerMessage wire;
    wire.set_sender(message.m_sender.packed());
    wire.set_incarnation(message.m_incarnation);
    std::visit([&wire](const auto& content) { put(wire, content); }, message.m_content);
    return wire.SerializeAsString();
}

peer_message decode(std::string_view bytes)
{
    if (bytes.size() > max_peer_message_bytes)
    {
        reject("too large");
    }
    wire::PeerMessage wire;
    if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())))
    {
        reject("malformed");
    }
    return peer_message{unpack(wire.sender()), wire.incarnation(), take_content(wire)};
}

} // namespace teasellead
