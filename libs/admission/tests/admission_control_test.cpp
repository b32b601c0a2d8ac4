#include <admission/admission_control.h>
#include <admission/usual_deadlines.h>

#include <set>

#include <gtest/gtest.h>

namespace trefoil {

namespace {

using namespace std::chrono_literals;
using kind = admission_decision::kind;

/// A request for an engine whose queue is 100 ms long.
admission_request makeRequest()
{
    return {.target = 500ms,
            .timeLeft = 5s,
            .team = 1,
            .uncachedTokens = 800,
            .memoryTokens = 1000,
            .expected = 160ms,
            .queue = 100ms};
}

service_state busyEngines()
{
    return {.isKnown = true,
            .servers = 10,
            .slots = 1280,
            .running = 300,
            .pendingTokens = 36000,
            .tokensPerMs = 36,
            .memoryUsed = 800000,
            .memoryUsable = 1000000,
            .maxWaitingHere = 10};
}

service_state busyPlainServers()
{
    return {.isKnown = true,
            .servers = 5,
            .slots = 30,
            .running = 60,
            .callTime = 40ms,
            .maxWaitingHere = 10};
}

} // namespace

TEST(AdmissionControl, FirstEventAfterTheDeadlineIsRefusedAtOnce)
{
    admission_control control(1);
    admission_request request = makeRequest();
    request.timeLeft = 190ms;
    for (service_state state : {busyEngines(), service_state {}}) {
        const admission_decision decision = control.decide({}, request, state);
        EXPECT_EQ(decision.what, kind::Refuse);
        EXPECT_EQ(decision.reason, admission_reason::Deadline);
    }
}

TEST(AdmissionControl, LateRequestIsAdmittedWhileHalfOfThePlacesAreFreeAndNothingWaits)
{
    admission_control control(1);
    service_state state = busyEngines();
    state.memoryUsed = 490000;
    admission_request request = makeRequest();
    request.queue = 40ms;
    // Its own prompt takes longer than its target.
    request.expected = 900ms;
    for (int i = 0; i < 200; ++i)
        EXPECT_EQ(control.decide({}, request, state).reason, admission_reason::Free);
}

// The load that others put on the servers is missing or old: only the deadline counts, as before.
TEST(AdmissionControl, UnknownLoadIsNoReasonToRefuse)
{
    admission_control control(1);
    admission_request request = makeRequest();
    request.queue = 3s;
    request.expected = 3100ms;
    request.fits = false;
    service_state state = busyEngines();
    state.isKnown = false;
    EXPECT_EQ(control.decide({}, request, state).reason, admission_reason::Unknown);
    state.isKnown = true;
    EXPECT_EQ(control.decide({}, request, state).what, kind::Refuse);
}

TEST(AdmissionControl, RequestWaitsForMemoryWithinItsTargetAndIsThenRefused)
{
    admission_control control(1);
    admission_request request = makeRequest();
    request.fits = false;
    timestamp now {};
    admission_decision decision = control.decide(now, request, busyEngines());
    while (decision.what == kind::Wait) {
        ASSERT_GT(decision.time, duration {});
        now += decision.time;
        request.waited += decision.time;
        decision = control.decide(now, request, busyEngines());
    }
    EXPECT_EQ(decision.reason, admission_reason::Full);
    EXPECT_GT(request.waited, 300ms);
    EXPECT_LT(request.waited, 500ms);
    // Once there is room, a request that has waited is sent.
    request.waited = 100ms;
    request.fits = true;
    EXPECT_EQ(control.decide(now, request, busyEngines()).what, kind::Admit);
}

// Requests that wait hold a thread each.
TEST(AdmissionControl, NumberOfWaitingRequestsIsBounded)
{
    admission_control control(1);
    for (service_state state : {busyEngines(), busyPlainServers()}) {
        state.waitingHere = state.maxWaitingHere;
        admission_request request = makeRequest();
        request.fits = false;
        EXPECT_EQ(control.decide({}, request, state).reason, admission_reason::Waiting);
        // One that waits already may go on.
        request.waited = 10ms;
        EXPECT_EQ(control.decide({}, request, state).what, kind::Wait);
    }
}

// Each request that a full server rejects costs a retry.
TEST(AdmissionControl, RequestWaitsForASlotOfAPlainServerWithinItsTarget)
{
    admission_control control(1);
    admission_request request = makeRequest();
    request.target = 300ms;
    request.queue = 350ms;
    request.expected = 400ms;
    EXPECT_EQ(control.decide({}, request, busyPlainServers()).what, kind::Wait);
    request.waited = 280ms;
    EXPECT_EQ(control.decide({}, request, busyPlainServers()).what, kind::Refuse);
    request.waited = {};
    request.queue = 80ms;
    request.expected = 120ms;
    EXPECT_EQ(control.decide({}, request, busyPlainServers()).what, kind::Admit);
}

TEST(AdmissionControl, RetryAfterIsSpreadAndAtMostAThirdOfTheTimeLeft)
{
    for (const auto &[left, backlogTokens] :
         {std::pair<duration, double> {5s, 400000}, {600ms, 400000}, {15s, 1500000}}) {
        admission_control control(1);
        service_state state = busyEngines();
        state.pendingTokens = backlogTokens;
        admission_request request = makeRequest();
        request.timeLeft = left;
        request.queue = 10s;
        request.expected = 11s;
        std::set<std::int64_t> times;
        for (int i = 0; i < 400; ++i) {
            const duration time = control.decide({}, request, state).time;
            EXPECT_GE(time, 150ms);
            EXPECT_LE(time, std::max<duration>(left / 3, 150ms));
            times.insert(toMilliseconds(time) / 10);
        }
        EXPECT_GT(times.size(), left < 1s ? 4u : 40u);
        EXPECT_GT(*times.rbegin() * 10, left < 1s ? 180 : 1000);
    }
}

TEST(AdmissionControl, CallersThatRetryGoAheadOfFirstAttemptsOfTheirRank)
{
    int admitted[2] = {};
    admission_control control(1);
    for (int i = 0; i < 4000; ++i) {
        admission_request request = makeRequest();
        request.queue = 250ms;
        request.expected = 310ms;
        request.isRetry = i % 2 == 1;
        const admission_decision decision = control.decide({}, request, busyEngines());
        admitted[i % 2] += decision.what == kind::Admit ? 1 : 0;
    }
    EXPECT_GT(admitted[1], admitted[0] * 5 / 4);
    EXPECT_GT(admitted[0], 0);
}

TEST(AdmissionControl, RequestThatWasAdmittedBeforeIsNotRefusedForOthers)
{
    admission_control control(1);
    admission_request request = makeRequest();
    request.queue = 2s;
    request.expected = 2060ms;
    EXPECT_EQ(control.decide({}, request, busyEngines()).what, kind::Refuse);
    request.isContinued = true;
    EXPECT_EQ(control.decide({}, request, busyEngines()).what, kind::Admit);
}

// Engines that compute urgent requests first did not reach the others as long as there were any.
TEST(AdmissionControl, RankThatIsStarvedGetsAShareThatIsSentAsTheMostUrgent)
{
    admission_control control(1);
    int admitted[2] = {};
    int lifted = 0;
    for (int i = 0; i < 8000; ++i) {
        admission_request request = makeRequest();
        request.rank = i % 4 == 3 ? 6 : 0;
        request.queue = 210ms;
        request.expected = 270ms;
        const admission_decision decision =
            control.decide(timestamp {} + i * 2ms, request, busyEngines());
        if (decision.what != kind::Admit)
            continue;
        admitted[request.rank / 6] += 1;
        EXPECT_LE(decision.rank, request.rank);
        lifted += decision.rank < request.rank ? 1 : 0;
    }
    EXPECT_GT(admitted[1] * 3, admitted[0] / 10);
    EXPECT_GT(admitted[0], admitted[1] * 6);
    EXPECT_EQ(lifted, admitted[1]);
}

TEST(UsualDeadlines, ShorterTimeThanUsualTellsARetry)
{
    usual_deadlines deadlines;
    timestamp now {};
    EXPECT_FALSE(deadlines.isRetry(now, "r", 1s));
    deadlines.record(now, "r", 4s);
    EXPECT_FALSE(deadlines.isRetry(now, "r", 3900ms));
    EXPECT_TRUE(deadlines.isRetry(now, "r", 3s));
    EXPECT_FALSE(deadlines.isRetry(now, "other", 3s));
    // A route whose callers state less from some time on.
    for (int second = 0; second < 200; ++second)
        deadlines.record(now += 1s, "r", 2s);
    EXPECT_EQ(deadlines.longest(now, "r"), 2s);
    EXPECT_FALSE(deadlines.isRetry(now + 10min, "r", 1s));
}

} // namespace trefoil
