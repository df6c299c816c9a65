package scaletest

import "fmt"

// measurements are the measurements that a slope can have, by the name in a scenario.
var measurements = map[string]measurement{
	"module-idle":            {axis: "destinations", maxSize: MaxDestinations, take: measureModuleIdle},
	"module-active":          {axis: "active destinations", maxSize: MaxDestinations, take: measureModuleActive},
	"module-configured":      {axis: "configured destinations", maxSize: MaxDestinations, fixed: fixedActive, take: measureModuleConfigured},
	"module-pending":         {axis: "pending messages", maxSize: maxMessages, take: measureModulePending},
	"refusal-notes":          {axis: "nodes", maxSize: MaxNodes, take: measurePeerMessages},
	"membership":             {axis: "nodes", maxSize: MaxNodes, take: measureMembership},
	"placement-destinations": {axis: "destinations", maxSize: MaxDestinations, fixed: fixedNodes, fleet: byDestinations, takeFleet: measurePlacement},
	"placement-nodes":        {axis: "nodes", maxSize: MaxNodes, fixed: fixedDestinations, fleet: byNodes, takeFleet: measurePlacement},
	"lease-part":             {axis: "destinations of the node", maxSize: MaxDestinations, take: measureLeaseAssignments},
	"lease-nodes":            {axis: "nodes", maxSize: MaxNodes, fixed: fixedDestinations, fleet: byNodes, takeFleet: measureLeases},
	"lease-destinations":     {axis: "destinations", maxSize: MaxDestinations, fixed: fixedNodes, fleet: byDestinations, takeFleet: measureLeases},
	"control-nodes":          {axis: "nodes", maxSize: MaxNodes, fixed: fixedDestinations, processes: true, minNodes: placementOwners, fleet: byNodes, takeFleet: measureControlAtRest},
	"control-destinations":   {axis: "destinations", maxSize: MaxDestinations, fixed: fixedNodes, processes: true, minNodes: placementOwners, fleet: byDestinations, takeFleet: measureControlAtRest},
	"quorum-nodes":           {axis: "nodes", maxSize: MaxNodes, fixed: fixedDestinations, processes: true, minNodes: placementOwners + 1, fleet: byNodes, takeFleet: measureQuorum},
	"quorum-destinations":    {axis: "destinations", maxSize: MaxDestinations, fixed: fixedNodes, processes: true, minNodes: placementOwners + 1, fleet: byDestinations, takeFleet: measureQuorum},
	"store-sqlite":           {axis: "messages", maxSize: maxMessages, take: measureSQLite},
	"store-journal":          {axis: "messages", maxSize: maxMessages, take: measureJournal},
}

// maxMessages bounds the sizes that count messages.
const maxMessages = 1_000_000

// fixedActive, fixedNodes and fixedDestinations format what is fixed while the size of a slope grows.
func fixedActive(s Slope) string       { return fmt.Sprintf("%d active", s.Destinations) }
func fixedNodes(s Slope) string        { return fmt.Sprintf("%d nodes", s.Nodes) }
func fixedDestinations(s Slope) string { return fmt.Sprintf("%d destinations", s.Destinations) }
