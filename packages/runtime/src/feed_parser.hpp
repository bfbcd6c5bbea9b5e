#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstdint>
#include <string_view>

namespace teasellead::runtime
{

/*!
@brief passes received bytes to a parser until the message is complete or more input is needed

@param[in,out] parser         a Beast parser of requests or responses, with eager parsing disabled
@param[in,out] buffer         received bytes; parsed bytes are removed
@param[in]     max_body       largest body in bytes
@param[in]     is_acceptable  called with each parsed part of the head, which ends with a line; the message is
                              malformed if it returns false

@return the parse error if the message is malformed or too large, otherwise no error
*/
template <class Parser, class HeadCheck>
boost::system::error_code feed_parser(Parser& parser, boost::beast::flat_buffer& buffer,
                                      std::uint64_t max_body, const HeadCheck& is_acceptable)
{
    namespace http = boost::beast::http;
    boost::system::error_code error;
    while (buffer.size() > 0 && !parser.is_done())
    {
        const bool is_head = !parser.is_header_done();
        const std::size_t used = parser.put(buffer.data(), error);
        const std::string_view parsed{static_cast<const char*>(buffer.data().data()), used};
        const bool is_refused = is_head && !is_acceptable(parsed);
        buffer.consume(used);
        if (is_refused)
        {
            return http::make_error_code(http::error::bad_field);
        }
        if (error == http::error::need_more)
        {
            return {};
        }
        if (error || used == 0)
        {
            return error;
        }
        // the parser reserves memory for the Content-Length before it checks it against its own limit
        if (parser.is_header_done() && parser.content_length().value_or(0) > max_body)
        {
            return http::make_error_code(http::error::body_limit);
        }
    }
    return {};
}

/// does the same with any head that the parser accepts
template <class Parser>
boost::system::error_code feed_parser(Parser& parser, boost::beast::flat_buffer& buffer,
                                      std::uint64_t max_body)
{
    return feed_parser(parser, buffer, max_body, [](std::string_view) { return true; });
}

} // namespace teasellead::runtime
