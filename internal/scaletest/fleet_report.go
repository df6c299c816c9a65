package scaletest

import (
	"io"
	"wingmount/internal/printer"
)

// write prints the result as tables.
func (r *FleetResult) write(out io.Writer) error {
	p := printer.NewTable(out, 2, 0)
	p.Printf("\nfleet %s: %d nodes in %d zones, %d destinations of %d owners, configs of %d endpoints, %d control machines, leases of %.3g s\n",
		r.Name, r.Nodes, r.Zones, r.Destinations, r.Owners, r.Endpoints, max(1, r.Machines), r.LeaseSeconds)
	p.Printf("all destinations have owners %.1f s after the start; all processes had %d MB at the most\n", r.StartSeconds, r.PeakMemory>>20)
	r.writeCosts(p)
	r.writeLatencies(p)
	r.writeSummaries(p)
	return p.Err()
}

func (r *FleetResult) writeCosts(p *printer.Printer) {
	p.Println("phase\tspan s\tcontrol: cores\tkB/s\tMB\tpeak MB\tfollower: cores\tkB/s\tMB\tnode: % of a core\tB/s\tMB")
	for _, phase := range []struct {
		name string
		cost *Cost
	}{
		{"idle", r.Idle},
		{"changes", r.ChangesCost},
		{"burst", r.BurstCost},
		{"restarts", r.RestartsCost},
		{"lost zone", r.LostZoneCost},
	} {
		c := phase.cost
		if c == nil {
			continue
		}
		p.Printf("%s\t%.1f\t%.3f\t%.1f\t%d\t%d\t%.3f\t%.1f\t%d\t%.3f\t%.0f\t%.2f\n",
			phase.name, c.Seconds, c.ControlCores, c.ControlBytes/1000, c.ControlMemory>>20, c.ControlPeak>>20,
			c.FollowerCores, c.FollowerBytes/1000, c.FollowerMemory>>20, 100*c.NodeCores, c.NodeBytes, c.NodeMemory/(1<<20))
	}
}

func (r *FleetResult) writeLatencies(p *printer.Printer) {
	p.Println("\ntimes, s\tcount\tp50\tp99\tworst\twithin 7 s")
	for _, phase := range []struct {
		name  string
		times *Latencies
	}{
		{"changes applied", r.ChangeLatencies},
		{"burst applied", r.Burst},
		{"restarted nodes have their assignments", r.Restarts},
		{"lost zone reassigned", r.reassigned()},
	} {
		if l := phase.times; l != nil {
			p.Printf("%s\t%d\t%.3f\t%.3f\t%.3f\t%d\n", phase.name, l.Count, l.P50, l.P99, l.Worst, l.Within)
		}
	}
}

func (r *FleetResult) writeSummaries(p *printer.Printer) {
	if nodes := r.Real; nodes != nil {
		p.Printf("%d real nodes, %d destinations each: have their assignments %.1f s after their start; %.1f MB, %.3f%% of a core and %.0f B/s each\n",
			nodes.Nodes, nodes.Destinations, nodes.ReadySeconds, nodes.Memory/(1<<20), 100*nodes.Cores, nodes.Bytes)
	}
	if r.Burst != nil {
		p.Printf("burst: the control process applied it within %.0f ms\n", r.BurstAppliedMS)
	}
	if r.Restarts != nil {
		p.Printf("restarts: other nodes got %d assignments meanwhile\n", r.RestartsGained)
	}
	if c := r.ControlRestart; c != nil {
		p.Printf("control restart: listens %.2f s after the kill, a change is applied %.2f s after it, %d leases lost, %d assignments moved\n",
			c.ListensSeconds, c.ChangeSeconds, c.LeasesLost, c.Gained)
	}
	if z := r.LostZone; z != nil {
		p.Printf("lost zone: it had %d assignments, others got %d\n", z.Assignments, z.Gained)
	}
}
