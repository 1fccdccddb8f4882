// Package claim provides at-most-once outcomes for keyed requests. It also
// keeps the recorded responses of idempotent keyed calls and the stored
// replies. Its state is the fold of one log stream.
//
// # Rows
//
// A row belongs to one idempotency key of one workspace. It is free, held by
// one attempt, released, complete or unknown. An attempt id is never reused
// and identifies one dispatch to one incarnation of one sidecar.
//
//   - The first Claim in log order holds the row. A claim is valid only after
//     its writer has applied it and every record before it.
//   - A Release by the attempt that holds the row makes it available again. It
//     carries the proof that the attempt was not run and never will be.
//   - An Outcome by the attempt that holds the row ends it. No later Claim or
//     Release changes an ended row.
//   - An unknown outcome ends the row for dispatch: the request is never sent
//     again. If a complete Outcome of the same attempt is applied afterwards,
//     its response becomes readable, because it states what happened; a caller
//     that received "unknown" before received the correct state of that time.
//     In the opposite order nothing changes: an unknown Outcome after a complete
//     one is ignored.
//
// # Proofs
//
// A release requires one of three proofs: the named incarnation refused the
// attempt without starting it (ProofRefused), it promised never to start it
// (ProofVetoed), or the entry instance that made the claim has not sent the
// attempt and never will (ProofNeverSent). A refusal by the successor of the
// named incarnation is not a proof, because the predecessor may have started
// another copy of the same message.
//
// If the named incarnation no longer exists, the row cannot be released. Its
// successor refuses attempts addressed to it, so the attempt can no longer
// start, but no process can determine whether it had started. Only the entry
// instance that made the claim may still release the row, with ProofNeverSent.
// Every other process must record an unknown outcome. An unreachable incarnation
// is treated the same way when Resolve times out.
//
// # Versions
//
// The version of a row is the position of the record that made its last
// transition. A claim carries the version of the row that it is based on, and a
// release or an outcome the version of its claim. A record has no effect unless
// the row still has that version. A record that was sent twice or that takes
// effect late therefore has no effect either, even where the commit log no
// longer recognises it as a duplicate.
//
// # Retention
//
// Rows and replies are renewed (Renewal) before the log drops the record that
// retains them, until the declared result retention ends; then a Retire record
// removes them. A row is retained by the record that created it or by its newest
// accepted renewal. A transition alone does not retain a row, because a reader
// that starts after the row's creation cannot evaluate the transition.
//
// A renewal and a Retire carry the offset up to which their writer had applied
// the stream (Seen). They are accepted only if no record from that offset on
// names the row, so a renewer that was paused never overrides newer state. A
// reader that starts late may evaluate records wrongly until it has applied the
// accepted renewal of the row, which replaces the reader's state of the row;
// after it has caught up, it agrees with every other reader. A retired row is
// remembered until the log has dropped its Retire record. The scheme assumes
// that no renewal takes effect later than the log's retention after it was made.
package claim
