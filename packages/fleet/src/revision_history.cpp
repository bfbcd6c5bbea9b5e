#include "teasellead/fleet/revision_history.hpp"

#include <algorithm>
#include <chrono>

#include "teasellead/fleet/text_delta.hpp"
#include "teasellead/kernel/hashing.hpp"

namespace teasellead
{

namespace
{

constexpr std::size_t max_entries = 8;

} // namespace

void revision_history::add(revision_number number, const std::string& text)
{
    m_entries.push_back({number, text});
    if (m_entries.size() > max_entries)
    {
        m_entries.pop_front();
    }
    m_newest_digest = digest_hex(text);
    m_deltas.clear();
}

const std::string* revision_history::find(revision_number number) const
{
    const auto found = std::find_if(m_entries.begin(), m_entries.end(),
                                    [number](const entry& each) { return each.m_number == number; });
    return found == m_entries.end() ? nullptr : &found->m_text;
}

const std::vector<text_edit>* revision_history::delta_from(revision_number base)
{
    const std::string* const base_text = find(base);
    if (base_text == nullptr)
    {
        return nullptr;
    }
    const auto [position, is_new] = m_deltas.try_emplace(base);
    std::optional<std::vector<text_edit>>& cached = position->second;
    if (is_new)
    {
        const std::string& newest = m_entries.back().m_text;
        std::vector<text_edit> delta = make_delta(*base_text, newest);
        if (delta_bytes(delta) <= newest.size() / 2)
        {
            cached = std::move(delta);
        }
    }
    return cached ? &*cached : nullptr;
}

bool transfer_budget::take(std::size_t bytes, time_point now)
{
    const double elapsed = std::chrono::duration<double>(now - m_updated).count();
    m_bytes = std::min(m_max_bytes, m_bytes + std::max(0.0, elapsed) * m_bytes_per_second);
    m_updated = now;
    if (m_bytes < static_cast<double>(bytes))
    {
        return false;
    }
    m_bytes -= static_cast<double>(bytes);
    return true;
}

} // namespace teasellead
