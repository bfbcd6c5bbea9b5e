// A body whose Transfer-Encoding doesn't end in "chunked" and that reads like another request.
#include <exception>

#include "lab.hpp"

namespace
{

using namespace lab;

constexpr int connections = 10;
constexpr milliseconds answer_time{1500};

int play(record& log)
{
    deployment system{log};
    system.start(2);
    int served = 0;
    for (int number = 0; number < connections; ++number)
    {
        const auto& front = system.address(static_cast<unsigned>(number) % 2);
        const auto caller = connection::to(front.ip, front.front);
        const std::string suffix = std::to_string(100 + number);
        // what a user has written, which the client passes on as the body of its own request
        const std::string body =
            request("POST", "/book/net", "inner-" + suffix, club_key, "{\"net\":1}");
        std::string outer = "POST /read/note HTTP/1.1\r\nHost: one.example\r\nRequest-Id: outer-" + suffix +
                            "\r\nDeadline-Ms: 1000\r\nAuthorization: Bearer " + school_key + "\r\n";
        outer += has_trouble() ? std::string{"Transfer-Encoding: identity\r\n"}
                               : "Content-Length: " + std::to_string(body.size()) + "\r\n";
        log.line("client sends outer-" + suffix + " with a body of " + std::to_string(body.size()) + " bytes");
        caller->send(outer + "\r\n" + body);
        while (const auto answer = caller->read(answer_time))
        {
            log.line("client gets " + std::to_string(answer->status()) + " Request-Id=" +
                     answer->field("Request-Id") + " body=" + answer->body);
            const bool is_own = answer->status() == 200 && answer->field("Request-Id") == "outer-" + suffix;
            served += is_own ? 1 : 0;
            if (!has_trouble() || answer->field("Connection") == "close")
            {
                break;
            }
        }
    }
    int smuggled = 0;
    int without_body = 0;
    for (const run& each : system.runs())
    {
        smuggled += each.request_id.compare(0, 6, "inner-") == 0 ? 1 : 0;
        without_body += each.request_id.compare(0, 6, "outer-") == 0 && each.body.empty() ? 1 : 0;
    }
    log.line("UNASKED: " + std::to_string(smuggled) + " of " + std::to_string(connections) +
             " bodies ran as requests of their own, " + std::to_string(without_body) +
             " requests ran without their body");
    if (smuggled > 0 || without_body > 0)
    {
        return broken;
    }
    return has_trouble() || served == connections ? held : not_run;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
    {
        return not_run;
    }
    record log{argv[1]};
    try
    {
        return play(log);
    }
    catch (const std::exception& error)
    {
        log.line(std::string{"couldn't run: "} + error.what());
        return not_run;
    }
}
