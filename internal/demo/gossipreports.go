package demo

import (
	"bufio"
	"slices"
	"strings"
	"time"
	"wingmount/internal/testcluster"
)

// What a node logs when the reports of its peers change what it does.
const (
	logReportEffect   = "effect of peer reports"
	logReportDown     = "down=true"
	logFailingPartner = "endpoint=partner-2"
)

// peerReports is when the nodes of a group were informed by their peers.
type peerReports struct {
	outageMs    []int64 // after the start of the outage, of each node that was informed, sorted
	recoveryMs  []int64 // after its end
	healthyDown int     // how often a node was informed that a healthy partner is down
}

// reports reads the logs of all nodes, which must have exited.
func (g *nodeGroup) reports(outage partnerOutage) peerReports {
	var reports peerReports
	for _, node := range g.nodes {
		reports.add(node, outage)
	}
	slices.Sort(reports.outageMs)
	slices.Sort(reports.recoveryMs)
	return reports
}

// add adds what one node logged.
func (p *peerReports) add(node *testcluster.NodeProcess, outage partnerOutage) {
	var informedOfOutage, informedOfRecovery time.Time
	lines := bufio.NewScanner(strings.NewReader(node.Log()))
	for lines.Scan() {
		effect, ok := parseReportEffect(lines.Text())
		switch {
		case !ok:
		case !effect.ofFailing:
			if effect.down {
				p.healthyDown++
			}
		case effect.down && informedOfOutage.IsZero() && effect.at.After(outage.start):
			informedOfOutage = effect.at
		case !effect.down && informedOfRecovery.IsZero() && effect.at.After(outage.end):
			informedOfRecovery = effect.at
		}
	}
	if !informedOfOutage.IsZero() {
		p.outageMs = append(p.outageMs, informedOfOutage.Sub(outage.start).Milliseconds())
	}
	if !informedOfRecovery.IsZero() {
		p.recoveryMs = append(p.recoveryMs, informedOfRecovery.Sub(outage.end).Milliseconds())
	}
}

// reportEffect is a line of a log about the effect of peer reports.
type reportEffect struct {
	at        time.Time
	ofFailing bool // the endpoint is of partner-2
	down      bool
}

// parseReportEffect reports false for any other line, and for one without a time.
func parseReportEffect(line string) (reportEffect, bool) {
	if !strings.Contains(line, logReportEffect) {
		return reportEffect{}, false
	}
	stamp, _, _ := strings.Cut(strings.TrimPrefix(line, "time="), " ")
	at, err := time.Parse(time.RFC3339Nano, stamp)
	return reportEffect{
		at: at, ofFailing: strings.Contains(line, logFailingPartner), down: strings.Contains(line, logReportDown),
	}, err == nil
}
