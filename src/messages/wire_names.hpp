/// The strings of the gateway's internal protocol that are not what a reader of the code would call the
/// thing.
///
/// Every string here is read by processes of the previous version while an update rolls through the machines,
/// and pinned by tests/integration/previous_version.cpp: none may change. New code uses the constants, never
/// the strings. docs/design/messages.md lists the messages and their fields.
#pragma once

namespace lichenlanding::messages {

// ---- Fields that any message may carry. ----

inline constexpr char kFieldType[] = "t";          // the message type; previous versions dispatch on it
inline constexpr char kFieldConfirmed[] = "sure";  // speaks for a majority; absent means true to all versions
inline constexpr char kFieldClock[] = "clock";  // the control node's steady time in ms; read by all versions

// ---- Message types: values of kFieldType. ----

inline constexpr char kTypeHello[] = "hello";    // first on each connection, also to older versions
inline constexpr char kTypeRoster[] = "roster";  // older control nodes send it
inline constexpr char kTypeDigest[] = "digest";  // compared between versions during an update
inline constexpr char kTypeFetch[] = "want";     // older proxies ask with it
inline constexpr char kTypeConfiguration[] = "configuration";  // older proxies take it
inline constexpr char kTypeRollouts[] = "rollouts";            // older proxies take it
inline constexpr char kTypeEndpoints[] = "pods";               // older proxies take it
inline constexpr char kTypeAcknowledgement[] = "ack";          // older control nodes count it
inline constexpr char kTypePeerLost[] = "lost";                // older control nodes count it
inline constexpr char kTypeCounts[] = "counts";                // older voters add it up
inline constexpr char kTypeVote[] = "vote";                    // older control nodes count it

// ---- Who speaks: values of a hello's `kind`. ----

inline constexpr char kWireKindProxy[] = "foyer";           // older processes tell proxies by it
inline constexpr char kWireKindControlNode[] = "prompter";  // older processes tell control nodes by it

// ---- Fields by message. Each stays since both versions read and write it during an update. ----

inline constexpr char kFieldKind[] = "kind";         // hello: kWireKindProxy or kWireKindControlNode
inline constexpr char kFieldName[] = "name";         // hello, lost: the node name
inline constexpr char kFieldAddress[] = "at";        // hello: where the sender's peers reach it
inline constexpr char kFieldIncarnation[] = "life";  // hello, counts: drawn at each start of a process
inline constexpr char kFieldMembers[] = "members";   // hello of a control node: addresses of control nodes
inline constexpr char kFieldProxies[] = "foyers";    // roster: address by name
inline constexpr char kFieldConfiguration[] = "configuration";  // digest, want, ack: its version
inline constexpr char kFieldRollouts[] = "rollouts";            // digest: their number; want: they are wanted
inline constexpr char kFieldListVersion[] = "edition";          // digest, pods: EndpointListVersion
inline constexpr char kFieldRangeHashes[] = "sums";             // digest: one hash a range of endpoint ids
inline constexpr char kFieldIsReply[] = "back";                 // digest: answers one, and is not answered
inline constexpr char kFieldHeldIds[] = "held";                 // want: ids that the asker has, by range
inline constexpr char kFieldWantedVersion[] = "of";       // want: the list version that `held` is set against
inline constexpr char kFieldVersion[] = "version";        // configuration: its version
inline constexpr char kFieldCompressed[] = "squeezed";    // configuration: compressed bytes
inline constexpr char kFieldNumber[] = "number";          // rollouts, counts: the higher is the newer
inline constexpr char kFieldRolloutList[] = "list";       // rollouts: JSON as text, as the register has it
inline constexpr char kFieldBaseVersion[] = "after";      // pods: the list version that the change follows
inline constexpr char kFieldEndpoints[] = "set";          // pods: endpoints that are there
inline constexpr char kFieldRemoved[] = "gone";           // pods: ids that were seen to go
inline constexpr char kFieldSuspect[] = "aside";          // pods: ids that this list version does not know
inline constexpr char kFieldFrom[] = "from";              // counts, vote: the sender's node name
inline constexpr char kFieldRolloutKey[] = "rollout";     // counts: service and target, by a line feed
inline constexpr char kFieldTotals[] = "totals";          // counts: verdict::Totals
inline constexpr char kFieldService[] = "service";        // vote
inline constexpr char kFieldTarget[] = "target";          // vote
inline constexpr char kFieldStage[] = "stage";            // vote
inline constexpr char kFieldVerdict[] = "verdict";        // vote: the number of a lichenlanding::Verdict
inline constexpr char kFieldCanaryCount[] = "fresh";      // vote: outcomes of the new version
inline constexpr char kFieldBaselineCount[] = "earlier";  // vote: outcomes of the version before it
inline constexpr char kFieldCanaryFailures[] = "bad";     // vote: failed outcomes of the new version
inline constexpr char kFieldLowerBound[] = "lower";       // vote
inline constexpr char kFieldUpperBound[] = "upper";       // vote

}  // namespace lichenlanding::messages
