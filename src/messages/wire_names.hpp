/// Names in the gateway's internal protocol. Many of them differ from the names used in the code.
///
/// During a rolling update these strings are exchanged with processes of the previous version, and
/// tests/integration/previous_version.cpp pins them: none may change. Code uses the constants instead of the
/// strings. docs/design/messages.md describes the messages and their fields.
#pragma once

namespace lichenlanding::messages {

// ---- Fields of any message ----

inline constexpr char kFieldType[] = "t";          // the message type
inline constexpr char kFieldConfirmed[] = "sure";  // the sender reaches a majority; absent means true
inline constexpr char kFieldClock[] = "clock";     // the control node's steady clock, in milliseconds

// ---- Message types: values of kFieldType. Processes of the previous version handle each. ----

inline constexpr char kTypeHello[] = "hello";
inline constexpr char kTypeRoster[] = "roster";
inline constexpr char kTypeDigest[] = "digest";
inline constexpr char kTypeFetch[] = "want";
inline constexpr char kTypeConfiguration[] = "configuration";
inline constexpr char kTypeRollouts[] = "rollouts";
inline constexpr char kTypeEndpoints[] = "pods";
inline constexpr char kTypeAcknowledgement[] = "ack";
inline constexpr char kTypePeerLost[] = "lost";
inline constexpr char kTypeCounts[] = "counts";
inline constexpr char kTypeVote[] = "vote";

// ---- Kinds of process: values of a hello's kFieldKind ----

inline constexpr char kWireKindProxy[] = "foyer";
inline constexpr char kWireKindControlNode[] = "prompter";

// ---- Fields by message type ----

inline constexpr char kFieldKind[] = "kind";         // hello: kWireKindProxy or kWireKindControlNode
inline constexpr char kFieldName[] = "name";         // hello, lost: the node name
inline constexpr char kFieldAddress[] = "at";        // hello: address at which peers connect to the sender
inline constexpr char kFieldIncarnation[] = "life";  // hello, counts: random, new at each process start
inline constexpr char kFieldMembers[] = "members";   // hello of a control node: addresses of control nodes
inline constexpr char kFieldProxies[] = "foyers";    // roster: addresses by node name
inline constexpr char kFieldConfiguration[] = "configuration";  // digest, want, ack: configuration version
inline constexpr char kFieldRollouts[] = "rollouts";  // digest: the newest number; want: present if requested
inline constexpr char kFieldListVersion[] = "edition";  // digest, pods: EndpointListVersion
inline constexpr char kFieldRangeHashes[] = "sums";     // digest: one hash per range of endpoint ids
inline constexpr char kFieldIsReply[] = "back";         // digest: true in a reply, which gets no reply itself
inline constexpr char kFieldHeldIds[] = "held";         // want: endpoint ids that the sender has, by range
inline constexpr char kFieldWantedVersion[] = "of";  // want: the list version to compare kFieldHeldIds with
inline constexpr char kFieldVersion[] = "version";   // configuration: configuration version
inline constexpr char kFieldCompressed[] = "squeezed";  // configuration: compressed configuration
inline constexpr char kFieldNumber[] = "number";        // rollouts, counts: the highest number is the newest
inline constexpr char kFieldRolloutList[] = "list";     // rollouts: JSON text, as in the register
inline constexpr char kFieldBaseVersion[] = "after";    // pods: list version that the change applies to
inline constexpr char kFieldEndpoints[] = "set";        // pods: added or changed endpoints
inline constexpr char kFieldRemoved[] = "gone";         // pods: ids of endpoints that have left
inline constexpr char kFieldSuspect[] = "aside";        // pods: ids missing from this list version
inline constexpr char kFieldFrom[] = "from";            // counts, vote: the sender's node name
inline constexpr char kFieldRolloutKey[] = "rollout";   // counts: service, "\n", target version
inline constexpr char kFieldTotals[] = "totals";        // counts: verdict::Totals
inline constexpr char kFieldService[] = "service";      // vote
inline constexpr char kFieldTarget[] = "target";        // vote
inline constexpr char kFieldStage[] = "stage";          // vote
inline constexpr char kFieldVerdict[] = "verdict";      // vote: numeric value of a lichenlanding::Verdict
inline constexpr char kFieldCanaryCount[] = "fresh";    // vote: number of outcomes of the new version
inline constexpr char kFieldBaselineCount[] = "earlier";  // vote: number of outcomes of the current version
inline constexpr char kFieldCanaryFailures[] = "bad";  // vote: number of failed outcomes of the new version
inline constexpr char kFieldLowerBound[] = "lower";    // vote
inline constexpr char kFieldUpperBound[] = "upper";    // vote

}  // namespace lichenlanding::messages
