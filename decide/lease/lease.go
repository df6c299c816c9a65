// Package lease decides which node may use which fraction of each destination's limit, and until when. It does no I/O,
// reads no clock and starts no goroutines: times are parameters, and no type is safe for concurrent use. A [Grantor]
// runs in the control process, and a [Holder] in each process of a node. One session lease of a node covers all of its
// assignments, so that the cost of a renewal does not depend on the number of assignments.
//
// Start reading at [Grantor.Receive] and [Grantor.Answer], then [Holder.Renew] and [Holder.Receive]. Grantor.rebalance
// divides a limit among the sessions.
//
// # Invariant
//
// At any real time, for each destination, the sum of the quotas that holders may use is at most 1. A holder may use a
// quota while [Holder.Quota] returns it by the holder's own clock.
//
// # Proof
//
// For each holder of a destination a grantor stores a reservation: the largest quota that the holder may use. Raising a
// quota uses only available quota: the full limit less all reservations (allocation.available). The only other step that
// raises a reservation is a reclaim after a restart. Reclaimed quotas were reserved by the earlier incarnation, so their
// sum is at most 1. So the sum of the reservations is at most 1, and it suffices that no holder uses more than its
// reservation. A reservation falls in three ways:
//
//  1. A lowered quota is confirmed. A reply names the version to which it brings the holder's assignments. The holder
//     applies that version before it names it in a request. It applies only replies to its latest request, and
//     only if they contain all assignments or their changes start at its own version. So its version never decreases
//     within a session, and a holder that names a version uses no quota of an earlier one.
//  2. The holder releases the destination up to an epoch. It does not use a grant up to that epoch again, and a
//     release counts only if it names the epoch of the latest grant: the epoch is a fencing token. A delayed or
//     duplicate release that arrives after a later grant has no effect.
//  3. The session has expired. The holder's lease counts from when it sent the request. The grantor's wait counts from
//     when it answered, which is later, and lasts Duration/(1-MaxDrift) plus Slack by the grantor's clock. By then the
//     holder's clock, which shows at least (1-MaxDrift) of that time, has passed the end of the lease. The grantor sends
//     the session no reply after that. A session that its own process closes (Closing) or that a later process
//     replaces (Replaces) belongs to a process that no longer uses any quota.
//
// The amount by which a reservation falls becomes available only after Config.Window, the time over which a destination
// counts its limit. So the sum over all holders of the largest quota that each could use within a window is at most 1
// too.
//
// Loss, delay and duplication: a reply counts at a holder only if it answers the latest request, and its lease counts
// from the time at which that request was sent, however late the reply arrives. A pause of a holder does not stop its
// clock.
//
// Clocks: a holder's time comes from a monotonic clock. A step forward ends the lease earlier. If a holder observes a
// step back, it ends the lease and drops the pending request, whose sending time is no longer meaningful. The clock
// of internal/control does not go back when the machine's clock is set, and does not stop while the machine is
// suspended. If a grantor's clock is stopped, the grantor waits longer.
//
// Restarts: each control process has a higher [Incarnation] than all before it. A new grantor begins with a grace
// period as an NFS server does: until the longest lease of earlier incarnations has expired ([Grantor.GraceEnd]) it
// grants only quotas that nodes reclaim. The invariant is then kept if earlier incarnations answer no request once the new
// one has begun. Three mechanisms ensure this:
//
//   - The lock of a state folder, for processes that share the folder: a process does not begin before it has the lock,
//     and the kernel releases the lock only when the older process ends, even if that process was paused.
//   - A holder that has received a reply of the newer incarnation rejects each reply of the older one.
//   - A grantor to which any node names a newer incarnation no longer answers any node ([ErrSuperseded]).
//
// A holder that has received no reply of the newer incarnation is protected by the grace period only. That does not
// protect against two running control processes with two state folders (a copied machine) if no node that has a reply of
// the newer one sends a request to the older one. Protection in that case requires a quorum (decide/leadership).
//
// # Quotas
//
// Owners share a limit equally. A holder that only finishes its accepted messages gets half the quota of an owner. Each
// change of a destination's holders takes these steps: lower quotas, wait for confirmations, grant the available quota.
package lease
