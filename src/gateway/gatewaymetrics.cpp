#include "gateway/gatewaymetrics.h"

namespace cicadafork::gateway {

namespace {

// The range extends from the answer of a cached route to the longest deadline.
const std::vector<double> kBoundsSeconds
        = {0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 1, 1.5, 2, 3, 5, 10, 15};

prometheus::Counter &counterFor(std::map<std::string, prometheus::Counter *> &known,
                                Metrics &metrics, const char *name, const char *help,
                                const char *label, const std::string &value)
{
    prometheus::Counter *&counter = known[value];
    if (!counter)
        counter = &metrics.counter(name, help, {{label, value}});
    return *counter;
}

} // namespace

GatewayMetrics::GatewayMetrics(Metrics &metrics)
    : firstEventSeconds(metrics.histogram("cicadafork_gateway_first_event_seconds",
                                          "Time from a request's first byte to the first event of "
                                          "its stream",
                                          kBoundsSeconds))
    , answerSeconds(metrics.histogram("cicadafork_gateway_answer_seconds",
                                      "Time from a request's first byte to a whole answer that is "
                                      "no stream",
                                      kBoundsSeconds))
    , waitSeconds(metrics.histogram("cicadafork_gateway_wait_seconds",
                                    "Time that requests waited for an endpoint", kBoundsSeconds))
    , resumes(metrics.counter("cicadafork_gateway_resumes_total",
                              "Streams that went on at another endpoint"))
    , silences(metrics.counter("cicadafork_gateway_silences_total",
                               "Attempts that made no progress for longer than expected"))
    , cancelled(metrics.counter("cicadafork_gateway_cancelled_total",
                                "Requests whose caller left before the answer was complete"))
    , yields(metrics.counter("cicadafork_gateway_yields_total",
                             "Attempts to place a request that left endpoints to requests of "
                             "other daemons, because its workspace is far above its share"))
    , bookings(metrics.counter("cicadafork_gateway_bookings_total",
                               "Large prompts for which endpoints were kept free"))
    , unknownUsage(metrics.counter("cicadafork_gateway_usage_unknown_total",
                                   "Jobs that were not counted for their workspace, because their "
                                   "endpoint was not known"))
    , quietEndpoints(metrics.counter("cicadafork_gateway_endpoint_quiet_total",
                                     "Refusals with which an endpoint asked for some time without "
                                     "requests"))
    , coldEndpoints(metrics.gauge("cicadafork_gateway_cold_endpoints",
                                  "Endpoints with a limit because they are cold"))
    , coldTimes(metrics.counter("cicadafork_gateway_endpoint_cold_total",
                                "Times that an endpoint became cold and got a limit"))
    , storeEras(metrics.counter("cicadafork_gateway_store_eras_total",
                                "Times that the store came back from an older copy"))
    , evacuatedDomains(metrics.gauge("cicadafork_gateway_evacuated_failure_domains",
                                     "Failure domains whose endpoints get no new requests because "
                                     "the operators have evacuated them"))
    , endpointCrashes(metrics.counter("cicadafork_gateway_endpoint_crashes_total",
                                      "Endpoints that crashed with requests of this daemon"))
    , blockedParts(metrics.gauge("cicadafork_gateway_blocked_parts",
                                 "Requests and parts of prompts that are refused because "
                                 "endpoints crash on them"))
    , servicesOutOfReach(metrics.gauge("cicadafork_gateway_services_out_of_reach",
                                       "Services to whose endpoints this daemon cannot connect"))
    , prefixHits(metrics.counter("cicadafork_gateway_prefix_hits_total",
                                 "First events from endpoints that had prefilled a prefix of the "
                                 "prompt for this daemon"))
    , prefixTokensSaved(metrics.counter("cicadafork_gateway_prefix_tokens_saved_total",
                                        "Prompt tokens that such endpoints had not to prefill "
                                        "again, by estimate"))
    , regionRefusals(metrics.counter("cicadafork_gateway_region_refusals_total",
                                     "Requests for which no allowed region had an endpoint in "
                                     "service"))
    , bodyBytes(metrics.gauge("cicadafork_gateway_body_bytes",
                              "Bytes that the large bodies of requests take"))
    , answerBytes(metrics.gauge("cicadafork_gateway_answer_bytes",
                                "Bytes of answers that wait for their end or for their callers"))
    , answersGivenUp(metrics.gauge("cicadafork_gateway_answers_given_up",
                                   "Answers that were given up for lack of room"))
    , metrics_(metrics)
{
}

prometheus::Counter &GatewayMetrics::outcome(const std::string &name)
{
    return counterFor(outcomes_, metrics_, "cicadafork_gateway_requests_total",
                      "Requests by how they ended", "outcome", name);
}

prometheus::Counter &GatewayMetrics::attemptFailure(const std::string &reason)
{
    return counterFor(failures_, metrics_, "cicadafork_gateway_attempt_failures_total",
                      "Failed attempts at endpoints", "reason", reason);
}

prometheus::Counter &GatewayMetrics::connectionEnd(const std::string &reason)
{
    return counterFor(connectionEnds_, metrics_,
                      "cicadafork_gateway_caller_connections_ended_total",
                      "Callers' connections by why they ended", "reason", reason);
}

prometheus::Counter &GatewayMetrics::leavingEndpoints(const std::string &source)
{
    return counterFor(leaving_, metrics_, "cicadafork_gateway_endpoints_leaving_total",
                      "Endpoints that leave, by where this daemon learned it", "source", source);
}

prometheus::Counter &GatewayMetrics::handovers(const std::string &direction)
{
    return counterFor(handovers_, metrics_, "cicadafork_gateway_handovers_total",
                      "Requests that were handed over to a peer, or by one", "direction",
                      direction);
}

} // namespace cicadafork::gateway
