#pragma once

// Client of the platform's VM list.
//
//   HttpVmListClient client(settings.platform.vmList);
//   BOOST_LEAF_AUTO(list, client.fetch(Millis(1000)));
//
// The list lags behind the actual state of the VMs. A failed fetch gives no information about them.

#include "base/clock.h"
#include "base/error.h"
#include "base/traffic.h"
#include "http/address.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace cicadafork {

enum class VmKind { Entry, Endpoint };

struct VmRow
{
    std::string id;
    VmKind kind = VmKind::Entry;
    std::string domain; ///< Failure domain.
    Address address;
    std::optional<Address> peerAddress; ///< Set for entry VMs.
    std::string service;                ///< Set for endpoints.
    bool leaving = false;
};

struct VmList
{
    std::uint64_t version = 0; ///< Increases with every change to the list.
    std::vector<VmRow> vms;
    std::size_t skipped = 0; ///< Number of rows that could not be read.
};

/// Parses the response of the service. Malformed rows, for example with an unknown kind or an
/// invalid address, are skipped and counted. Fails with Unavailable when the response as a whole is
/// malformed.
Result<VmList> parseVmList(const nlohmann::json &body);

class VmListClient
{
public:
    virtual ~VmListClient() = default;

    /// Fails with DeadlineExceeded or Unavailable.
    virtual Result<VmList> fetch(Millis timeout) = 0;
};

/// VmListClient over HTTP. Thread-safe. Sends the entity tag of its newest list, so that the
/// service can answer 304 without a body when the list is unchanged: 960 rows are 168 KB, and a
/// full list every second would take eight times the byte budget of a daemon.
class HttpVmListClient : public VmListClient
{
public:
    explicit HttpVmListClient(Address address, TrafficMeter meter = {})
        : address_(std::move(address))
        , meter_(meter)
    {
    }

    Result<VmList> fetch(Millis timeout) override;

private:
    Address address_;
    TrafficMeter meter_;
    std::mutex mutex_;
    std::string validator_; ///< Entity tag of newest_; empty when the service sends none.
    VmList newest_;
};

} // namespace cicadafork
