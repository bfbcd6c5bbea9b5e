#include "fault_proxy.hpp"

#include <boost/asio/write.hpp>
#include <fcntl.h>
#include <utility>

namespace test_support
{

namespace
{

constexpr std::chrono::milliseconds link_delay{40};
constexpr std::size_t chunk_size = 4096;

} // namespace

/// one connection through the proxy
class fault_proxy::tunnel : public std::enable_shared_from_this<fault_proxy::tunnel>
{
  public:
    tunnel(fault_proxy& owner, runtime::tcp::socket client)
        : m_owner(&owner), m_client(std::move(client)), m_server(owner.m_thread.loop())
    {
    }

    void start()
    {
        m_server.async_connect(runtime::to_tcp(m_owner->m_target),
                               [self = shared_from_this()](const boost::system::error_code& error)
                               {
                                   if (error || self->m_is_closed)
                                   {
                                       self->close();
                                       return;
                                   }
                                   self->pump(self->m_client, self->m_server, self->m_up, false);
                                   self->pump(self->m_server, self->m_client, self->m_down, true);
                               });
    }

    /// ends both connections with a reset
    void reset()
    {
        boost::system::error_code ignored; // the peers may have closed already
        m_client.set_option(runtime::asio::socket_base::linger{true, 0}, ignored);
        m_server.set_option(runtime::asio::socket_base::linger{true, 0}, ignored);
        close();
    }

    void close()
    {
        if (std::exchange(m_is_closed, true))
        {
            return;
        }
        boost::system::error_code ignored; // the peers may have closed already
        m_client.close(ignored);
        m_server.close(ignored);
        m_owner->m_tunnels.erase(shared_from_this());
    }

  private:
    using buffer = std::array<char, chunk_size>;

    void pump(runtime::tcp::socket& from, runtime::tcp::socket& to, buffer& bytes, bool is_downward)
    {
        from.async_read_some(runtime::asio::buffer(bytes),
                             [this, self = shared_from_this(), &from, &to, &bytes,
                              is_downward](const boost::system::error_code& error, std::size_t size)
                             {
                                 if (error || m_is_closed)
                                 {
                                     close();
                                     return;
                                 }
                                 pass_on(from, to, bytes, size, is_downward);
                             });
    }

    void pass_on(runtime::tcp::socket& from, runtime::tcp::socket& to, buffer& bytes, std::size_t size,
                 bool is_downward)
    {
        const link_fault fault = m_owner->m_fault;
        if (fault == link_fault::silent || (fault == link_fault::one_way && is_downward))
        {
            pump(from, to, bytes, is_downward);
            return;
        }
        const auto delay = fault == link_fault::delayed ? link_delay : std::chrono::milliseconds{0};
        const auto timer = std::make_shared<runtime::asio::steady_timer>(m_owner->m_thread.loop(), delay);
        timer->async_wait(
            [this, self = shared_from_this(), timer, &from, &to, &bytes, size,
             is_downward](const boost::system::error_code&)
            {
                runtime::asio::async_write(to, runtime::asio::buffer(bytes, size),
                                           [this, self, &from, &to, &bytes,
                                            is_downward](const boost::system::error_code& error, std::size_t)
                                           {
                                               if (error)
                                               {
                                                   close();
                                                   return;
                                               }
                                               pump(from, to, bytes, is_downward);
                                           });
            });
    }

    fault_proxy* m_owner; ///< not to be used once the tunnel is closed, as the proxy may be destroyed then
    bool m_is_closed{false};
    runtime::tcp::socket m_client;
    runtime::tcp::socket m_server;
    buffer m_up{};
    buffer m_down{};
};

fault_proxy::fault_proxy(runtime::loop_thread& thread, const teasellead::endpoint& listen,
                         const teasellead::endpoint& target)
    : m_thread(thread), m_target(target), m_acceptor(thread.loop())
{
    m_thread.run(
        [&]
        {
            m_acceptor.open(runtime::tcp::v4());
            ::fcntl(m_acceptor.native_handle(), F_SETFD, FD_CLOEXEC);
            m_acceptor.set_option(runtime::tcp::acceptor::reuse_address{true});
            m_acceptor.bind(runtime::to_tcp(listen));
            m_acceptor.listen();
            accept();
        });
}

fault_proxy::~fault_proxy()
{
    m_thread.run(
        [this]
        {
            m_acceptor.close();
            const auto tunnels = m_tunnels;
            for (const auto& each : tunnels)
            {
                each->close();
            }
        });
}

void fault_proxy::set_fault(link_fault fault)
{
    m_thread.run(
        [&]
        {
            m_fault = fault;
            if (fault != link_fault::reset)
            {
                return;
            }
            const auto tunnels = m_tunnels;
            for (const auto& each : tunnels)
            {
                each->reset();
            }
        });
}

void fault_proxy::accept()
{
    m_acceptor.async_accept(
        [this](const boost::system::error_code& error, runtime::tcp::socket socket)
        {
            if (error)
            {
                return;
            }
            const auto added = std::make_shared<tunnel>(*this, std::move(socket));
            m_tunnels.insert(added);
            if (m_fault == link_fault::reset)
            {
                added->reset();
            }
            else
            {
                added->start();
            }
            accept();
        });
}

} // namespace test_support
