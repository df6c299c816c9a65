package membership

import "slices"

// view is the state of the other members. It maintains the lists and the hash that each packet needs, so that the
// cost of a packet does not depend on the size of the cluster.
type view struct {
	members map[Peer]*member
	all     []Peer // all known members; this list and the next three are sorted
	present []Peer // alive or suspected
	suspect []Peer
	dead    []Peer
	hash    uint64 // hash of the present members, independent of their order
}

// set sets the state of a new or known member.
func (v *view) set(m *member, u Update) {
	if v.members[m.Member] == m {
		v.updateLists(m, remove)
	} else {
		v.members[u.Member] = m
		v.all = insert(v.all, u.Member)
	}
	m.Update = u
	v.updateLists(m, insert)
}

// deleteMember deletes a member from the view.
func (v *view) deleteMember(p Peer) {
	if m := v.members[p]; m != nil {
		v.updateLists(m, remove)
		v.all = remove(v.all, p)
		delete(v.members, p)
	}
}

// updateLists applies change to each list that contains or should contain m, and toggles m in the hash.
func (v *view) updateLists(m *member, change func([]Peer, Peer) []Peer) {
	if m.Status <= Suspect {
		v.present = change(v.present, m.Member)
		v.hash ^= hashState(m.Member, Alive, m.Incarnation) // suspicions are transient and not part of the hash
	}
	switch m.Status {
	case Suspect:
		v.suspect = change(v.suspect, m.Member)
	case Dead:
		v.dead = change(v.dead, m.Member)
	}
}

func insert(all []Peer, p Peer) []Peer {
	at, _ := slices.BinarySearch(all, p)
	return slices.Insert(all, at, p)
}

func remove(all []Peer, p Peer) []Peer {
	at, ok := slices.BinarySearch(all, p)
	if !ok {
		return all
	}
	return slices.Delete(all, at, at+1)
}

// digest returns a hash of this node's view, independent of the order of members.
func (n *Node) digest() uint64 {
	own := hashState(n.settings.Self, Alive, n.incarnation)
	if n.leaving {
		own = hashState(n.settings.Self, Left, n.incarnation)
	}
	return own ^ n.hash
}

// hashState hashes the state of a member to 64 bits with the finalizer of SplitMix64.
func hashState(p Peer, s Status, inc uint64) uint64 {
	x := uint64(p)<<32 ^ uint64(s)<<24 ^ inc*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
