#include "standin_upstream.hpp"

#include <nlohmann/json.hpp>

namespace test_support
{

namespace
{

using nlohmann::json;
using runtime::http_request;
using runtime::http_response;

constexpr unsigned ok = 200;
constexpr unsigned misdirected = 421;
constexpr unsigned unavailable = 503;
constexpr std::size_t record_size = 16;

std::string field_of(const http_request& request, std::string_view name)
{
    return std::string{runtime::find_field(request.m_fields, name).value_or("")};
}

} // namespace

standin_upstream::standin_upstream(runtime::loop_thread& thread, const teasellead::endpoint& address,
                                   std::string instance, std::string service)
    : m_thread(thread), m_address(address), m_instance(std::move(instance)), m_service(std::move(service)),
      m_restart(thread.loop())
{
    m_thread.run([this] { listen(); });
}

void standin_upstream::listen()
{
    m_server = std::make_unique<runtime::caller_server>(
        m_thread.loop(), m_address,
        [this](const http_request& request, const runtime::respond_function& respond)
        { return take(request, respond); });
}

/// breaks all connections at once; nothing listens until another process is started
void standin_upstream::crash()
{
    ++m_life;
    m_server.reset();
    m_restart.expires_after(m_behaviour.m_restart_time);
    m_restart.async_wait(
        [this](const boost::system::error_code& error)
        {
            if (error)
            {
                return;
            }
            ++m_born;
            listen();
            if (m_behaviour.m_on_restart)
            {
                m_behaviour.m_on_restart(*this);
            }
        });
}

standin_upstream::~standin_upstream()
{
    m_thread.run(
        [this]
        {
            m_restart.cancel();
            m_server.reset();
        });
}

void standin_upstream::set_behaviour(const upstream_behaviour& behaviour)
{
    m_thread.run([&] { m_behaviour = behaviour; });
}

std::vector<upstream_run> standin_upstream::runs() const
{
    const std::scoped_lock lock{m_mutex};
    return m_runs;
}

std::vector<upstream_arrival> standin_upstream::arrivals() const
{
    const std::scoped_lock lock{m_mutex};
    return m_arrivals;
}

std::string standin_upstream::entry(const std::string& state, std::uint64_t sequence,
                                    const std::string& address) const
{
    return json{{"service", m_service},   {"address", address.empty() ? m_address.to_string() : address},
                {"zone", "north"},        {"version", "v1"},
                {"capacity", 4},          {"state", state},
                {"warmupRemainingMs", 0}, {"sequence", sequence},
                {"born", m_born}}
        .dump();
}

std::string standin_upstream::record() const
{
    std::string record = m_instance;
    record.resize(record_size, '.');
    return record;
}

http_response standin_upstream::reply(const std::string& request_id, const std::string& target) const
{
    http_response answer{
        ok, {{"Request-Id", request_id}, {"Server-Stamp", m_instance + "/" + request_id}}, record()};
    if (target.find("long") != std::string::npos)
    {
        answer.m_body.resize(m_behaviour.m_long_body, '.');
    }
    if (m_behaviour.m_says_leaving)
    {
        answer.m_fields.push_back({"Server-Leaving", "1"});
    }
    return answer;
}

http_response standin_upstream::refusal() const
{
    constexpr double ms_per_s = 1000.0;
    http_response answer{unavailable, {{"Not-Executed", "1"}}, {}};
    if (m_behaviour.m_pause > std::chrono::milliseconds::zero())
    {
        const double seconds = static_cast<double>(m_behaviour.m_pause.count()) / ms_per_s;
        answer.m_fields.push_back({"Retry-After", std::to_string(seconds)});
    }
    return answer;
}

runtime::disconnect_callback standin_upstream::take(const http_request& request,
                                                    const runtime::respond_function& respond)
{
    if (field_of(request, "Target-Instance") != m_instance)
    {
        respond({misdirected, {{"Instance-Id", m_instance}}, {}});
        return {};
    }
    const std::string request_id = field_of(request, "Request-Id");
    {
        const std::scoped_lock lock{m_mutex};
        m_arrivals.push_back({request_id, request.m_target, std::chrono::steady_clock::now(),
                              m_behaviour.m_says_leaving, m_behaviour.m_pause});
    }
    if (m_behaviour.m_sheds || m_behaviour.m_pause > std::chrono::milliseconds::zero())
    {
        respond(refusal());
        return {};
    }
    {
        const std::scoped_lock lock{m_mutex};
        m_runs.push_back(
            {request_id, field_of(request, "Tenant-Id"), request.m_target, std::chrono::steady_clock::now()});
    }
    if (!m_behaviour.m_crash_target.empty() && request.m_target == m_behaviour.m_crash_target)
    {
        // must not run while the server that calls this handles a request
        runtime::asio::post(m_thread.loop(), [this] { crash(); });
        return {};
    }
    if (m_behaviour.m_loses_answers)
    {
        return {};
    }
    const std::string answered = m_behaviour.m_answers_for_another ? "another" : request_id;
    const auto timer = std::make_shared<runtime::asio::steady_timer>(m_thread.loop(), m_behaviour.m_work);
    timer->async_wait(
        [this, respond, answered, target = request.m_target, timer,
         life = m_life](const boost::system::error_code& error)
        {
            // the connections of an earlier process are closed
            if (!error && life == m_life)
            {
                respond(reply(answered, target));
            }
        });
    return [timer]
    {
        timer->cancel();
    };
}

} // namespace test_support
