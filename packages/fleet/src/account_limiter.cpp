#include "teasellead/fleet/account_limiter.hpp"

#include <algorithm>
#include <utility>

#include "teasellead/kernel/hashing.hpp"
#include "teasellead/kernel/overloaded.hpp"

namespace teasellead
{

namespace
{

// time without a reply after which another lender is asked; a late grant is still used until its term ends
constexpr std::chrono::milliseconds reply_timeout{20};

// time until a lender is asked again, doubled with each consecutive refusal
constexpr std::chrono::milliseconds lender_retry_delay{20};
constexpr unsigned max_doublings = 4;
constexpr std::chrono::seconds lender_state_lifetime{2};

// time until the next search for a lender if none could be asked
constexpr std::chrono::milliseconds search_retry_delay{5};

// time between two passes over all active accounts
constexpr std::chrono::milliseconds pass_period{20};

// largest number of lenders considered for one request
constexpr std::size_t max_lenders_tried = 16;

// one choice of a lender in this many goes to another data centre if the own one has enough hosts
constexpr std::uint64_t remote_interval = 4;
constexpr std::size_t enough_local_lenders = 8;

double fraction_of(const configuration& declared, const std::string& data_centre_name)
{
    double total = 0.0;
    double own = 0.0;
    for (const data_centre& entry : declared.data_centres())
    {
        total += entry.limit_weight();
        own += entry.name() == data_centre_name ? entry.limit_weight() : 0;
    }
    return total > 0.0 ? own / total : 0.0;
}

} // namespace

account_limiter::account_limiter(listed_host self, limit_policy policy, node_incarnation incarnation)
    : m_self(std::move(self)), m_policy(policy), m_last_lease(incarnation)
{
}

void account_limiter::advance_all(time_point now)
{
    for (auto& [name, state] : m_accounts)
    {
        state.m_share.advance(m_entitlement, now);
    }
}

void account_limiter::update_data_centre_fraction()
{
    // the last revision that every host has adopted, and all later ones, may still be in use on some host
    const auto above = std::find_if(m_revisions.begin(), m_revisions.end(),
                                    [this](const revision_fraction& entry) {
                                        return entry.m_number > m_entitlement.m_limit_fraction.m_min_revision;
                                    });
    if (above != m_revisions.begin())
    {
        m_revisions.erase(m_revisions.begin(), above - 1);
    }
    const auto least = std::min_element(m_revisions.begin(), m_revisions.end(),
                                        [](const revision_fraction& lhs, const revision_fraction& rhs)
                                        { return lhs.m_fraction < rhs.m_fraction; });
    const double own = least == m_revisions.end() ? 0.0 : least->m_fraction;
    // a node that has just started doesn't know the older revisions that its peers may still use
    const bool knows_older = m_entitlement.m_limit_fraction.m_min_revision >= m_first_revision;
    m_entitlement.m_data_centre_fraction =
        knows_older ? own : std::min(own, m_entitlement.m_limit_fraction.m_peers_data_centre_fraction);
}

void account_limiter::on_revision(const configuration_revision& revision, time_point now)
{
    advance_all(now);
    m_first_revision = m_revisions.empty() ? revision.number() : m_first_revision;
    m_revisions.push_back({revision.number(), fraction_of(revision.configuration(), m_self.data_centre())});
    update_data_centre_fraction();
    for (auto& [name, state] : m_accounts)
    {
        state.m_declared = false;
    }
    for (const client_account& account : revision.configuration().client_accounts())
    {
        const auto [found, added] = m_accounts.try_emplace(
            account.name(),
            account_state{account_share{account, now}, true, {}, {}, {}, false, 0, m_accounts.size()});
        found->second.m_share.redeclare(account, m_entitlement, now);
        found->second.m_declared = true;
    }
    m_active.clear();
    for (auto& [name, state] : m_accounts)
    {
        if (!state.m_declared)
        {
            // the account isn't erased, so that its lent shares stay subtracted if it is declared again
            state.m_share.redeclare(client_account{name, 0.0, 0.0, 1}, m_entitlement, now);
        }
        m_active.push_back(&state);
    }
}

void account_limiter::on_views(const std::vector<host_view>& views, time_point /*now*/)
{
    m_local_lenders.clear();
    m_remote_lenders.clear();
    if (views.empty())
    {
        return;
    }
    for (const listed_host& other : views.front().hosts())
    {
        if (other.peer() != m_self.peer())
        {
            const bool local = other.data_centre() == m_self.data_centre();
            (local ? m_local_lenders : m_remote_lenders).push_back(other.peer());
        }
    }
}

void account_limiter::on_limit_fraction(const limit_fraction& next, time_point now)
{
    const limit_fraction last = m_entitlement.m_limit_fraction;
    limit_fraction adopted = next;
    // a host that has just started reports revision 0, which doesn't undo the adoption by the others
    adopted.m_min_revision = std::max(last.m_min_revision, next.m_min_revision);
    const bool same_fractions =
        last.m_fraction == next.m_fraction && last.m_reserved_fraction == next.m_reserved_fraction;
    const bool same_data_centre = last.m_peers_data_centre_fraction == next.m_peers_data_centre_fraction;
    if (same_fractions && same_data_centre && last.m_min_revision == adopted.m_min_revision &&
        now < last.m_fraction_until)
    {
        m_entitlement.m_limit_fraction = adopted;
        return;
    }
    advance_all(now);
    m_entitlement.m_limit_fraction = adopted;
    update_data_centre_fraction();
    advance_all(now);
}

admission account_limiter::try_admit(const std::string& client_account, time_point now)
{
    const auto found = m_accounts.find(client_account);
    if (found == m_accounts.end() || !found->second.m_declared)
    {
        return over_limit{std::chrono::seconds{1}};
    }
    account_state& state = found->second;
    if (!state.m_share.is_active(now))
    {
        m_active.push_back(&state);
    }
    const bool taken = state.m_share.try_take(m_entitlement, now);
    const auto* policy = std::get_if<lending>(&m_policy);
    const bool may_ask = policy != nullptr && !state.m_short && now >= state.m_next_ask;
    if (may_ask && state.m_share.is_short(*policy))
    {
        state.m_short = true;
        m_short.push_back(&state);
    }
    if (taken)
    {
        return admitted{};
    }
    return over_limit{state.m_share.time_to_next(m_entitlement, now)};
}

share_usage account_limiter::usage(const std::string& client_account, time_point now) const
{
    const auto found = m_accounts.find(client_account);
    return found == m_accounts.end() ? share_usage{} : found->second.m_share.usage(m_entitlement, now);
}

std::vector<outgoing_message> account_limiter::on_message(const endpoint& sender, const peer_content& content,
                                                          time_point now)
{
    if (const auto* request = std::get_if<share_request>(&content))
    {
        return on_request(sender, *request, now);
    }
    if (const auto* grant = std::get_if<share_grant>(&content))
    {
        return on_grant(sender, *grant, now);
    }
    if (const auto* given = std::get_if<share_return>(&content))
    {
        const auto found = m_accounts.find(given->m_client_account);
        if (found != m_accounts.end())
        {
            found->second.m_share.take_back(sender, *given, m_entitlement, now);
        }
    }
    return {};
}

std::vector<outgoing_message> account_limiter::on_request(const endpoint& sender,
                                                          const share_request& request, time_point now)
{
    const auto* policy = std::get_if<lending>(&m_policy);
    const auto found = m_accounts.find(request.m_client_account);
    if (policy == nullptr || found == m_accounts.end())
    {
        return {};
    }
    share_grant grant = found->second.m_share.lend(sender, request, *policy, m_entitlement, now);
    return {{sender, std::move(grant)}};
}

std::vector<outgoing_message> account_limiter::on_grant(const endpoint& sender, const share_grant& grant,
                                                        time_point now)
{
    const auto* policy = std::get_if<lending>(&m_policy);
    const auto found = m_accounts.find(grant.m_client_account);
    if (policy == nullptr || found == m_accounts.end())
    {
        return {};
    }
    account_state& state = found->second;
    const auto asked =
        std::find_if(state.m_pending.begin(), state.m_pending.end(),
                     [&grant](const pending_request& pending) { return pending.m_lease == grant.m_lease; });
    if (asked == state.m_pending.end())
    {
        return {};
    }
    state.m_share.borrow(sender, grant, asked->m_sent_at, *policy, now);
    state.m_pending.erase(asked);
    const bool refused = grant.m_rate == 0.0 && grant.m_tokens == 0.0;
    lender_state& lender_entry = state.m_lenders[sender];
    lender_entry.m_refusals = refused ? std::min(lender_entry.m_refusals + 1, max_doublings) : 0;
    lender_entry.m_not_before = now + lender_retry_delay * (1U << lender_entry.m_refusals);
    state.m_share.advance(m_entitlement, now);
    return request_lease(state, *policy, now);
}

const endpoint* account_limiter::choose_lender(account_state& state, time_point now) const
{
    const bool few_locals = m_local_lenders.size() < enough_local_lenders;
    const std::size_t all = m_local_lenders.size() + (few_locals ? m_remote_lenders.size() : 0);
    for (std::size_t tries = 0; tries < std::min(all, max_lenders_tried); ++tries)
    {
        const std::uint64_t choice = ++state.m_lender_choices;
        const std::uint64_t start =
            rendezvous_score(m_self.peer().packed(), choice / std::max<std::size_t>(all, 1));
        std::size_t position = (start + choice) % all;
        const bool remote = !few_locals && choice % remote_interval == 0 && !m_remote_lenders.empty();
        const endpoint* chosen = nullptr;
        if (remote)
        {
            chosen = &m_remote_lenders[(start + choice) % m_remote_lenders.size()];
        }
        else
        {
            const bool local = position < m_local_lenders.size();
            position -= local ? 0 : m_local_lenders.size();
            chosen = local ? &m_local_lenders[position] : &m_remote_lenders[position];
        }
        const auto lender_entry = state.m_lenders.find(*chosen);
        if (lender_entry == state.m_lenders.end() || now >= lender_entry->second.m_not_before)
        {
            return chosen;
        }
    }
    return nullptr;
}

std::vector<outgoing_message> account_limiter::request_lease(account_state& state, const lending& policy,
                                                             time_point now)
{
    const bool waits =
        std::any_of(state.m_pending.begin(), state.m_pending.end(),
                    [now](const pending_request& pending) { return now < pending.m_retry_at; });
    if (waits || !state.m_declared || now < state.m_next_ask)
    {
        return {};
    }
    share_request request = state.m_share.shortage(policy, m_entitlement, now);
    const endpoint* lender = request.m_burst > 0.0 ? choose_lender(state, now) : nullptr;
    if (lender == nullptr)
    {
        state.m_next_ask = request.m_burst > 0.0 ? now + search_retry_delay : state.m_next_ask;
        return {};
    }
    request.m_lease = ++m_last_lease;
    state.m_pending.push_back({request.m_lease, now, now + reply_timeout});
    return {{*lender, std::move(request)}};
}

std::vector<outgoing_message> account_limiter::on_tick(time_point now)
{
    const auto* policy = std::get_if<lending>(&m_policy);
    if (policy == nullptr)
    {
        return {};
    }
    std::vector<outgoing_message> result;
    const auto ask_for = [&](account_state& state)
    {
        for (std::vector<outgoing_message> messages :
             {state.m_share.return_used_leases(), request_lease(state, *policy, now)})
        {
            std::move(messages.begin(), messages.end(), std::back_inserter(result));
        }
    };
    for (account_state* state : m_short)
    {
        state->m_short = false;
        state->m_share.advance(m_entitlement, now);
        ask_for(*state);
    }
    m_short.clear();
    if (now < m_next_pass)
    {
        return result;
    }
    m_next_pass = now + pass_period;
    std::sort(m_active.begin(), m_active.end(),
              [](const account_state* lhs, const account_state* rhs)
              { return lhs->m_number < rhs->m_number; });
    m_active.erase(std::unique(m_active.begin(), m_active.end()), m_active.end());
    for (account_state* state : m_active)
    {
        refresh(*state, *policy, now);
        ask_for(*state);
    }
    std::erase_if(m_active, [now](const account_state* state) { return !state->m_share.is_active(now); });
    return result;
}

void account_limiter::refresh(account_state& state, const lending& policy, time_point now) const
{
    state.m_share.advance(m_entitlement, now);
    state.m_share.estimate_demand(policy, now);
    std::erase_if(state.m_pending,
                  [&](const pending_request& pending) { return now >= pending.m_sent_at + policy.m_term; });
    std::erase_if(state.m_lenders, [now](const auto& entry)
                  { return now >= entry.second.m_not_before + lender_state_lifetime; });
}

} // namespace teasellead
