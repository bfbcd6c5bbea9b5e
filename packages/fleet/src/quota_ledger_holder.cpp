#include <algorithm>
#include <chrono>
#include <utility>

#include "teasellead/fleet/quota_ledger.hpp"

namespace teasellead
{

namespace
{

using std::chrono::milliseconds;

constexpr std::size_t max_waiting_nodes = 128;
// time after which a search for the bucket has usually ended
constexpr milliseconds search_retry_after{100};

} // namespace

bool quota_ledger::take_from_bucket(account_state& state, time_point now)
{
    quota_bucket& bucket = state.m_ownership.refilled(state.m_parameters, m_members, now);
    if (bucket.available() >= 1.0)
    {
        bucket.take(1.0);
        return true;
    }
    bucket.record_refusal();
    record_refusal(state, token_sources::local, bucket.wait(state.m_parameters.m_rate), now);
    return false;
}

double quota_ledger::take_waiting_from_bucket(account_state& state, time_point now)
{
    quota_bucket& bucket = state.m_ownership.refilled(state.m_parameters, m_members, now);
    const auto waiting = static_cast<double>(state.m_waiting.size());
    const double taken = std::min(bucket.available(), waiting);
    bucket.take(taken);
    if (taken < waiting)
    {
        record_refusal(state, token_sources::local, bucket.wait(state.m_parameters.m_rate), now);
    }
    return taken;
}

void quota_ledger::on_ownership_change(const std::string& name, account_state& state, time_point now)
{
    if (state.m_ownership.is_held() != state.m_was_holder)
    {
        state.m_was_holder = state.m_ownership.is_held();
        m_holder_changes.push_back(
            {name, state.m_was_holder, state.m_ownership.usable_fraction(m_members, now)});
    }
    if (state.m_ownership.is_searching())
    {
        return;
    }
    for (const waiting_node& requester : std::exchange(state.m_waiting_nodes, {}))
    {
        send_grant(name, state, requester, now);
    }
    if (state.m_call && state.m_call->m_receiver == m_members.self())
    {
        on_search_end(name, state, now);
    }
}

/// decides on this node's own requests, which have waited for the end of the search for the bucket
void quota_ledger::on_search_end(const std::string& name, account_state& state, time_point now)
{
    const int redirections = std::exchange(state.m_call, std::nullopt)->m_redirections + 1;
    if (state.m_ownership.is_held())
    {
        grant_waiting(state, take_waiting_from_bucket(state, now), now);
        if (!state.m_waiting.empty())
        {
            request_tokens(name, state, now);
        }
    }
    else if (redirections > max_redirections)
    {
        refuse_without_source(state, now);
    }
    else if (!state.m_waiting.empty())
    {
        send_token_request(name, state, token_sources::local, redirections, now);
    }
}

void quota_ledger::send_grant(const std::string& name, account_state& state, const waiting_node& requester,
                              time_point now)
{
    token_grant grant{requester.m_request.m_call, name, 0, milliseconds{0}, std::nullopt};
    if (!state.m_ownership.is_held())
    {
        grant.m_retry_after = retry_without_holder;
        grant.m_holder = state.m_ownership.target(context_of(name, now));
        m_messages.push_back({requester.m_address, std::move(grant)});
        return;
    }
    quota_bucket& bucket = state.m_ownership.refilled(state.m_parameters, m_members, now);
    const double given = std::min<double>(requester.m_request.m_tokens, bucket.available());
    bucket.take(given);
    grant.m_tokens = static_cast<std::uint32_t>(given);
    if (given < 1.0)
    {
        bucket.record_refusal();
        grant.m_retry_after = std::chrono::ceil<milliseconds>(bucket.wait(state.m_parameters.m_rate));
    }
    m_messages.push_back({requester.m_address, std::move(grant)});
}

void quota_ledger::on_message(const endpoint& sender, const token_request& content, time_point now)
{
    const auto found = m_accounts.find(content.m_client_account);
    if (found == m_accounts.end() || found->second.m_rate <= 0.0)
    {
        // this node doesn't know the account yet; without a reply the sender asks another node
        return;
    }
    if (m_last_tick)
    {
        detect_stall(now);
    }
    const std::string& name = found->first;
    account_state& state = found->second;
    if (!state.m_ownership.is_held())
    {
        state.m_ownership.update(state.m_parameters, context_of(name, now));
    }
    const waiting_node requester{sender, content, now};
    if (!state.m_ownership.is_searching())
    {
        send_grant(name, state, requester, now);
    }
    else if (m_parts.m_data_centres > 1)
    {
        // the sender can ask another data centre at once
        m_messages.push_back(
            {sender, token_grant{content.m_call, name, 0, search_retry_after, std::nullopt}});
    }
    else if (state.m_waiting_nodes.size() < max_waiting_nodes)
    {
        state.m_waiting_nodes.push_back(requester);
    }
}

void quota_ledger::on_message(const endpoint& sender, const bucket_request& content, time_point now)
{
    const auto found = m_accounts.find(content.m_client_account);
    if (found == m_accounts.end())
    {
        // this node has no bucket for an account that it doesn't know
        m_messages.push_back({sender, bucket_reply{content.m_call, content.m_client_account, false, 0.0,
                                                   std::nullopt, m_members.is_converged()}});
        return;
    }
    if (m_last_tick)
    {
        detect_stall(now);
    }
    account_state& state = found->second;
    state.m_ownership.on_message(sender, content, state.m_parameters, context_of(found->first, now));
    on_ownership_change(found->first, state, now);
}

void quota_ledger::on_message(const endpoint& sender, const bucket_reply& content, time_point now)
{
    const auto found = m_accounts.find(content.m_client_account);
    if (found == m_accounts.end())
    {
        return;
    }
    account_state& state = found->second;
    state.m_ownership.on_message(sender, content, state.m_parameters, context_of(found->first, now));
    on_ownership_change(found->first, state, now);
}

} // namespace teasellead
