#pragma once

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <cstdint>

namespace teasellead::runtime
{

/*!
@brief passes received bytes to a parser until the message is complete or more input is needed

@param[in,out] parser    a Beast parser of requests or responses, with eager parsing disabled
@param[in,out] buffer    received bytes; parsed bytes are removed
@param[in]     max_body  largest body in bytes

@return the parse error if the message is malformed or too large, otherwise no error
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
        // the parser reserves memory for the Content-Length before it checks it against its own limit
        if (parser.is_header_done() && parser.content_length().value_or(0) > max_body)
        {
            return boost::beast::http::make_error_code(boost::beast::http::error::body_limit);
        }
    }
    return {};
}

} // namespace teasellead::runtime
