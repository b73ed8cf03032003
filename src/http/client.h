#pragma once

// HTTP client calls with explicit timeouts and typed errors.
//
//   Result<nlohmann::json> vms = getJson(address, "/vms", Millis(500));
//
// For streams use makeHttpClient() and the library's content receiver.

#include "base/clock.h"
#include "base/error.h"
#include "base/traffic.h"
#include "http/address.h"
#include "net/framing.h"
#include "net/message.h"

#include <httplib.h>
#include <nlohmann/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cicadafork {

struct HttpTimeouts
{
    Millis connect{500};
    Millis read{1000}; ///< Longest silence while a response is read.
    Millis write{1000};
};

/// Applies the rules for the head and the body of a response, which the library does not check, to
/// one response as it arrives.
class ResponseCheck
{
public:
    /// Returns false if the response has to be dropped.
    bool checkHead(const httplib::Response &response);
    void noteBody(std::string_view bytes);

    /// What is wrong with the response as far as it has arrived, for the log; null if nothing is.
    const char *fault() const;

private:
    const char *headFault_ = nullptr;
    /// Position in the body if it were chunked. Set while a body that its head says nothing of can
    /// be one.
    std::optional<ChunkFraming> undeclaredChunks_;
};

/// A client without keep-alive and with TCP_NODELAY.
std::unique_ptr<httplib::Client> makeHttpClient(const Address &address, HttpTimeouts timeouts);

struct HttpReply
{
    int status = 0;
    std::string body;
    httplib::Headers headers;
};

/// GET; fails with Unavailable (no connection, connection lost, damaged response) or
/// DeadlineExceeded (no answer). Any HTTP status is a success.
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
