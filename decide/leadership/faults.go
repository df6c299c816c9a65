package leadership

// faults are defects that tests inject into a State and an Elector, to show that the model checker finds them. The zero
// value injects none.
type faults struct {
	acceptStaleJoin        bool // a process joins although another process has joined in the meantime
	acceptEarlierProcesses bool // candidacies of earlier processes take effect
	electUnknownMembers    bool // members that are not in the leader's MembersVersion may be elected
	skipCandidacyWait      bool // a candidacy does not wait for the end of the leader's lease
	countLeaseFromApply    bool // a leader's lease counts from when its election or renewal is applied
	voteDuringCandidacy    bool // a member votes while its own candidacy is in flight
	ignoreVotePromise      bool // a vote does not delay the voter's candidacy
}
