#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace teasellead
{

/// format of a log line
enum class log_format
{
    key_value, ///< `event=route shard=a`
    json       ///< one JSON object per line
};

/// severity of a log line
enum class log_level
{
    debug,
    info,
    warning,
    error,
    off
};

/// where log lines go
enum class log_target
{
    standard_error,
    standard_output ///< non-blocking; lines beyond a buffer's capacity are dropped and counted
};

/// a name and a value in a log line
class log_field
{
  public:
    log_field(std::string_view name, std::string_view value) : m_name(name), m_value(value)
    {
    }

    log_field(std::string_view name, const char* value) : m_name(name), m_value(value)
    {
    }

    log_field(std::string_view name, std::uint64_t value)
        : m_name(name), m_value(std::to_string(value)), m_is_number(true)
    {
    }

    log_field(std::string_view name, double value)
        : m_name(name), m_value(std::to_string(value)), m_is_number(true)
    {
    }

    [[nodiscard]] const std::string& name() const noexcept
    {
        return m_name;
    }

    [[nodiscard]] const std::string& value() const noexcept
    {
        return m_value;
    }

    /// whether the value needs no quotes in JSON
    [[nodiscard]] bool is_number() const noexcept
    {
        return m_is_number;
    }

    friend bool operator==(const log_field&, const log_field&) = default;

  private:
    std::string m_name;
    std::string m_value;
    bool m_is_number{false};
};

/*!
@brief structured log with one line for each decision or event

Thread-safe.
*/
class decision_log
{
  public:
    /*!
    @brief creates a log

    @param[in] format  format of the lines
    @param[in] level   lines below this level aren't written
    @param[in] target  where lines are written to
    */
    decision_log(log_format format, log_level level, log_target target = log_target::standard_error);
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;
    ~decision_log();

    /// whether lines of a level are written
    [[nodiscard]] bool is_enabled(log_level level) const noexcept;

    /*!
    @brief writes a line

    @param[in] level   severity
    @param[in] event   name of the decision or event
    @param[in] fields  further fields, in the order of the line
    */
    void write(log_level level, std::string_view event, const std::vector<log_field>& fields);

    /// number of lines that were dropped because the reader of standard output was too slow
    [[nodiscard]] std::uint64_t dropped() const noexcept;

  private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace teasellead
