#include <algorithm>
#include <chrono>
#include <utility>

#include "teasellead/fleet/quota_ledger.hpp"

namespace teasellead
{

namespace
{

using std::chrono::milliseconds;

constexpr int max_redirections = 3;
constexpr std::size_t max_waiting_nodes = 128;
// time after which a node asks again that was sent to another holder
constexpr milliseconds redirection_retry_after{200};
// time after which a search for the bucket has usually ended
constexpr milliseconds search_retry_after{100};

} // namespace

void quota_ledger::send_grant(const std::string& name, account_state& state, const waiting_node& requester,
                              time_point now)
{
    token_grant grant{requester.m_request.m_call, name, 0, milliseconds{0}, std::nullopt};
    if (!state.m_ownership.is_held())
    {
        grant.m_retry_after = redirection_retry_after;
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

void quota_ledger::on_message(const endpoint& sender, const token_grant& content, time_point now)
{
    const auto found = m_accounts.find(content.m_client_account);
    if (found == m_accounts.end())
    {
        return;
    }
    const std::string& name = found->first;
    account_state& state = found->second;
    if (!state.m_call || state.m_call->m_number != content.m_call || state.m_call->m_receiver != sender)
    {
        return;
    }
    const token_call answered = *std::exchange(state.m_call, std::nullopt);
    if (content.m_holder && content.m_tokens == 0)
    {
        on_redirection(name, state, answered, sender, *content.m_holder, now);
        return;
    }
    // a sender that grants more than was asked doesn't keep to the protocol
    const std::uint32_t tokens = std::min(content.m_tokens, answered.m_tokens);
    if (tokens < answered.m_tokens)
    {
        const duration wait = std::max<duration>(content.m_retry_after, quota_bucket::min_retry_after);
        record_refusal(state, answered.m_source, wait, now);
    }
    grant_waiting(state, tokens, now);
    if (!state.m_waiting.empty())
    {
        request_tokens(name, state, now);
    }
}

void quota_ledger::on_redirection(const std::string& name, account_state& state, const token_call& answered,
                                  const endpoint& sender, const endpoint& holder, time_point now)
{
    if (answered.m_source == token_sources::local)
    {
        state.m_ownership.on_holder_hint(sender, holder, context_of(name, now));
    }
    else
    {
        state.m_sources.on_holder_hint(answered.m_source, holder, now);
    }
    if (answered.m_redirections < max_redirections)
    {
        send_token_request(name, state, answered.m_source, answered.m_redirections + 1, now);
        return;
    }
    record_refusal(state, answered.m_source, redirection_retry_after, now);
    request_tokens(name, state, now);
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
