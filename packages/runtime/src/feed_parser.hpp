#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstdint>

namespace teasellead::runtime
{

/*!
@brief gives a parser what has arrived, as far as it takes it

@param[in,out] parser    a parser of requests or responses that isn't eager
@param[in,out] buffer    received bytes; those that were taken are removed
@param[in]     max_body  largest body in bytes

@return the error by which the message is malformed, or none
*/
template <class Parser>
boost::system::error_code feed_parser(Parser& parser, boost::beast::flat_buffer& buffer,
                                      std::uint64_t max_body)
{
    boost::system::error_code error;
    while (buffer.size() > 0 && !parser.is_done())
    {
        const std::size_t used = parser.put(buffer.data(), error);
        buffer.consume(used);
        if (error == boost::beast::http::error::need_more)
        {
            return {};
        }
        if (error || used == 0)
        {
            return error;
        }
        // the parser reserves the announced length before it compares it with its own limit
        if (parser.is_header_done() && parser.content_length().value_or(0) > max_body)
        {
            return boost::beast::http::make_error_code(boost::beast::http::error::body_limit);
        }
    }
    return {};
}

} // namespace teasellead::runtime
