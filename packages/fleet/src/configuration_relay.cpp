#include "teasellead/fleet/configuration_relay.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

#include "teasellead/fleet/text_delta.hpp"
#include "teasellead/kernel/exceptions.hpp"
#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

configuration_relay::configuration_relay(current_revision& cell, listed_host self, relay_settings settings,
                                         const random_source& random, time_point now)
    : m_cell(cell), m_self(std::move(self)), m_settings(settings), m_random(random),
      m_adopter(cell, m_log, settings.m_hold_time), m_reads(settings.m_reads, now),
      m_fetcher(settings.m_fetch), m_budget(settings.m_text_bytes_per_second, settings.m_max_text_bytes),
      m_last_call(now), m_last_confirmed(now)
{
    // random start value, so that late replies to an earlier incarnation of this node aren't accepted
    m_check_id = m_random.engine()() | 1U;
    start_check(check_reason::start, now);
}

bool configuration_relay::on_text(revision_number number, const std::string& text, time_point now)
{
    detect_stall(now);
    if (number < m_adopter.highest_known())
    {
        m_reads.on_failure(now, m_random);
    }
    else if (m_adopter.is_wanted(number))
    {
        m_reads.on_newer(now, m_random);
    }
    else
    {
        m_reads.on_unchanged(now, m_random);
    }
    const bool is_adopted = m_adopter.offer(number, text, std::nullopt, now);
    if (is_adopted)
    {
        m_fetcher.on_adopted(number);
    }
    if (number >= m_adopter.highest_known())
    {
        confirm_by_platform(now);
    }
    finish_check(now);
    return is_adopted;
}

void configuration_relay::on_platform_current(time_point now)
{
    detect_stall(now);
    m_reads.on_unchanged(now, m_random);
    // a platform without the newest revision can't confirm the current one
    if (m_adopter.is_up_to_date())
    {
        confirm_by_platform(now);
    }
    finish_check(now);
}

void configuration_relay::on_platform_failure(time_point now)
{
    detect_stall(now);
    ++m_log.m_counters.m_platform_failures;
    m_reads.on_failure(now, m_random);
}

std::vector<outgoing_message> configuration_relay::on_announcement(const endpoint& peer,
                                                                   revision_number number, time_point now)
{
    detect_stall(now);
    record_announced(number, now);
    if (!m_adopter.is_wanted(number))
    {
        m_fetcher.remove_holder(peer);
        return {};
    }
    m_fetcher.add_holder(peer, number);
    return request_text(now);
}

std::vector<outgoing_message> configuration_relay::on_request(const endpoint& peer,
                                                              const revision_request& request, time_point now)
{
    detect_stall(now);
    const shared_revision own = m_cell.get();
    const bool is_confirmed = may_serve(now) && !needs_recheck(now);
    revision_reply reply{own->number(), 0, {}, {}, {}, request.m_check, is_confirmed};
    if (request.m_have >= own->number())
    {
        return {{peer, std::move(reply)}};
    }
    if (const std::vector<text_edit>* const delta = m_adopter.history().delta_from(request.m_have))
    {
        reply.m_base = request.m_have;
        reply.m_delta = *delta;
        reply.m_digest = m_adopter.history().newest_digest();
        ++m_log.m_counters.m_sent_deltas;
    }
    else if (m_budget.take(own->text().size(), now))
    {
        reply.m_payload = own->text();
        reply.m_digest = m_adopter.history().newest_digest();
        ++m_log.m_counters.m_sent_texts;
    }
    else
    {
        ++m_log.m_counters.m_refused_texts;
    }
    return {{peer, std::move(reply)}};
}

bool configuration_relay::on_reply(const endpoint& peer, const revision_reply& reply, time_point now)
{
    detect_stall(now);
    record_announced(reply.m_number, now);
    if (m_check)
    {
        m_check->on_reply(peer, reply);
    }
    const bool is_adopted = process_reply(peer, reply, now);
    finish_check(now);
    return is_adopted;
}

bool configuration_relay::process_reply(const endpoint& peer, const revision_reply& reply, time_point now)
{
    if (reply.m_check != 0)
    {
        if (m_adopter.is_wanted(reply.m_number))
        {
            m_fetcher.add_holder(peer, reply.m_number);
        }
        return false;
    }
    if (reply.m_digest.empty())
    {
        // the peer has no newer revision or no transfer budget left; another peer is asked at the next tick
        m_fetcher.remove_holder(peer);
        m_fetcher.retry_now(now);
        return false;
    }
    if (reply.m_number < m_adopter.current_number())
    {
        // the reply is late; a newer revision was already adopted
        return false;
    }
    const std::optional<std::string> text = text_of(reply);
    if (!text)
    {
        ++m_log.m_counters.m_invalid;
        m_fetcher.want_full_text();
        m_fetcher.retry_now(now);
        return false;
    }
    const bool is_adopted = m_adopter.offer(reply.m_number, *text, peer, now);
    if (is_adopted)
    {
        m_fetcher.on_adopted(reply.m_number);
    }
    return is_adopted;
}

std::vector<outgoing_message> configuration_relay::on_tick(const std::vector<peer_status>& peers,
                                                           time_point now)
{
    detect_stall(now);
    update_role(peers, now);
    if (m_adopter.on_tick(now))
    {
        m_fetcher.on_adopted(m_adopter.current_number());
    }
    std::vector<outgoing_message> result;
    if (m_check)
    {
        result = m_check->on_tick(m_self, peers, now, m_random);
    }
    finish_check(now);
    std::vector<outgoing_message> requests = request_text(now);
    std::move(requests.begin(), requests.end(), std::back_inserter(result));
    return result;
}

std::optional<platform_read> configuration_relay::next_platform_read(time_point now)
{
    detect_stall(now);
    const revision_number rejected = m_adopter.rejection() ? m_adopter.rejection()->m_number : 0;
    return m_reads.next(std::max(m_adopter.current_number(), rejected), now, m_random);
}

bool configuration_relay::may_serve(time_point /*now*/) const
{
    return m_has_checked;
}

bool configuration_relay::needs_recheck(time_point now) const
{
    const bool is_after_stall = m_check && m_check->reason() == check_reason::stall;
    return is_after_stall || now - m_last_call > m_settings.m_stall_limit;
}

std::optional<rejected_revision> configuration_relay::rejection() const
{
    const std::optional<rejected_revision>& last = m_adopter.rejection();
    const bool is_newer = last && last->m_number > m_adopter.current_number();
    return is_newer ? last : std::nullopt;
}

void configuration_relay::detect_stall(time_point now)
{
    const bool was_stalled = now - m_last_call > m_settings.m_stall_limit;
    m_last_call = std::max(m_last_call, now);
    if (!was_stalled)
    {
        return;
    }
    ++m_log.m_counters.m_stalls;
    m_reads.read_now(now);
    start_check(m_has_checked ? check_reason::stall : check_reason::start, now);
}

void configuration_relay::start_check(check_reason reason, time_point now)
{
    m_check_id += 2;
    m_check.emplace(reason, m_check_id, m_settings.m_check, now);
    m_log.record(check_started{reason});
}

void configuration_relay::finish_check(time_point now)
{
    const bool is_over =
        m_check && m_adopter.current_number() != 0 && m_check->is_complete(m_adopter.is_up_to_date(), now);
    if (!is_over)
    {
        return;
    }
    m_log.record(check_ended{m_check->reason(), m_check->is_confirmed()});
    m_check.reset();
    m_has_checked = true;
}

void configuration_relay::record_announced(revision_number number, time_point now)
{
    if (m_adopter.record_announced(number) && m_adopter.is_wanted(number))
    {
        m_fetcher.delay_request(m_local_hosts.size(), now, m_random);
    }
}

void configuration_relay::confirm_by_platform(time_point now)
{
    m_last_confirmed = now;
    if (m_check && m_reads.has_read_since(m_check->started()))
    {
        m_check->on_platform_answer();
    }
}

std::optional<std::string> configuration_relay::text_of(const revision_reply& reply)
{
    std::string text = reply.m_payload;
    if (reply.m_base != 0)
    {
        const std::string* const base = m_adopter.history().find(reply.m_base);
        if (base == nullptr)
        {
            return std::nullopt;
        }
        try
        {
            text = apply_delta(*base, reply.m_delta);
        }
        catch (const protocol_error&)
        {
            return std::nullopt;
        }
    }
    const bool is_valid = text.size() <= max_services_text_bytes && digest_hex(text) == reply.m_digest;
    return is_valid ? std::optional{std::move(text)} : std::nullopt;
}

std::vector<outgoing_message> configuration_relay::request_text(time_point now)
{
    return m_fetcher.request(m_adopter.current_number(), m_local_hosts, now, m_random);
}

void configuration_relay::update_role(const std::vector<peer_status>& peers, time_point now)
{
    m_local_hosts = {m_self};
    for (const peer_status& peer : peers)
    {
        const bool is_live = peer.m_incarnation != 0 && !peer.m_leaving &&
                             now - peer.m_last_hello <= m_settings.m_peer_timeout;
        if (is_live && peer.m_host.data_centre() == m_self.data_centre())
        {
            m_local_hosts.push_back(peer.m_host);
        }
    }
    const bool is_reader = is_platform_reader(m_self, m_local_hosts, m_settings.m_reads.m_readers);
    if (m_reads.set_role(is_reader, m_local_hosts.size(), now, m_random))
    {
        m_log.record(reader_role_changed{is_reader});
    }
}

} // namespace teasellead
