#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <core/error.h>

namespace trefoil {

/// The platform's stored record of a request that must run at most once.
struct claim_record
{
    /// Identifies the only attempt that may send the request.
    std::string claimant;
    /// Digest of the request's body, used to detect a key that is reused for another request.
    std::string body;
    /// Whether the answer is known. If so, the next fields hold its status, content type and body.
    bool answered = false;
    int status = 0;
    std::string contentType;
    std::string answer;
    /// Whether the claimant released the claim because its request certainly did not run.
    bool released = false;

    bool operator==(const claim_record &) const = default;
};

/// Serializes a record to the text stored on the platform. Thread-safe.
std::string toText(const claim_record &record);

/// Parses the output of toText(). Returns nothing if it is malformed. Thread-safe.
std::optional<claim_record> claimFromText(std::string_view text);

/// Returns the name of the platform object that holds the claim of idempotency key @p key of
/// @p team. Thread-safe.
std::string claimObjectName(std::string_view team, std::string_view key);

/// Next action for a claim.
enum class claim_step {
    /// Write text() to the object on condition that its version is expectedVersion(), where 0
    /// means that it does not exist.
    Create,
    /// Read the object.
    Read,
    /// The request may be sent, once.
    Send,
    /// The request ran before: return the recorded answer.
    Replay,
    /// Another attempt holds the claim and its answer is not known, or states "not run" although it
    /// may have run: refuse, and report that the request may have run ("unknown").
    RefuseUnknown,
    /// The key was used for another request: refuse, and report that the request did not run
    /// ("not-run").
    RefuseMismatch,
    /// The platform is unavailable: refuse with "not-run". The request was not sent.
    RefuseNotRun
};

/// Claims the right to send a request that is not idempotent, before its first byte is sent. A
/// state machine without I/O, driven by the platform's answers. Not thread-safe.
///
///     claim ownClaim("entry-1/77", bodyDigest); // ownClaim.step() == claim_step::Create
///     ownClaim.onCreated(platform.put(name, ownClaim.text(), 0));
///     if (ownClaim.step() == claim_step::Send) ...
class claim
{
public:
    /// @p claimant must be unique among all attempts of all instances, including past ones.
    claim(std::string claimant, std::string bodyDigest);

    /// Returns what to do next.
    claim_step step() const { return m_step; }
    /// Returns the text of the object to create.
    std::string text() const;
    /// Handles the outcome of the creation: the object's new version or an error of the platform.
    void onCreated(const result<std::uint64_t> &outcome);
    /// Returns the version that the object must have for the creation; 0 if it must not exist.
    std::uint64_t expectedVersion() const { return m_expectedVersion; }
    /// Handles the outcome of the read: the object's text and @p version, or an error of the
    /// platform.
    void onRead(const result<std::string> &outcome, std::uint64_t version);
    /// Returns the object text that releases the claim. Precondition: the request certainly did not
    /// run.
    std::string releasedText() const;
    /// Returns the record that was read, which holds the recorded answer. Precondition: step() is
    /// Replay.
    const claim_record &storedRecord() const { return m_storedRecord; }

private:
    claim_record m_ownRecord;
    claim_record m_storedRecord;
    claim_step m_step = claim_step::Create;
    int m_reads = 0;
    std::uint64_t m_expectedVersion = 0;
};

} // namespace trefoil
