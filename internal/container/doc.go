// Package container implements the containers of the decision modules: a heap with movable items, a set of expiring
// values, a queue indexed by age, queues by key, an ordered set, a pool, a tag map and a sliding window.
//
// The containers do no I/O, read no clock and do not depend on the meaning of their values. The zero value of each is
// empty and ready to use, unless its comment names a field to set. None is safe for concurrent use. Times are durations
// since an origin that the caller chooses, the same in all calls. Start reading at [Queue].
package container
