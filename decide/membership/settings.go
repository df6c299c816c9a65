package membership

import "time"

// Settings are the limits and durations of a node. Durations must be positive.
type Settings struct {
	Self             Peer
	Seeds            []Peer
	Incarnation      uint64        // must exceed every earlier incarnation of this node, also from before a restart
	Period           time.Duration // time between two probes
	Timeout          time.Duration // time to wait for an Ack before indirect probes; must be below Period
	IndirectProbes   int           // number of members asked to probe a target indirectly
	Alpha            float64       // a suspicion lasts at least Alpha·log10(members) periods
	Beta             float64       // and at most Beta times this minimum
	Confirmations    int           // number of confirmations that reduce a suspicion to its minimum duration
	RetransmitFactor float64       // an update is sent RetransmitFactor·log10(members) times
	Datagrams        int           // maximum number of packets sent per second
	MaxHealth        int           // maximum local health value; periods and timeouts are multiplied by 1+health
}

// Defaults returns the default settings, with the parameters of the SWIM and Lifeguard papers.
func Defaults(self Peer, seeds ...Peer) Settings {
	return Settings{
		Self: self, Seeds: seeds, Period: time.Second, Timeout: 500 * time.Millisecond, IndirectProbes: 3,
		Alpha: 4, Beta: 6, Confirmations: 3, RetransmitFactor: 4, Datagrams: 16, MaxHealth: 8,
	}
}
