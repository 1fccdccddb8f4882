// Package claim gives keyed requests an at-most-once outcome, and keeps the
// recorded answers of idempotent keyed calls and the stored replies, as a fold
// of one log stream.
//
// # Rows
//
// A row belongs to one idempotency key of one workspace. It is free, held by
// one attempt, released, complete or unknown. An attempt id is unique for ever
// and names one dispatch to one incarnation of one sidecar.
//
//   - The first Claim in log order holds the row. A claim counts only once its
//     writer has folded it, with everything before it.
//   - A Release by the attempt that holds the row opens it again. It carries
//     the proof that the attempt was not run and never will be.
//   - An Outcome by the attempt that holds the row ends it. No later Claim or
//     Release changes an ended row.
//   - An unknown outcome ends the row for dispatch: the request is never sent
//     again. If the same attempt's complete Outcome is folded afterwards, its
//     answer becomes readable, because it is what happened; whoever was told
//     "unknown" was told the truth at that time. The opposite order changes
//     nothing: an unknown Outcome after a complete one is ignored.
//
// # Proofs
//
// A release needs one of three proofs: the named incarnation refused the
// attempt without starting it (ProofRefused), it promised never to start it
// (ProofVetoed), or the entry that made the claim has not sent it and never
// will (ProofNeverSent). A refusal by the successor of the named incarnation
// proves nothing: another copy of the same message may have been started by
// the predecessor.
//
// A vanished incarnation allows no release. Its successor refuses attempts
// addressed to it, so the attempt can't start any more, but nobody is left who
// knows whether it had started. Only the claiming entry itself may still
// release, with ProofNeverSent. Everyone else must record an unknown outcome.
// An incarnation that can't be reached is treated the same way once the caller
// of Resolve gives up.
//
// # Versions
//
// The version of a row is the position of the record that made its last
// transition. A claim names the version of the row that it is based on, and a
// release or an outcome the version of its claim; it changes nothing unless
// the row still has that version. A record that was sent twice or that takes
// effect late therefore changes nothing either, even where the commit log no
// longer recognises it as a duplicate.
//
// # Retention
//
// Rows and replies are restated (Renewal) before the log drops the record that
// they are kept by, until the declared result retention ends; then a Retire
// record removes them. A row is kept by the record that created it or by its
// newest accepted renewal; a transition alone does not keep a row, because a
// reader that starts behind the row's creation can't judge it.
//
// A renewal and a Retire name the offset up to which their writer had folded
// the stream (Seen). They are accepted only if no record from there on names
// the row, so that a renewer that was frozen never overrides anything newer. A
// reader that starts late may judge records wrongly until it has folded the
// accepted renewal of the row, which replaces whatever it held; once caught up
// it agrees with every other reader. A retired row is remembered until the log
// has dropped its Retire record. The scheme assumes that no renewal takes
// effect later than the log's retention after it was made.
package claim
