// Package leadership decides which control machine grants leases to the nodes of a region: the region's leader. It does
// no I/O, reads no clock and starts no goroutines: times are parameters, and no type is safe for concurrent use.
//
// The control machines agree on a replicated log by a quorum of all of them (see internal/consensus). A [State] is the
// part of the log's state that concerns members and leaders. It is the same at all members that have applied the same
// entries. To lead its region a member proposes a [Candidacy], and it renews its leadership with a [Renewal]. Each member
// has an [Elector], which decides what to propose, and whether the member may grant leases now.
//
// A region may lose the quorum and continue: its leader then requests the votes of all other members of the region, and
// each voter promises not to propose a candidacy for a time. A leader without other members in its region needs no vote:
// it continues indefinitely, until the log has another leader.
//
// Start reading at [Elector.Leading], [Elector.Propose] and [Elector.Vote]; Elector.mayProposeCandidacy contains the rule
// for a successor.
//
// # Invariant
//
// In a region at most one process may grant leases at any time:
//
//   - By its own clock, a leader grants leases until LeaderLease after it sent a candidacy or a renewal that was
//     committed, or a request that all other members of the region voted for.
//   - While the region has a leader, another member proposes a candidacy no earlier than LeaderLease, lengthened for
//     MaxDrift and Slack, after it applied the latest election or renewal, which is later than the sending; and no
//     earlier than that duration after its latest vote.
//   - A candidacy names the revision that it follows, and is void once the region's revision has changed. So a candidacy
//     that was in flight for long does not replace a leader that has renewed in the meantime.
//   - A leader can't extend its lease by votes while the candidacy of another member is in flight: that member does not
//     vote before its candidacy is void. Candidacies of a member's earlier processes are void once its current process
//     has joined, and the process does not vote before it has joined.
//   - A member that is added later may replace a leader only once a committed renewal of that leader names a
//     MembersVersion that contains the member. So a leader requests votes from all members that may replace it.
package leadership
