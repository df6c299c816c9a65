package membership

import "slices"

// view is what is believed of the others, with what is asked of it at each packet kept as it changes, so that
// a packet costs the same whatever the size of the tier.
type view struct {
	members map[Peer]*member
	all     []Peer // who is known; these lists are in order
	present []Peer // alive or suspected
	suspect []Peer
	dead    []Peer
	sum     uint64 // over those present, whatever their order
}

// put sets what is believed of a member, new or known.
func (v *view) put(m *member, u Update) {
	if v.members[m.Member] == m {
		v.lists(m, remove)
	} else {
		v.members[u.Member] = m
		v.all = insert(v.all, u.Member)
	}
	m.Update = u
	v.lists(m, insert)
}

// drop forgets a member.
func (v *view) drop(p Peer) {
	if m := v.members[p]; m != nil {
		v.lists(m, remove)
		v.all = remove(v.all, p)
		delete(v.members, p)
	}
}

func (v *view) lists(m *member, change func([]Peer, Peer) []Peer) {
	if m.Status <= Suspect {
		v.present = change(v.present, m.Member)
		v.sum ^= hashBelief(m.Member, Alive, m.Incarnation) // a suspicion comes and goes
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

// digest is of all that is believed, whatever the order.
func (n *Node) digest() uint64 {
	sum := hashBelief(n.settings.Self, Alive, n.incarnation)
	if n.leaving {
		sum = hashBelief(n.settings.Self, Left, n.incarnation)
	}
	return sum ^ n.sum
}

// hashBelief spreads a belief over 64 bits, by the finalizer of SplitMix64.
func hashBelief(p Peer, s Status, inc uint64) uint64 {
	x := uint64(p)<<32 ^ uint64(s)<<24 ^ inc*0x9e3779b97f4a7c15
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
