// Requests that a client sends on a kept connection before the answer to the one before has come.
#include <exception>
#include <iostream>
#include <map>

#include "lab.hpp"

namespace
{

using namespace lab;

constexpr int connections = 10;
constexpr milliseconds answer_time{5000};

struct sent_request
{
    std::string id;
    std::string bytes;
};

enum class outcome
{
    own,     ///< the answer to this request, from a replica
    refused, ///< a failure of the node itself, or no answer
    foreign  ///< an answer that belongs to another request
};

outcome read_answer(record& log, connection& caller, const sent_request& asked)
{
    const auto answer = caller.read(answer_time);
    if (!answer)
    {
        log.line("client " + asked.id + " gets no answer" + (caller.is_ended() ? ", the connection is closed" : ""));
        return outcome::refused;
    }
    const std::string echoed = answer->field("Request-Id");
    const std::string stamp = answer->field("Server-Stamp");
    log.line("client " + asked.id + " gets " + std::to_string(answer->status()) + " Request-Id=" + echoed +
             " Server-Stamp=" + stamp + " body=" + answer->body);
    if (echoed == asked.id && answer->body.find("to " + asked.id) != std::string::npos)
    {
        return outcome::own;
    }
    return stamp.empty() && answer->status() >= 400 ? outcome::refused : outcome::foreign;
}

int play(record& log)
{
    deployment system{log};
    system.start(2);
    int own = 0;
    int foreign = 0;
    const auto take_answer = [&](connection& caller, const sent_request& asked)
    {
        const outcome result = read_answer(log, caller, asked);
        own += result == outcome::own ? 1 : 0;
        foreign += result == outcome::foreign ? 1 : 0;
    };
    std::map<std::string, int> sent;
    for (int number = 0; number < connections; ++number)
    {
        const auto& front = system.address(static_cast<unsigned>(number) % 2);
        const auto caller = connection::to(front.ip, front.front);
        const std::string suffix = std::to_string(100 + number);
        const sent_request read{"read-" + suffix, request("GET", "/read/slots", "read-" + suffix, school_key)};
        const sent_request first{"book-a" + suffix, request("POST", "/book/net", "book-a" + suffix, school_key,
                                                            "{\"net\":1,\"of\":\"a\"}")};
        const sent_request second{"book-b" + suffix, request("POST", "/book/net", "book-b" + suffix, club_key,
                                                             "{\"net\":2,\"of\":\"b\"}")};
        for (const sent_request* each : {&read, &first, &second})
        {
            sent[each->id] = 0;
        }
        if (has_trouble())
        {
            log.line("client sends " + read.id + " and " + first.id + " in one write");
            caller->send(read.bytes + first.bytes);
            take_answer(*caller, read);
            take_answer(*caller, first);
        }
        else
        {
            log.line("client sends " + read.id);
            caller->send(read.bytes);
            take_answer(*caller, read);
            log.line("client sends " + first.id);
            caller->send(first.bytes);
            take_answer(*caller, first);
        }
        log.line("client sends " + second.id);
        caller->send(second.bytes);
        take_answer(*caller, second);
    }
    bool is_twice = false;
    for (const run& each : system.runs())
    {
        const auto known = sent.find(each.request_id);
        if (known != sent.end() && ++known->second > 1 && each.request_id.compare(0, 4, "book") == 0)
        {
            is_twice = true;
            log.line("TWICE: " + each.request_id + " ran " + std::to_string(known->second) + " times");
        }
    }
    log.line(std::to_string(sent.size()) + " requests, " + std::to_string(own) + " own answers, " +
             std::to_string(foreign) + " answers of other requests (MIXED " + (foreign > 0 ? "broken" : "held") +
             "), TWICE " + (is_twice ? "broken" : "held"));
    if (is_twice || foreign > 0)
    {
        return broken;
    }
    // without the disruption all requests are served
    return has_trouble() || own == static_cast<int>(sent.size()) ? held : not_run;
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
