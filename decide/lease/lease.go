// Package lease decides which node may use what part of each destination's limit, and until when. It does no
// I/O, reads no clock and has no goroutines: times are parameters. The [Grantor] is in the control process, a
// [Holder] in each process of a node. One session lease of a node covers all of its assignments, so that
// a renewal costs the same whatever the node owns.
//
// # Invariant
//
// At any real time, for each destination, the sum of the shares in force over all holders is at most 1. A share
// is in force at a holder while [Holder.Share] returns it by the holder's own clock.
//
// # Proof
//
// A grantor keeps for each holder of a destination what is reserved for it: the most that the holder may have
// in force. Raising a share is the only step that raises what is reserved, and it takes from what is free, the
// whole less all that is reserved (allotment.free); so the sum of what is reserved is at most 1, and it is
// enough that no holder has more in force than is reserved for it. What is reserved falls in three ways:
//
//  1. A lowered share is confirmed. A reply says at which version it leaves the holder's part; the holder has
//     applied that version before it names it in a request, and applies only replies to its latest request, whose
//     changes start at the version that it has. So its versions never go back, and who names a version uses
//     nothing of an earlier one.
//  2. The holder releases the destination up to an epoch. It does not use a grant up to that epoch again, and
//     a release counts only where that epoch is the one of the latest grant. A release that comes late or twice,
//     after a later grant, changes nothing.
//  3. The session has ended. The holder's lease counts from when it sent the request, and the grantor's wait from
//     when it answered, which is later: by its clock Duration/(1-MaxDrift) plus Slack. By then the holder's
//     clock, which shows at least (1-MaxDrift) of that, has passed the end of the lease. No answer is given after
//     that for this session. An end that a process tells itself (Leaving, Replaces) is of a process that
//     uses nothing any more.
//
// What fell is free only when Config.Window has passed, the time that a destination's limit is counted over: so the
// sum over all holders of the most that each had in force within a window is at most 1 too. The tests check that one.
//
// Loss, delay and duplication: a reply counts at a holder only while it is to the latest request, and
// counts from that request's sending, however late it comes. A pause of a holder does not stop its clock.
//
// Clocks: a holder's time comes from a clock that does not go back. A step forward only ends the lease earlier. A
// step back that a holder sees ends the lease, and with it the request under way, whose time of sending means
// nothing any more; the agent's clock (internal/control) is one that no step of the machine's clocks takes
// back or holds up. A grantor's clock that is held up makes it wait longer.
//
// Grantors: each life of a control process is a higher [Incarnation]. A new one grants nothing at all until
// the longest lease of the lives before has surely ended, counted from its beginning (Ready); until then it takes
// what nodes claim as granted. So the invariant holds if the lives before answer no request after the new one
// has begun. What makes it so:
//
//   - On one state folder the lock of that folder: the kernel holds it for the older process, also while that
//     is paused, and a new one does not begin before the older one has ended.
//   - A holder that heard the newer incarnation refuses each reply of the older one.
//   - A grantor that hears of a newer incarnation from any node answers nobody any more ([ErrSuperseded]).
//
// What protects a holder that has not heard the newer one is the wait alone. It does not protect against
// two control processes with two state folders (a copied machine) which both live, while one of them is not asked by
// any node that has heard the other: that takes a quorum.
//
// # Sharing
//
// Owners share a limit by equal parts; a holder that finishes what it has accepted counts half as much as an
// owner. Each change of a destination's holders goes by steps: lower, confirm, then grant what is free.
package lease
