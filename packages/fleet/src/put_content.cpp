#include <algorithm>
#include <cmath>

#include "peer_contents.hpp"

namespace teasellead
{

namespace
{

std::uint32_t to_wire(std::chrono::milliseconds value)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value.count(), 0, UINT32_MAX));
}

/// packs an address; 0 means none
std::uint64_t to_wire(const std::optional<endpoint>& address)
{
    return address ? address->packed() : 0;
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
    target.set_claim(content.m_claimed_fraction);
    target.set_vanished(content.m_lost_fraction);
    target.set_floor(content.m_min_revision);
    target.set_hosts(content.m_hosts);
    target.set_data_centre_part(content.m_data_centre_fraction);
    target.set_unlisted(content.m_counts_unlisted);
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
    target.set_vouched(content.m_is_confirmed);
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
        added.set_age(static_cast<std::uint32_t>(std::max<std::int64_t>(record.m_age / age_unit, 0)));
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
    target.set_holder(to_wire(content.m_holder));
}

void put(wire::PeerMessage& wire, const bucket_request& content)
{
    wire.mutable_bucket_request()->set_call(content.m_call);
    wire.mutable_bucket_request()->set_client_account(content.m_client_account);
}

void put(wire::PeerMessage& wire, const bucket_reply& content)
{
    wire::BucketReply& target = *wire.mutable_bucket_reply();
    target.set_call(content.m_call);
    target.set_client_account(content.m_client_account);
    target.set_handed_over(content.m_is_handed_over);
    target.set_tokens(content.m_tokens);
    target.set_holder(to_wire(content.m_holder));
    target.set_settled(content.m_is_authoritative);
}

void put(wire::PeerMessage& wire, const publication_request& content)
{
    wire.mutable_publication_request()->set_call(content.m_call);
    wire.mutable_publication_request()->set_have(content.m_have.revision());
    if (content.m_knows_epochs)
    {
        wire.mutable_publication_request()->set_epoch(content.m_have.epoch());
    }
}

void put(wire::PeerMessage& wire, const publication_reply& content)
{
    wire::PublicationReply& target = *wire.mutable_publication_reply();
    target.set_call(content.m_call);
    target.set_as_of(content.m_as_of.revision());
    target.set_epoch(content.m_as_of.epoch());
    target.set_full(content.m_is_full);
    target.set_proved(content.m_confirmation_age.has_value());
    target.set_proof_age_ms(to_wire(content.m_confirmation_age.value_or(std::chrono::milliseconds{0})));
    if (content.m_staleness)
    {
        target.set_staleness_ms(to_wire(*content.m_staleness));
    }
    target.set_lapse_left_ms(to_wire(content.m_expiry_grace));
    target.set_reader(content.m_is_reader);
    target.mutable_unchanged()->Assign(content.m_unchanged.begin(), content.m_unchanged.end());
    for (const published_item& item : content.m_items)
    {
        wire::PublishedItem& added = *target.add_items();
        added.set_key(item.m_key);
        added.set_value(item.m_value.value_or(std::string{}));
        added.set_removed(!item.m_value);
        added.set_revision(item.m_revision);
    }
}

void put(wire::PeerMessage& wire, const crash_notice& content)
{
    wire::CrashNotice& target = *wire.mutable_crash_notice();
    target.set_wants_reply(content.m_wants_reply);
    for (const forwarding::crash_record& record : content.m_records)
    {
        wire::CrashRecord& added = *target.add_records();
        added.set_fingerprint(record.m_fingerprint);
        added.set_epoch(record.m_epoch);
        added.set_late_trials(record.m_trials_since_refusal);
        for (const forwarding::upstream_loss& loss : record.m_losses)
        {
            wire::UpstreamLoss& lost = *added.add_losses();
            lost.set_service(loss.m_service);
            lost.set_instance(loss.m_process.m_instance);
            lost.set_incarnation(loss.m_process.m_incarnation);
            lost.set_in_isolation(loss.m_in_isolation);
            lost.set_has_ended(loss.m_has_ended);
            lost.set_excused(loss.m_is_disregarded);
        }
    }
}

void put(wire::PeerMessage& wire, const trial_request& content)
{
    wire::TrialRequest& target = *wire.mutable_trial_request();
    target.set_call(content.m_call);
    target.set_fingerprint(content.m_fingerprint);
    target.set_service(content.m_service);
    target.set_over(content.m_is_over);
}

void put(wire::PeerMessage& wire, const trial_reply& content)
{
    wire::TrialReply& target = *wire.mutable_trial_reply();
    target.set_call(content.m_call);
    target.set_granted(content.m_is_granted);
    target.set_retry_after_ms(to_wire(content.m_retry_after));
}

std::uint32_t scaled(double value, double unit)
{
    return static_cast<std::uint32_t>(std::lround(value * unit));
}

void put(wire::PeerMessage& wire, const observation_notice& content)
{
    wire::ObservationNotice& target = *wire.mutable_observation_notice();
    for (const observed_upstream& each : content.m_observations)
    {
        const forwarding::upstream_observation& observed = each.m_observation;
        wire::UpstreamObservation& added = *target.add_observations();
        added.set_instance(each.m_process.m_instance);
        added.set_incarnation(each.m_process.m_incarnation);
        added.set_trouble(static_cast<std::uint32_t>(observed.m_trouble));
        added.set_failures_permille(scaled(observed.m_failure_ratio, permille));
        added.set_age_ms(to_wire(std::chrono::duration_cast<std::chrono::milliseconds>(observed.m_age)));
        added.set_relays(each.m_relays);
        if (observed.m_load)
        {
            added.set_running(observed.m_load->m_running);
            added.set_waiting(observed.m_load->m_waiting);
            added.set_slots(observed.m_load->m_slots);
            added.set_work_percent(scaled(observed.m_load->m_work_factor, percent));
        }
    }
}

} // namespace

void put_content(wire::PeerMessage& wire, const peer_content& content)
{
    std::visit([&wire](const auto& each) { put(wire, each); }, content);
}

} // namespace teasellead
