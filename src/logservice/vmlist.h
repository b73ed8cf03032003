#pragma once

// Client of the platform's VM list.
//
//   HttpVmListClient client(settings.platform.vmList);
//   BOOST_LEAF_AUTO(list, client.fetch(Millis(1000)));
//
// The list lags. A failed fetch says nothing about the VMs.

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
    std::uint64_t version = 0; ///< Increases with every change of the list.
    std::vector<VmRow> vms;
    std::size_t skipped = 0; ///< Rows that could not be read.
};

/// Reads the answer of the service. Rows of an unknown kind or with a bad address are skipped and
/// counted; fails with Unavailable when the answer as a whole is malformed.
Result<VmList> parseVmList(const nlohmann::json &body);

class VmListClient
{
public:
    virtual ~VmListClient() = default;

    /// Fails with DeadlineExceeded or Unavailable.
    virtual Result<VmList> fetch(Millis timeout) = 0;
};

/// The client over HTTP. Thread-safe. It sends the entity tag of the list that it has, so that a
/// service that knows the tag answers 304 without the list: 960 rows are 168 KB, and one list per
/// second would take eight times the byte budget of a daemon.
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
    std::string validator_; ///< Entity tag of the newest list; empty when the service gives none.
    VmList newest_;
};

} // namespace cicadafork
