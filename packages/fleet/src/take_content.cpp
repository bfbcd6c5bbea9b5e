#include <cmath>

#include "peer_contents.hpp"

namespace teasellead
{

namespace
{

double finite(double value)
{
    if (!std::isfinite(value) || value < 0.0)
    {
        reject_message("number out of range");
    }
    return value;
}

/// unpacks an address; 0 means none
std::optional<endpoint> holder(std::uint64_t packed)
{
    return packed == 0 ? std::nullopt : std::optional{unpack_address(packed)};
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
        result.m_evidence.emplace_back(unpack_address(evidence.upstream()), evidence.incarnation(),
                                       evidence.warm());
    }
    return result;
}

cold_permit_request take(const wire::ColdPermitRequest& source)
{
    return cold_permit_request{unpack_address(source.upstream()), source.lease(),
                               std::chrono::milliseconds{source.term_ms()}};
}

cold_permit_grant take(const wire::ColdPermitGrant& source)
{
    return cold_permit_grant{unpack_address(source.upstream()), source.lease(), source.requests()};
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
        reject_message("unknown verdict");
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
        result.m_records.push_back({unpack_address(record.address()), record.incarnation(), record.sequence(),
                                    record.leaving(), record.data_centre(), record.age() * age_unit});
    }
    return result;
}

bucket_reply take(const wire::BucketReply& source)
{
    return bucket_reply{source.call(),           source.client_account(), source.handed_over(),
                        finite(source.tokens()), holder(source.holder()), source.settled()};
}

publication_request take(const wire::PublicationRequest& source)
{
    return {source.call(), {source.epoch(), source.have()}, source.has_epoch()};
}

publication_reply take(const wire::PublicationReply& source)
{
    publication_reply result;
    result.m_call = source.call();
    result.m_as_of = {source.epoch(), source.as_of()};
    result.m_is_full = source.full();
    result.m_expiry_grace = std::chrono::milliseconds{source.lapse_left_ms()};
    result.m_is_reader = source.reader();
    result.m_unchanged.assign(source.unchanged().begin(), source.unchanged().end());
    if (source.proved())
    {
        result.m_confirmation_age = std::chrono::milliseconds{source.proof_age_ms()};
    }
    if (source.has_staleness_ms())
    {
        result.m_staleness = std::chrono::milliseconds{source.staleness_ms()};
    }
    for (const wire::PublishedItem& item : source.items())
    {
        const auto value = item.removed() ? std::nullopt : std::optional<std::string>{item.value()};
        result.m_items.push_back({item.key(), value, item.revision()});
    }
    return result;
}

crash_notice take(const wire::CrashNotice& source)
{
    crash_notice result;
    result.m_wants_reply = source.wants_reply();
    for (const wire::CrashRecord& record : source.records())
    {
        forwarding::crash_record& added = result.m_records.emplace_back();
        added.m_fingerprint = record.fingerprint();
        added.m_epoch = record.epoch();
        added.m_trials_since_refusal = record.late_trials();
        for (const wire::UpstreamLoss& loss : record.losses())
        {
            added.m_losses.push_back({loss.service(),
                                      {loss.instance(), loss.incarnation()},
                                      loss.in_isolation(),
                                      loss.has_ended(),
                                      loss.excused()});
        }
    }
    return result;
}

/// values out of range are kept, so that the receiver rejects only this observation
observed_upstream take(const wire::UpstreamObservation& source)
{
    observed_upstream result;
    result.m_process = {source.instance(), source.incarnation()};
    result.m_relays = source.relays();
    forwarding::upstream_observation& observed = result.m_observation;
    observed.m_trouble = source.trouble() < static_cast<std::uint32_t>(forwarding::upstream_trouble::other)
                             ? static_cast<forwarding::upstream_trouble>(source.trouble())
                             : forwarding::upstream_trouble::other;
    observed.m_failure_ratio = source.failures_permille() / permille;
    observed.m_age = std::chrono::milliseconds{source.age_ms()};
    if (source.slots() > 0)
    {
        observed.m_load = {source.running(), source.waiting(), source.slots(),
                           source.work_percent() / percent};
    }
    return result;
}

observation_notice take(const wire::ObservationNotice& source)
{
    observation_notice result;
    result.m_observations.reserve(static_cast<std::size_t>(source.observations_size()));
    for (const wire::UpstreamObservation& each : source.observations())
    {
        result.m_observations.push_back(take(each));
    }
    return result;
}

} // namespace

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
                           std::chrono::milliseconds{wire.token_grant().retry_after_ms()},
                           holder(wire.token_grant().holder())};
    case wire::PeerMessage::kPublicationRequest:
        return take(wire.publication_request());
    case wire::PeerMessage::kPublicationReply:
        return take(wire.publication_reply());
    case wire::PeerMessage::kBucketRequest:
        return bucket_request{wire.bucket_request().call(), wire.bucket_request().client_account()};
    case wire::PeerMessage::kBucketReply:
        return take(wire.bucket_reply());
    case wire::PeerMessage::kCrashNotice:
        return take(wire.crash_notice());
    case wire::PeerMessage::kTrialRequest:
        return trial_request{wire.trial_request().call(), wire.trial_request().fingerprint(),
                             wire.trial_request().service(), wire.trial_request().over()};
    case wire::PeerMessage::kTrialReply:
        return trial_reply{wire.trial_reply().call(), wire.trial_reply().granted(),
                           std::chrono::milliseconds{wire.trial_reply().retry_after_ms()}};
    case wire::PeerMessage::kObservationNotice:
        return take(wire.observation_notice());
    case wire::PeerMessage::CONTENT_NOT_SET:
        break;
    }
    reject_message("no content");
}

} // namespace teasellead
