#include "teasellead/runtime/decision_log.hpp"

#include <atomic>
#include <fcntl.h>
#include <mutex>
#include <nlohmann/json.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace teasellead
{

namespace
{

spdlog::level::level_enum to_spdlog(log_level level)
{
    switch (level)
    {
    case log_level::debug:
        return spdlog::level::debug;
    case log_level::info:
        return spdlog::level::info;
    case log_level::warning:
        return spdlog::level::warn;
    case log_level::error:
        return spdlog::level::err;
    case log_level::off:
        return spdlog::level::off;
    }
    return spdlog::level::info;
}

/// the value, quoted if it is empty or contains a character that separates fields
std::string quoted_if_needed(const std::string& value)
{
    constexpr std::string_view separators = " =\"\n\r\t";
    const bool needs_quotes = value.empty() || value.find_first_of(separators) != std::string::npos;
    return needs_quotes ? nlohmann::json(value).dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)
                        : value;
}

std::string key_value_line(std::string_view event, const std::vector<log_field>& fields)
{
    std::string line = "event=" + std::string{event};
    for (const log_field& field : fields)
    {
        line += " " + field.name() + "=" + quoted_if_needed(field.value());
    }
    return line;
}

std::string json_members(std::string_view event, const std::vector<log_field>& fields)
{
    std::string line = "\"event\":\"" + std::string{event} + "\"";
    for (const log_field& field : fields)
    {
        const std::string value = field.is_number()
                                      ? field.value()
                                      : nlohmann::json(field.value())
                                            .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
        line += ",\"" + field.name() + "\":" + value;
    }
    return line;
}

/// writes to standard output without blocking; drops lines if its reader is too slow
class nonblocking_stdout_sink final : public spdlog::sinks::base_sink<std::mutex>
{
  public:
    nonblocking_stdout_sink()
    {
        const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
        if (flags >= 0)
        {
            ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
        }
    }

    [[nodiscard]] std::uint64_t dropped() const noexcept
    {
        return m_dropped.load();
    }

  protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t formatted;
        formatter_->format(message, formatted);
        flush_();
        if (m_pending.size() + formatted.size() > max_pending_bytes)
        {
            ++m_dropped;
            return;
        }
        m_pending.append(formatted.data(), formatted.size());
        flush_();
    }

    void flush_() override
    {
        while (!m_pending.empty())
        {
            const ssize_t written = ::write(STDOUT_FILENO, m_pending.data(), m_pending.size());
            if (written <= 0)
            {
                return;
            }
            m_pending.erase(0, static_cast<std::size_t>(written));
        }
    }

  private:
    static constexpr std::size_t max_pending_bytes = 64 * 1024;

    std::string m_pending;
    std::atomic<std::uint64_t> m_dropped{0};
};

} // namespace

class decision_log::implementation
{
  public:
    implementation(log_format format, log_level level, log_target target)
        : m_format(format),
          m_output(target == log_target::standard_output ? std::make_shared<nonblocking_stdout_sink>()
                                                         : nullptr),
          m_logger("teasellead", sink_for(m_output))
    {
        m_logger.set_level(to_spdlog(level));
        m_logger.set_pattern(format == log_format::json
                                 ? R"({"time":"%Y-%m-%dT%H:%M:%S.%fZ","level":"%l",%v})"
                                 : "time=%Y-%m-%dT%H:%M:%S.%fZ level=%l %v",
                             spdlog::pattern_time_type::utc);
        m_logger.flush_on(spdlog::level::warn);
    }

    [[nodiscard]] bool is_enabled(log_level level) const noexcept
    {
        return m_logger.should_log(to_spdlog(level));
    }

    void write(log_level level, std::string_view event, const std::vector<log_field>& fields)
    {
        if (!is_enabled(level))
        {
            return;
        }
        const std::string line =
            m_format == log_format::json ? json_members(event, fields) : key_value_line(event, fields);
        m_logger.log(to_spdlog(level), spdlog::string_view_t{line.data(), line.size()});
    }

    [[nodiscard]] std::uint64_t dropped() const noexcept
    {
        return m_output ? m_output->dropped() : 0;
    }

  private:
    static spdlog::sink_ptr sink_for(const std::shared_ptr<nonblocking_stdout_sink>& output)
    {
        if (output)
        {
            return output;
        }
        return std::make_shared<spdlog::sinks::stderr_sink_mt>();
    }

    log_format m_format;
    std::shared_ptr<nonblocking_stdout_sink> m_output;
    spdlog::logger m_logger;
};

decision_log::decision_log(log_format format, log_level level, log_target target)
    : m_implementation(std::make_unique<implementation>(format, level, target))
{
}

std::uint64_t decision_log::dropped() const noexcept
{
    return m_implementation->dropped();
}

decision_log::~decision_log() = default;

bool decision_log::is_enabled(log_level level) const noexcept
{
    return m_implementation->is_enabled(level);
}

void decision_log::write(log_level level, std::string_view event, const std::vector<log_field>& fields)
{
    m_implementation->write(level, event, fields);
}

} // namespace teasellead
