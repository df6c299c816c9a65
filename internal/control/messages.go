package control

import (
	"wingmount/decide/lease"
	"wingmount/decide/placement"
	"wingmount/internal/clusterspec"
)

// HTTP paths of a server. Fields and paths must not change: nodes and control machines of different versions
// interoperate.
const (
	pathRenew   = "/v1/assignment/renew"   // POST: a pollRequest; responds with a pollReply
	pathOwners  = "/v1/assignment/owners"  // GET ?destination=NUMBER or NAME: an Owners
	pathState   = "/v1/assignment/state"   // GET: a State
	pathExplain = "/v1/assignment/explain" // GET ?destination=NUMBER or NAME: an Explanation
	pathDrain   = "/v1/assignment/drain"   // POST ?node=NAME&draining=BOOL
	pathReload  = "/v1/assignment/reload"  // POST: reads the spec file again
)

// HTTP paths of a member, in addition to those of a server.
const (
	pathVote   = "/v1/quorum/consent" // POST: a leadership.VoteRequest; responds with a voteReply
	pathQuorum = "/v1/quorum/state"   // GET: a QuorumState
	pathAdd    = "/v1/quorum/add"     // POST ?member=ID&region=NAME&address=HOST:PORT
	pathRemove = "/v1/quorum/remove"  // POST ?member=ID: a member that has stopped permanently
	pathSpec   = "/v1/quorum/world"   // POST: a clusterspec.Delta as JSON, or a complete spec file: see serveSpec
)

// Codes of error responses.
const (
	codeMalformed  = "malformed"
	codeUnknown    = "unknown_node"
	codeSuperseded = "superseded"
	codeStale      = "stale"
	codeFull       = "full"
	codeNoConfigs  = "no_records"
	codeNotLeader  = "not_holder"
	codeConflict   = "conflict"
	codeNoQuorum   = "no_quorum"
	codeFailed     = "failed"
)

// failure is the body of an error response, whose status is neither 200 nor 204.
type failure struct {
	Code  string `json:"code"`
	Error string `json:"error"`
	// Leader is the address of the region's leader, empty if unknown or if this control machine is the leader. The wire
	// name "holder" means the leader here; a lease.Holder is a node.
	Leader string `json:"holder,omitempty"`
}

// pollRequest is the body of a poll.
type pollRequest struct {
	lease.Request
	// Configs asks for the configs of the destinations that the reply assigns.
	Configs bool `json:"records,omitempty"`
}

// pollReply is the response to a poll.
type pollReply struct {
	lease.Reply
	// Configs contains the configs of the destinations that the reply assigns, if the poll asks for them.
	Configs []clusterspec.DestinationConfig `json:"records,omitempty"`
}

// voteReply is the response to a vote request.
type voteReply struct {
	Granted bool `json:"consents"`
}

// Owners are the owners of a destination.
type Owners struct {
	Destination placement.DestinationID `json:"destination"`
	Owners      []Owner                 `json:"owners"`
	// Unknown reports that the cluster spec does not contain the destination.
	Unknown bool `json:"unknown,omitempty"`
}

// Owner is an owner of a destination and its address.
type Owner struct {
	Node    placement.NodeID `json:"node"`
	Address string           `json:"address"` // HOST:PORT
}
