#pragma once

// Counters of the bytes and messages that the control plane costs.
//
//   const TrafficMeter meter = makeTrafficMeter(metrics, "vm_list");
//   meter.addMessage();
//   meter.addSent(bytes);
//
// Bytes are those that the program writes to and reads from its sockets; the headers of TCP and IP
// are not among them.

#include "base/metrics.h"

namespace cicadafork {

/// A meter that was made without metrics counts nothing.
class TrafficMeter
{
public:
    TrafficMeter() = default;
    TrafficMeter(prometheus::Counter *sent, prometheus::Counter *received,
                 prometheus::Counter *messages)
        : sent_(sent)
        , received_(received)
        , messages_(messages)
    {
    }

    void addSent(std::size_t bytes) const { add(sent_, bytes); }
    void addReceived(std::size_t bytes) const { add(received_, bytes); }
    /// A call that this process makes; the answer is not a message of its own.
    void addMessage() const { add(messages_, 1); }

private:
    static void add(prometheus::Counter *counter, std::size_t amount)
    {
        if (counter)
            counter->Increment(static_cast<double>(amount));
    }

    prometheus::Counter *sent_ = nullptr;
    prometheus::Counter *received_ = nullptr;
    prometheus::Counter *messages_ = nullptr;
};

/// Meter of cicadafork_control_bytes_total and cicadafork_control_messages_total with this kind.
TrafficMeter makeTrafficMeter(Metrics &metrics, const std::string &kind);

} // namespace cicadafork
