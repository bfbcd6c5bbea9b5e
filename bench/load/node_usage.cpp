#include "node_usage.hpp"

#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <unistd.h>

namespace bench
{

namespace
{

std::string read_process_file(pid_t process, const char* name)
{
    std::ifstream file{"/proc/" + std::to_string(process) + "/" + name};
    std::ostringstream text;
    text << file.rdbuf();
    if (!file)
    {
        throw std::runtime_error("can't read " + std::string{name} + " of process " +
                                 std::to_string(process));
    }
    return text.str();
}

/// the number after a label, such as "VmRSS:"
std::uint64_t number_after(const std::string& text, const std::string& label)
{
    const auto found = text.find(label);
    if (found == std::string::npos)
    {
        throw std::runtime_error("no " + label + " in the status of a process");
    }
    return std::stoull(text.substr(found + label.size()));
}

std::chrono::microseconds processor_time_of(const std::string& stat)
{
    // the name of the program, in parentheses, may contain spaces
    std::istringstream fields{stat.substr(stat.rfind(')') + 1)};
    constexpr int fields_before_user_time = 11;
    std::string skipped;
    for (int field = 0; field < fields_before_user_time; ++field)
    {
        fields >> skipped;
    }
    std::uint64_t user_ticks = 0;
    std::uint64_t system_ticks = 0;
    fields >> user_ticks >> system_ticks;
    const auto ticks_per_second = static_cast<std::uint64_t>(::sysconf(_SC_CLK_TCK));
    return std::chrono::microseconds{(user_ticks + system_ticks) * std::micro::den / ticks_per_second};
}

} // namespace

node_usage usage_of(pid_t process)
{
    const std::string status = read_process_file(process, "status");
    return {processor_time_of(read_process_file(process, "stat")), number_after(status, "VmRSS:"),
            number_after(status, "Threads:")};
}

node_usage operator+(const node_usage& lhs, const node_usage& rhs) noexcept
{
    return {lhs.m_processor_time + rhs.m_processor_time, lhs.m_resident_kib + rhs.m_resident_kib,
            lhs.m_threads + rhs.m_threads};
}

} // namespace bench
