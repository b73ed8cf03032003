#include "gateway/storeera.h"

#include "base/log.h"

#include <string>
#include <utility>

namespace cicadafork::gateway {

EraVerdict StoreEra::note(std::optional<std::uint64_t> era)
{
    const std::uint64_t answered = era.value_or(known_);
    if (answered < known_)
        return EraVerdict::Late;
    const bool newer = answered > known_ && seen_;
    known_ = answered;
    seen_ = true;
    return newer ? EraVerdict::Newer : EraVerdict::Current;
}

std::optional<std::uint64_t> StoreEra::noteFromPeer(std::uint64_t era)
{
    if (era <= known_)
        return std::nullopt;
    const std::uint64_t before = known_;
    return note(era) == EraVerdict::Newer ? std::optional(before) : std::nullopt;
}

StoreCalls checkEra(StoreCalls calls, StoreEra &era,
                    std::function<void(std::uint64_t before)> changed)
{
    // Returns the failure that the caller gets to see.
    const auto judge = [&era, changed = std::move(changed)](StoreFailure failure,
                                                            std::optional<std::uint64_t> answered) {
        // A call without an answer says nothing of the era.
        if (failure == StoreFailure::NoAnswer && !answered)
            return failure;
        const std::uint64_t before = era.known();
        switch (era.note(answered)) {
        case EraVerdict::Current:
            return failure;
        case EraVerdict::Newer:
            changed(before);
            return failure;
        case EraVerdict::Late:
            break;
        }
        logEvent(LogLevel::Warning, "store_answer_late",
                 {{"era", std::to_string(*answered)}, {"known", std::to_string(before)}});
        return StoreFailure::NoAnswer;
    };
    const auto checkPage = [&era, judge](StoreCalls::PageCallback done) {
        return [&era, judge, done = std::move(done)](StoreFailure failure, StorePage page) {
            const StoreFailure judged = judge(failure, page.era);
            page.era = era.known();
            done(judged, judged == failure ? std::move(page) : StorePage{});
        };
    };
    StoreCalls checked;
    checked.newest = [newest = std::move(calls.newest),
                      checkPage](const std::string &topic, const std::string &afterKey,
                                 Millis timeout, StoreCalls::PageCallback done) {
        newest(topic, afterKey, timeout, checkPage(std::move(done)));
    };
    checked.read = [read = std::move(calls.read),
                    checkPage](const std::string &topic, std::uint64_t from, Millis wait,
                               Millis timeout, StoreCalls::PageCallback done) {
        read(topic, from, wait, timeout, checkPage(std::move(done)));
    };
    checked.put = [put = std::move(calls.put),
                   judge](const std::string &topic, const std::string &key,
                          const std::string &value, Millis timeout, StoreCalls::PutCallback done) {
        put(topic, key, value, timeout,
            [judge, done = std::move(done)](StoreFailure failure,
                                            std::optional<std::uint64_t> answered) {
                done(judge(failure, answered), answered);
            });
    };
    return checked;
}

} // namespace cicadafork::gateway
