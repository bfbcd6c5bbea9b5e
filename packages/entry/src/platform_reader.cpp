#include "teasellead/entry/platform_reader.hpp"

#include <charconv>
#include <chrono>
#include <utility>

#include "teasellead/entry/wire_headers.hpp"

namespace teasellead
{

namespace
{

constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;
constexpr std::chrono::milliseconds response_allowance{2'000};

revision_number revision_of(const runtime::http_response& response)
{
    const std::string_view text = runtime::find_field(response.m_fields, wire_header::revision).value_or("0");
    revision_number revision = 0;
    std::from_chars(text.data(), text.data() + text.size(), revision);
    return revision;
}

} // namespace

platform_reader::platform_reader(const endpoint& platform, std::string path, const monotonic_clock& clock,
                                 result_handler on_result)
    : m_clock(clock), m_path(std::move(path)), m_on_result(std::move(on_result)), m_client(platform),
      m_thread([this] { run(); })
{
}

platform_reader::~platform_reader()
{
    {
        const std::scoped_lock lock{m_mutex};
        m_stopping = true;
        m_client.cancel();
    }
    m_changed.notify_one();
    m_thread.join();
}

void platform_reader::start(const platform_read& requested)
{
    {
        const std::scoped_lock lock{m_mutex};
        m_pending_read = requested;
        m_client.cancel();
    }
    m_changed.notify_one();
}

std::optional<platform_read> platform_reader::wait_for_read()
{
    std::unique_lock lock{m_mutex};
    m_changed.wait(lock, [this] { return m_stopping || m_pending_read.has_value(); });
    if (m_stopping)
    {
        return std::nullopt;
    }
    m_client.rearm();
    return std::exchange(m_pending_read, std::nullopt);
}

bool platform_reader::is_superseded()
{
    const std::scoped_lock lock{m_mutex};
    return m_stopping || m_pending_read.has_value();
}

platform_read_result platform_reader::read(const platform_read& requested)
{
    const time_point requested_at = m_clock.now();
    const std::string query =
        "?after=" + std::to_string(requested.m_have) + "&wait_ms=" + std::to_string(requested.m_wait.count());
    const auto response = m_client.get(m_path + query, requested.m_wait + response_allowance);
    if (response && response->m_status == status_not_modified)
    {
        return {requested.m_id, platform_unchanged{}, requested_at};
    }
    if (response && response->m_status == status_ok)
    {
        return {requested.m_id, platform_value{revision_of(*response), response->m_body}, requested_at};
    }
    return {requested.m_id, platform_failure{}, requested_at};
}

void platform_reader::run()
{
    while (const auto requested = wait_for_read())
    {
        const platform_read_result result = read(*requested);
        if (!is_superseded())
        {
            m_on_result(result);
        }
    }
}

} // namespace teasellead
