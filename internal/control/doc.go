// Package control assigns destinations to delivery nodes under leases. It has three parts:
//
//   - A [Server] assigns the destinations of a cluster spec to the nodes of one region, and grants the nodes leases
//     (decide/lease) by answering their polls over HTTP. It runs standalone, or inside the Member that leads the region.
//   - A [Member] is one control machine of a quorum. The members replicate a log (internal/consensus) and elect a
//     leader for each region (decide/leadership); the leader of a region runs a Server.
//   - An [Agent] is the node's side: it polls, maintains the node's lease, and applies changed assignments.
//
// # Concurrency
//
// Each part is driven by its Run method, which starts further goroutines, and accepts calls from any goroutine. A mutex
// guards the modules without locks of their own (lease.Grantor, lease.Holder, leadership.Elector). It is not held
// during network I/O; a Server writes its state file while holding it (Server.Drain, Server.endGrace), at most once per
// change. Server.mu is locked before Member.mu. A Member's view of the replicated state belongs to its Run goroutine;
// other goroutines use the latest view, which is immutable.
//
// # External names
//
// Some paths, JSON fields and codes have older names than the code. The constants and struct tags of messages.go,
// commands.go, state_machine.go and the status files are the only place that maps them; docs/GLOSSARY.md explains the
// older names. Some error texts also use the older names; programs should match the codes, not the texts.
//
// # Files
//
//	messages.go        paths and bodies of HTTP requests and responses
//	agent.go           the agent; agent_poll.go its polls; client.go its HTTP client; owner_cache.go its cache of owners
//	server.go          the server; server_sessions.go polls, server_placement.go owners, server_spec.go changes by
//	                   operators, server_http.go, server_status.go, server_state.go
//	member.go          the member; member_role.go follower and leader, member_changes.go changes by operators,
//	                   member_http.go, member_votes.go, member_status.go
//	state_machine.go   the replicated state; commands.go its commands
//	clock.go           a clock that includes suspended time; statefile.go locked files; listener.go a bounded listener
//
// Start reading at [Server.Run], [Agent.Run] and [Member.Run].
package control
