#pragma once

// A Fleet that also shows finished attempts to the outlier detector.

#include "admission/outlierdetector.h"
#include "membership/fleettable.h"

namespace cicadafork {

class ObservedFleet : public Fleet
{
public:
    ObservedFleet(FleetTable &fleet, OutlierDetector &outliers)
        : fleet_(fleet)
        , outliers_(outliers)
    {
    }

    FleetView view(const std::string &service, TimePoint now) const override
    {
        return fleet_.view(service, now);
    }
    std::vector<PeerView> peers(TimePoint now) const override { return fleet_.peers(now); }
    bool sendPermitted(const std::string &endpointId, TimePoint now) const override
    {
        return fleet_.sendPermitted(endpointId, now);
    }
    void noteSent(const std::string &endpointId, std::uint64_t promptTokens, TimePoint now) override
    {
        fleet_.noteSent(endpointId, promptTokens, now);
    }
    void noteFinished(const std::string &endpointId, const AttemptObservation &observation,
                      TimePoint now) override
    {
        fleet_.noteFinished(endpointId, observation, now);
        const bool measured = observation.succeeded && observation.firstToken > Millis(0)
                              && observation.expectedFirstToken > Millis(0);
        const double ratio
                = measured ? static_cast<double>(observation.firstToken.count())
                                     / static_cast<double>(observation.expectedFirstToken.count())
                           : 0;
        outliers_.observe(endpointId, observation.succeeded, ratio, now);
    }

private:
    FleetTable &fleet_;
    OutlierDetector &outliers_;
};

} // namespace cicadafork
