#pragma once

// HTTP client calls with explicit timeouts and typed errors.
//
//   Result<nlohmann::json> vms = getJson(address, "/vms", Millis(500));
//
// For streams use http/blockingcall.

#include "base/clock.h"
#include "base/error.h"
#include "base/traffic.h"
#include "http/address.h"
#include "http/blockingcall.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <string>

namespace cicadafork {

/// The library's client without keep-alive and with TCP_NODELAY, for tools and tests. It checks
/// less of an answer than the calls below: what it gets must not reach a caller.
std::unique_ptr<httplib::Client> makeHttpClient(const Address &address, HttpTimeouts timeouts);

struct HttpReply
{
    int status = 0;
    std::string body;
    httplib::Headers headers;
};

/// GET; fails with Unavailable (no connection, damaged response) or DeadlineExceeded (no whole
/// answer, also if the connection was lost). Any HTTP status is a success.
Result<HttpReply> httpGet(const Address &address, const std::string &path, Millis timeout,
                          const TrafficMeter &meter = {}, const httplib::Headers &headers = {});

/// POST of a JSON body; fails like httpGet.
Result<HttpReply> httpPost(const Address &address, const std::string &path, const std::string &body,
                           Millis timeout, const httplib::Headers &headers = {},
                           const TrafficMeter &meter = {});

/// DELETE; fails like httpGet.
Result<HttpReply> httpDelete(const Address &address, const std::string &path, Millis timeout);

/// GET and parse; a status other than 200 or a body that is not JSON fails with Unavailable.
Result<nlohmann::json> getJson(const Address &address, const std::string &path, Millis timeout,
                               const TrafficMeter &meter = {});

/// POST and parse; a status other than 200 or a body that is not JSON fails with Unavailable.
Result<nlohmann::json> postJson(const Address &address, const std::string &path,
                                const nlohmann::json &body, Millis timeout,
                                const TrafficMeter &meter = {});

} // namespace cicadafork
