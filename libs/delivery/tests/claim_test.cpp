#include <delivery/claim.h>

#include <gtest/gtest.h>

namespace trefoil {

TEST(Claim, SendsAfterCreation)
{
    claim ownClaim("a/1", "body");
    EXPECT_EQ(ownClaim.step(), claim_step::Create);
    ownClaim.onCreated(std::uint64_t {5});
    EXPECT_EQ(ownClaim.step(), claim_step::Send);
}

TEST(Claim, SendsWhenAnswerOfOwnCreationWasLost)
{
    claim ownClaim("a/1", "body");
    ownClaim.onCreated(failure("unknown-outcome", ""));
    EXPECT_EQ(ownClaim.step(), claim_step::Read);
    ownClaim.onRead(ownClaim.text(), 1);
    EXPECT_EQ(ownClaim.step(), claim_step::Send);
}

TEST(Claim, RefusesOrReplaysRetryThroughAnotherInstance)
{
    claim_record otherRecord {.claimant = "b/9", .body = "body"};
    claim ownClaim("a/1", "body");
    ownClaim.onCreated(failure("conflict", ""));
    ownClaim.onRead(toText(otherRecord), 1);
    EXPECT_EQ(ownClaim.step(), claim_step::RefuseUnknown);

    otherRecord.answered = true;
    otherRecord.status = 201;
    otherRecord.answer = "booked";
    claim secondClaim("a/2", "body");
    secondClaim.onCreated(failure("conflict", ""));
    secondClaim.onRead(toText(otherRecord), 2);
    ASSERT_EQ(secondClaim.step(), claim_step::Replay);
    EXPECT_EQ(secondClaim.storedRecord(), otherRecord);
}

// A repeat was answered with the recorded 503 of a request that ran, and came again under a new
// key. Instances of earlier versions still record such answers.
TEST(Claim, RecordedStatusThatStatesNotRunIsNotReplayed)
{
    for (const int status : {408, 421, 429, 503, 500, 404, 201}) {
        const claim_record record {.claimant = "b/9",
                                   .body = "body",
                                   .answered = true,
                                   .status = status,
                                   .answer = "the ledger is away"};
        claim ownClaim("a/1", "body");
        ownClaim.onCreated(failure("conflict", ""));
        ownClaim.onRead(toText(record), 1);
        const bool isReplayed = status == 500 || status == 404 || status == 201;
        EXPECT_EQ(ownClaim.step(), isReplayed ? claim_step::Replay : claim_step::RefuseUnknown)
            << status;
    }
}

TEST(Claim, RefusesKeyReusedForAnotherRequest)
{
    claim ownClaim("a/1", "body");
    ownClaim.onCreated(failure("conflict", ""));
    ownClaim.onRead(toText({.claimant = "b/9", .body = "different"}), 1);
    EXPECT_EQ(ownClaim.step(), claim_step::RefuseMismatch);
}

TEST(Claim, RefusesWhenPlatformIsUnavailable)
{
    claim unavailableClaim("a/1", "body");
    unavailableClaim.onCreated(failure("unavailable", ""));
    EXPECT_EQ(unavailableClaim.step(), claim_step::RefuseNotRun);

    claim unknownClaim("a/2", "body");
    unknownClaim.onCreated(failure("unknown-outcome", ""));
    for (int i = 0; i < 3; ++i) {
        EXPECT_EQ(unknownClaim.step(), claim_step::Read);
        unknownClaim.onRead(failure("unavailable", ""), 0);
    }
    EXPECT_EQ(unknownClaim.step(), claim_step::RefuseNotRun);
}

TEST(Claim, RecreatesReleasedClaimByConditionalUpdate)
{
    const claim otherClaim("b/9", "body");
    claim ownClaim("a/1", "body");
    ownClaim.onCreated(failure("conflict", ""));
    ownClaim.onRead(otherClaim.releasedText(), 7);
    EXPECT_EQ(ownClaim.step(), claim_step::Create);
    EXPECT_EQ(ownClaim.expectedVersion(), 7u);
    ownClaim.onCreated(failure("conflict", "")); // another retry updated it first
    ownClaim.onRead(toText({.claimant = "c/3", .body = "body"}), 8);
    EXPECT_EQ(ownClaim.step(), claim_step::RefuseUnknown);
}

TEST(Claim, ObjectNamesAreDistinctAndMalformedTextIsRejected)
{
    EXPECT_NE(claimObjectName("a", "k"), claimObjectName("b", "k"));
    EXPECT_NE(claimObjectName("a", "k"), claimObjectName("a", "l"));
    EXPECT_FALSE(claimFromText("{}").has_value());
    EXPECT_FALSE(claimFromText("nonsense").has_value());
}

} // namespace trefoil
