#pragma once

namespace teasellead
{

/*!
@brief names of the HTTP headers exchanged with callers, upstreams and the platform

docs/wire.md describes their values.
*/
namespace wire_header
{

inline constexpr const char* key = "X-Teasellead-Key";
inline constexpr const char* request_id = "X-Teasellead-Request-Id";
inline constexpr const char* service = "X-Teasellead-Service";
inline constexpr const char* shard = "X-Teasellead-Shard";
inline constexpr const char* shard_keys = "X-Teasellead-Shard-Keys";
inline constexpr const char* shard_map = "X-Teasellead-Shard-Map";
inline constexpr const char* snapshot = "X-Teasellead-Snapshot";
inline constexpr const char* deadline_ms = "X-Teasellead-Deadline-Ms";
inline constexpr const char* route = "X-Teasellead-Route";
inline constexpr const char* incarnation = "X-Teasellead-Incarnation";
inline constexpr const char* covered_keys = "X-Teasellead-Covered-Keys";
inline constexpr const char* not_run = "X-Teasellead-Not-Run";
inline constexpr const char* revision = "X-Teasellead-Revision";
inline constexpr const char* retry_after = "Retry-After";

} // namespace wire_header

} // namespace teasellead
