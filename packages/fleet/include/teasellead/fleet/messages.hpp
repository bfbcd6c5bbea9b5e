#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "teasellead/fleet/publication_position.hpp"
#include "teasellead/forwarding/crash_record.hpp"
#include "teasellead/forwarding/upstream_observation.hpp"
#include "teasellead/kernel/configuration.hpp"
#include "teasellead/kernel/endpoint.hpp"
#include "teasellead/kernel/upstream_evidence.hpp"
#include "teasellead/kernel/verdict.hpp"

namespace teasellead
{

/// identifies one run of a node's process; random, or increasing with each start where @ref roster is used
using node_incarnation = std::uint64_t;

/// number of a lease, unique within the node that asked for it
using lease_id = std::uint64_t;

/// a node's heartbeat to one peer
struct hello
{
    std::uint64_t m_sequence{0};
    std::string m_data_centre;
    revision_number m_revision{0};
    node_incarnation m_acked_incarnation{0}; ///< incarnation of the receiver's last hello; 0 before the first
    std::uint64_t m_acked_sequence{0};       ///< sequence of the receiver's last hello; 0 before the first
    bool m_counted{false}; ///< whether the sender counts the receiver among the hosts that share the limits
    bool m_ready{false};
    bool m_leaving{false};
    double m_claimed_fraction{0.0}; ///< largest fraction of its data centre's limits that the sender may use
    double m_lost_fraction{
        0.0}; ///< fraction reserved for hosts that disappeared without releasing their share
    revision_number m_min_revision{
        0};                   ///< lowest revision that a host of the sender's data centre may still use
    std::uint32_t m_hosts{0}; ///< number of hosts of its data centre that the sender counts, itself included
    double m_data_centre_fraction{0.0}; ///< fraction of all limits that the sender uses for its data centre
    /// whether the sender counts a host that its host list lacks and that may still use a fraction
    bool m_counts_unlisted{false};

    friend bool operator==(const hello&, const hello&) = default;
};

/// asks for the configuration revision of the receiver
struct revision_request
{
    revision_number m_have{0}; ///< revision that the sender has and that a delta may be based on
    std::uint64_t m_check{0};  ///< number of the revision check, echoed in the reply; 0 outside a check

    friend bool operator==(const revision_request&, const revision_request&) = default;
};

/// one step of a delta: a range copied from the base text, followed by inserted bytes
struct text_edit
{
    std::uint64_t m_offset{0}; ///< first copied byte of the base text
    std::uint64_t m_size{0};   ///< number of copied bytes
    std::string m_insert;      ///< bytes that follow the copied range

    friend bool operator==(const text_edit&, const text_edit&) = default;
};

/*!
@brief a configuration revision as a full text or as a delta

Without a digest the reply carries no text: the receiver already has the revision, or the sender's transfer
budget doesn't allow a full text at the moment.
*/
struct revision_reply
{
    revision_number m_number{0};
    revision_number m_base{0}; ///< revision that the delta applies to; 0 for a full text
    std::string m_payload;     ///< full text; empty for a delta
    std::string m_digest;      ///< digest of the full text
    std::vector<text_edit> m_delta{};
    std::uint64_t m_check{0}; ///< number of the revision check of the request; 0 outside a check
    bool m_is_confirmed{
        false}; ///< whether the sender has confirmed its own revision; no check of it is running

    friend bool operator==(const revision_reply&, const revision_reply&) = default;
};

/// asks to borrow from the receiver's share of a client account's limit
struct share_request
{
    lease_id m_lease{0};
    std::string m_client_account;
    double m_rate{0.0};                  ///< requests a second
    double m_burst{0.0};                 ///< requests that may be made at once
    std::chrono::milliseconds m_term{0}; ///< duration of the lease

    friend bool operator==(const share_request&, const share_request&) = default;
};

/// lends from a share; zero rate and tokens if the lender refuses
struct share_grant
{
    lease_id m_lease{0};
    std::string m_client_account;
    double m_rate{0.0};   ///< requests a second
    double m_burst{0.0};  ///< capacity of the borrowed token bucket, in requests
    double m_tokens{0.0}; ///< requests that may be made at once

    friend bool operator==(const share_grant&, const share_grant&) = default;
};

/// returns a lease before its term ends; the sender has stopped using it
struct share_return
{
    lease_id m_lease{0};
    std::string m_client_account;
    double m_tokens{0.0}; ///< unused tokens

    friend bool operator==(const share_return&, const share_return&) = default;
};

/// rate that a node could lend of one client account's limit
struct spare_share
{
    std::string m_client_account;
    double m_rate{0.0}; ///< requests a second

    friend bool operator==(const spare_share&, const spare_share&) = default;
};

/// spare shares that a node announces to a lending directory
struct spare_shares
{
    std::vector<spare_share> m_shares;

    friend bool operator==(const spare_shares&, const spare_shares&) = default;
};

/// observations of the sender about upstreams
struct evidence_notice
{
    std::vector<upstream_evidence> m_evidence;

    friend bool operator==(const evidence_notice&, const evidence_notice&) = default;
};

/// asks the owner of a cold upstream's allowance to lend it
struct cold_permit_request
{
    endpoint m_upstream;
    lease_id m_lease{0};
    std::chrono::milliseconds m_term{0};

    friend bool operator==(const cold_permit_request&, const cold_permit_request&) = default;
};

/// lends the allowance of a cold upstream; zero requests if it is in use
struct cold_permit_grant
{
    endpoint m_upstream;
    lease_id m_lease{0};
    std::uint32_t m_requests{0};

    friend bool operator==(const cold_permit_grant&, const cold_permit_grant&) = default;
};

/// reports that upstreams were lost while they ran a request with this fingerprint
struct quarantine_notice
{
    std::string m_fingerprint;
    std::uint32_t m_lost_upstreams{0};
    std::chrono::milliseconds m_remaining{0}; ///< how long the fingerprint stays refused

    friend bool operator==(const quarantine_notice&, const quarantine_notice&) = default;
};

/// forwards a non-idempotent request to the node that its request id names
struct forward_request
{
    std::uint64_t m_correlation{0};
    std::string m_client_account; ///< account that the sender authenticated
    std::string m_route;
    std::string m_request_id;
    std::string m_body;
    std::chrono::milliseconds m_remaining{0}; ///< time left until the deadline

    friend bool operator==(const forward_request&, const forward_request&) = default;
};

/// reply to a @ref forward_request
struct forward_reply
{
    std::uint64_t m_correlation{0};
    std::uint32_t m_status{0}; ///< HTTP status
    std::string m_body;
    verdict m_verdict{verdict::may_have_run};
    std::chrono::milliseconds m_retry_after{0}; ///< zero if the caller needn't retry

    friend bool operator==(const forward_reply&, const forward_reply&) = default;
};

/// record that a node publishes about itself; peers forward it
struct node_record
{
    endpoint m_address;
    node_incarnation m_incarnation{0}; ///< increases with each start of a node at the address
    std::uint64_t m_sequence{0};       ///< increases with each heartbeat of one incarnation
    bool m_leaving{false};
    std::string m_data_centre;
    /// time since the sender of the notice received the record, rounded down
    std::chrono::milliseconds m_age{0};

    friend bool operator==(const node_record&, const node_record&) = default;
};

/// asks the holder of an account's token bucket for tokens; one token admits one request
struct token_request
{
    std::uint64_t m_call{0}; ///< number that the reply echoes
    std::string m_client_account;
    std::uint32_t m_tokens{0};

    friend bool operator==(const token_request&, const token_request&) = default;
};

/// reply to a @ref token_request: tokens that its sender may use
struct token_grant
{
    std::uint64_t m_call{0};
    std::string m_client_account;
    std::uint32_t m_tokens{0};
    std::chrono::milliseconds m_retry_after{0}; ///< time after which to retry, if no tokens are granted
    std::optional<endpoint> m_holder{};         ///< node that holds the bucket, if it isn't the sender

    friend bool operator==(const token_grant&, const token_grant&) = default;
};

/// asks for ownership of an account's token bucket
struct bucket_request
{
    std::uint64_t m_call{0}; ///< number that the reply echoes
    std::string m_client_account;

    friend bool operator==(const bucket_request&, const bucket_request&) = default;
};

/// transfers an account's token bucket, or names its holder
struct bucket_reply
{
    std::uint64_t m_call{0}; ///< number of the request; 0 if the bucket is transferred without a request
    std::string m_client_account;
    bool m_is_handed_over{false};
    double m_tokens{0.0};             ///< tokens left in the transferred bucket
    std::optional<endpoint> m_holder; ///< node that holds the bucket, if the sender knows it
    bool m_is_authoritative{false};   ///< whether the sender knows most nodes, or hands over the only bucket

    friend bool operator==(const bucket_reply&, const bucket_reply&) = default;
};

/// an item that a deployment publishes, or the removal of one; only the deployment's adapter reads the value
struct published_item
{
    std::string m_key;
    std::optional<std::string> m_value; ///< empty if the item was removed
    std::uint64_t m_revision{0};        ///< increases with each change of any item in the source's epoch

    friend bool operator==(const published_item&, const published_item&) = default;
};

/// asks for the items that were published after a position
struct publication_request
{
    std::uint64_t m_call{0};     ///< number that the reply echoes
    publication_position m_have; ///< up to which the sender has every change
    bool m_knows_epochs{true};   ///< false for a node of an older version, which has only a revision

    friend bool operator==(const publication_request&, const publication_request&) = default;
};

/// items that were published after a position
struct publication_reply
{
    std::uint64_t m_call{0};
    /// up to which the sender has every change; without items before its first listing
    publication_position m_as_of;
    /// whether the reply lists every published item, with its value or as unchanged, not only the changes
    bool m_is_full{false};
    std::vector<published_item> m_items;
    /// time since the items were last confirmed as current
    std::optional<std::chrono::milliseconds> m_confirmation_age;
    /// time since the items were known to be current, if the source reports changes at once
    std::optional<std::chrono::milliseconds> m_staleness;
    /// remaining time in which a missing entry may only have expired at the source and isn't taken as removed
    std::chrono::milliseconds m_expiry_grace{0};
    bool m_is_reader{false}; ///< whether the sender reads the source and could reach it
    /// keys of the items that the receiver has in their current revision, if every published item is listed
    std::vector<std::string> m_unchanged;

    friend bool operator==(const publication_reply&, const publication_reply&) = default;
};

/// recently received records of nodes, including the sender's own
struct roster_notice
{
    std::vector<node_record> m_records;
    bool m_wants_reply{false}; ///< whether the receiver must reply with its own records

    friend bool operator==(const roster_notice&, const roster_notice&) = default;
};

/// the sender's records of requests that may crash upstreams
struct crash_notice
{
    std::vector<forwarding::crash_record> m_records;
    bool m_wants_reply{false}; ///< whether the receiver must reply with all of its records

    friend bool operator==(const crash_notice&, const crash_notice&) = default;
};

/// asks the coordinator of a service for permission to try an isolated request, or reports the trial's end
struct trial_request
{
    std::uint64_t m_call{0}; ///< number that the reply echoes
    std::string m_fingerprint;
    std::string m_service; ///< service that runs the trial
    bool m_is_over{false}; ///< whether the trial has ended or is no longer needed

    friend bool operator==(const trial_request&, const trial_request&) = default;
};

/// reply to a @ref trial_request
struct trial_reply
{
    std::uint64_t m_call{0};
    bool m_is_granted{false};
    std::chrono::milliseconds m_retry_after{0}; ///< time after which to retry, if the trial isn't granted

    friend bool operator==(const trial_reply&, const trial_reply&) = default;
};

/// an observation of an upstream as it is sent to other nodes
struct observed_upstream
{
    forwarding::upstream_process m_process;
    forwarding::upstream_observation m_observation;
    std::uint32_t m_relays{0}; ///< how often it was relayed; 0 if the sender observed it itself

    friend bool operator==(const observed_upstream&, const observed_upstream&) = default;
};

/// what the sender knows of upstreams that are in trouble or have just recovered
struct observation_notice
{
    std::vector<observed_upstream> m_observations;

    friend bool operator==(const observation_notice&, const observation_notice&) = default;
};

/// content of a message between nodes
using peer_content =
    std::variant<hello, revision_request, revision_reply, share_request, share_grant, spare_shares,
                 evidence_notice, cold_permit_request, cold_permit_grant, quarantine_notice, forward_request,
                 forward_reply, share_return, roster_notice, token_request, token_grant, publication_request,
                 publication_reply, bucket_request, bucket_reply, crash_notice, trial_request, trial_reply,
                 observation_notice>;

/// a message between nodes with its sender
struct peer_message
{
    endpoint m_sender;
    node_incarnation m_incarnation{0};
    peer_content m_content;

    friend bool operator==(const peer_message&, const peer_message&) = default;
};

/// a message with its receiver, as returned by the state machines
struct outgoing_message
{
    endpoint m_receiver;
    peer_content m_content;

    friend bool operator==(const outgoing_message&, const outgoing_message&) = default;
};

} // namespace teasellead
