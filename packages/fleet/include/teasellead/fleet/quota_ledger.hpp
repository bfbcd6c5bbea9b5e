#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "teasellead/fleet/bucket_ownership.hpp"
#include "teasellead/fleet/messages.hpp"
#include "teasellead/fleet/quota_bucket.hpp"
#include "teasellead/fleet/quota_members.hpp"
#include "teasellead/fleet/remote_members.hpp"
#include "teasellead/fleet/token_sources.hpp"
#include "teasellead/forwarding/route.hpp"

#include "teasellead/kernel/clock.hpp"

namespace teasellead
{

/// the request is within its account's limit
struct quota_granted
{
    friend bool operator==(const quota_granted&, const quota_granted&) = default;
};

/// the request exceeds its account's limit
struct quota_refused
{
    duration m_retry_after{duration::zero()}; ///< time after which to retry

    friend bool operator==(const quota_refused&, const quota_refused&) = default;
};

/// the decision depends on a reply of the bucket's holder
struct quota_pending
{
    friend bool operator==(const quota_pending&, const quota_pending&) = default;
};

/// immediate result for a request
using quota_answer = std::variant<quota_granted, quota_refused, quota_pending>;

/// number by which the caller identifies a waiting request
using quota_ticket = std::uint64_t;

/// decision on a request that has waited
struct quota_decision
{
    quota_ticket m_ticket{0};
    bool m_is_granted{false};
    duration m_retry_after{duration::zero()};

    friend bool operator==(const quota_decision&, const quota_decision&) = default;
};

/// this node has become the holder of an account's bucket in its data centre, or isn't any more; for logs
struct holder_change
{
    std::string m_account;
    bool m_is_holder{false};
    double m_usable_fraction{0.0}; ///< fraction of the rate that the bucket uses at first

    friend bool operator==(const holder_change&, const holder_change&) = default;
};

/// division of the limits into equal parts, one for each data centre; must be the same on all nodes
struct limit_parts
{
    data_centre_id m_data_centre{0}; ///< data centre of this node
    std::size_t m_data_centres{1};   ///< number of data centres; with 1, all nodes share a single bucket

    friend bool operator==(const limit_parts&, const limit_parts&) = default;
};

/*!
@brief enforces the limits of accounts over all nodes

Each data centre holds an equal part of an account's limit in one token bucket. One of its nodes holds that
bucket
(@ref bucket_ownership) and grants tokens to all nodes that ask. A node asks its own data centre first and the
others (@ref token_sources) while it gets nothing there, so the loss of a holder, or of all nodes of a data
centre, costs only that part. A
node that reaches no holder refuses. A state machine without I/O. Not safe for use by several threads.
*/
class quota_ledger
{
  public:
    /*!
    @brief creates a ledger that knows no other node and no account

    @param[in] self   address of this node
    @param[in] bound  bound of the requests that all nodes together may admit
    @param[in] parts  the data centres that share the limits
    */
    quota_ledger(endpoint self, account_bound bound, limit_parts parts = {});

    /// applies the limits of a new revision
    void on_declarations(const std::vector<forwarding::account>& accounts, time_point now);

    /*!
    @brief sets the nodes that share the limits

    @param[in] view  the nodes; if this node is about to stop, it transfers its buckets
    @param[in] now   current time

    @complexity linear in accounts times nodes when the nodes have changed, else in the nodes
    */
    void on_members(member_view view, time_point now);

    /*!
    @brief decides whether a request of an account is admitted

    @param[in] name    declared account
    @param[in] ticket  number of the request, for a later decision
    @param[in] now     current time

    @return the decision, or @ref quota_pending if it will be returned by @ref take_decisions

    @complexity constant; linear in the number of nodes when the members have changed
    */
    [[nodiscard]] quota_answer request(const std::string& name, quota_ticket ticket, time_point now);

    /// removes a waiting request
    void withdraw(const std::string& name, quota_ticket ticket);

    /// processes a message of another node
    void on_message(const endpoint& sender, const token_request& content, time_point now);
    void on_message(const endpoint& sender, const token_grant& content, time_point now);
    void on_message(const endpoint& sender, const bucket_request& content, time_point now);
    void on_message(const endpoint& sender, const bucket_reply& content, time_point now);

    /// repeats requests without a reply, or decides without a bucket; must be called at least every 100 ms
    void on_tick(time_point now);

    /// whether a request waits for a reply of a holder
    [[nodiscard]] bool has_waiting() const noexcept
    {
        return m_waiting > 0;
    }

    /// returns the messages to send, queued since the last call
    [[nodiscard]] std::vector<outgoing_message> take_messages();

    /// returns the changes of holders since the last call
    [[nodiscard]] std::vector<holder_change> take_holder_changes();

    /// returns the decisions on waiting requests since the last call
    [[nodiscard]] std::vector<quota_decision> take_decisions();

  private:
    static constexpr int max_redirections = 3;
    /// time after which a node asks again if it reached no holder
    static constexpr std::chrono::milliseconds retry_without_holder{200};

    struct waiting_request
    {
        quota_ticket m_ticket{0};
        time_point m_asked_at;
    };

    /// a token request of another node that arrived while this node was searching for the bucket
    struct waiting_node
    {
        endpoint m_address;
        token_request m_request;
        time_point m_asked_at;
    };

    /// a pending token request; with this node as receiver, the wait for the end of its own search
    struct token_call
    {
        std::uint64_t m_number{0};
        endpoint m_receiver;
        token_sources::index m_source{token_sources::local};
        std::uint32_t m_tokens{0};
        time_point m_sent_at;
        int m_redirections{0};
    };

    struct account_state
    {
        explicit account_state(std::uint64_t key) : m_ownership(key), m_sources(key)
        {
        }

        double m_rate{0.0};             ///< declared limit; 0 for no limit
        bucket_parameters m_parameters; ///< parameters of the bucket of this node's data centre
        bucket_ownership m_ownership;
        bool m_was_holder{false};
        token_sources m_sources;

        double m_unused_tokens{0.0}; ///< granted for requests that were withdrawn
        time_point m_unused_until{};
        std::deque<waiting_request> m_waiting;
        std::vector<waiting_node> m_waiting_nodes;
        std::optional<token_call> m_call;
    };

    [[nodiscard]] ownership_context context_of(const std::string& name, time_point now);
    [[nodiscard]] bucket_parameters part_parameters(double rate, double burst) const;
    void detect_stall(time_point now);
    [[nodiscard]] static bool take_unused(account_state& state, time_point now);
    [[nodiscard]] bool take_from_bucket(account_state& state, time_point now);
    static void record_refusal(account_state& state, token_sources::index source, duration retry_after,
                               time_point now);
    [[nodiscard]] double take_waiting_from_bucket(account_state& state, time_point now);
    [[nodiscard]] std::optional<token_sources::index> next_source(account_state& state, time_point now) const;
    void request_tokens(const std::string& name, account_state& state, time_point now);
    void send_token_request(const std::string& name, account_state& state, token_sources::index source,
                            int redirections, time_point now);
    void on_no_reply(const std::string& name, account_state& state, time_point now);
    void on_ownership_change(const std::string& name, account_state& state, time_point now);
    void on_search_end(const std::string& name, account_state& state, time_point now);
    void on_redirection(const std::string& name, account_state& state, const token_call& answered,
                        const endpoint& sender, const endpoint& holder, time_point now);
    void send_grant(const std::string& name, account_state& state, const waiting_node& requester,
                    time_point now);
    /// removes and returns a request's decision if it was made while the request was being processed
    [[nodiscard]] std::optional<quota_answer> take_decision(quota_ticket ticket);
    void grant_waiting(account_state& state, double tokens, time_point now);
    void refuse_waiting(account_state& state, duration retry_after);
    void refuse_without_source(account_state& state, time_point now);

    account_bound m_bound;
    limit_parts m_parts;
    quota_members m_members; ///< the nodes that may hold the buckets of this node's data centre
    remote_members m_remote;

    std::optional<time_point> m_last_tick;
    std::uint64_t m_last_call{0};
    std::size_t m_waiting{0};
    std::unordered_map<std::string, account_state> m_accounts;
    std::vector<outgoing_message> m_messages;
    std::vector<quota_decision> m_decisions;
    std::vector<holder_change> m_holder_changes;
};

} // namespace teasellead
