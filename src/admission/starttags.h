#pragma once

// Tags of start-time fair queueing: a request of a flow starts at the virtual time, or where the
// previous request of the flow finishes, whichever is later. Requests are served by ascending start
// tags.
//
//   StartTags<std::string> tags;
//   const double start = tags.next("workspace", cost);
//   tags.advance(start);              // the request is served
//
// Flows with equal shares get equal service, whatever their requests cost.

#include <algorithm>
#include <map>

namespace cicadafork {

template <class FlowKey>
class StartTags
{
public:
    /// The start tag of the next request of the flow; its finish is `cost` later.
    double next(const FlowKey &flow, double cost)
    {
        double &finish = finish_[flow];
        const double start = std::max(virtualTime_, finish);
        finish = start + cost;
        return start;
    }

    /// The request with this start tag is served. Flows whose requests have all finished by then
    /// are forgotten, so that idle flows take no memory.
    void advance(double start)
    {
        virtualTime_ = std::max(virtualTime_, start);
        std::erase_if(finish_, [this](const auto &entry) { return entry.second <= virtualTime_; });
    }

    /// Lets the flow begin at `finish` unless it has a later finish tag already.
    void raise(const FlowKey &flow, double finish)
    {
        double &known = finish_[flow];
        known = std::max(known, finish);
    }

private:
    double virtualTime_ = 0;
    std::map<FlowKey, double> finish_; ///< Finish tags above the virtual time.
};

} // namespace cicadafork
