package emulator

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Names of the hosts that links are cut between, besides those of the nodes.
const (
	storeHost         = "state"
	cloudHost         = "cloud"
	workersHostPrefix = "workers-" // followed by the zone
)

// crashControllers kills the nodes' controllers, and starts each again after the fault's Wait.
func (f *FaultInjector) crashControllers(ctx context.Context, fault Fault) {
	for _, node := range fault.Nodes {
		f.countInjected(fault.Kind, 1)
		f.Crash(node)
		f.wg.Go(func() {
			select {
			case <-time.After(fault.Wait):
				f.Start(node)
			case <-ctx.Done():
			}
		})
	}
}

// slowProcessors has each message that the nodes send or receive take the fault's Wait.
func (f *FaultInjector) slowProcessors(ctx context.Context, fault Fault) {
	f.strikeNodes(fault, func(name string) {
		f.Network.SetMessageCost(name, fault.Wait)
		waitUntilOver(ctx, fault)
		f.Network.SetMessageCost(name, 0)
	})
}

// freezeNodes has the nodes send and receive nothing.
func (f *FaultInjector) freezeNodes(ctx context.Context, fault Fault) {
	f.strikeNodes(fault, func(name string) { f.Network.Freeze(ctx, name, fault.For) })
}

// strikeNodes calls a function for each of the fault's nodes at the same time, and returns when
// all calls have returned.
func (f *FaultInjector) strikeNodes(fault Fault, strike func(name string)) {
	var struck sync.WaitGroup
	for _, node := range fault.Nodes {
		name := f.Nodes[node].Name
		f.countInjected(fault.Kind, 1)
		struck.Go(func() { strike(name) })
	}
	struck.Wait()
}

// cutLinks cuts links for as long as the fault lasts.
func (f *FaultInjector) cutLinks(ctx context.Context, fault Fault) {
	f.countInjected(fault.Kind, 1)
	f.setLinksCut(fault, true)
	waitUntilOver(ctx, fault)
	f.setLinksCut(fault, false)
}

// setLinksCut cuts the links that a fault concerns, or restores them.
func (f *FaultInjector) setLinksCut(fault Fault, cut bool) {
	inside := f.nodeNames(fault.Nodes)
	for name := range inside {
		for _, host := range f.hostsCutFrom(name, inside, fault) {
			f.Network.Cut(name, host, cut)
		}
	}
	if fault.Kind != ZoneCut {
		return
	}
	for _, host := range f.nodesOutside(inside) {
		f.Network.Cut(workersHostPrefix+fault.Zone, host, cut)
	}
}

// hostsCutFrom lists the hosts that a fault cuts a node off from. inside are all nodes that the
// fault names.
func (f *FaultInjector) hostsCutFrom(name string, inside map[string]bool, fault Fault) []string {
	others := f.nodesOutside(map[string]bool{name: true})
	switch fault.Kind {
	case NodeIsolated:
		return append([]string{storeHost}, others...)
	case PeersCut:
		return others
	case WorkersCut:
		return f.workersOutside("")
	case CloudCut:
		return []string{cloudHost}
	case ZoneCut:
		hosts := append([]string{storeHost, cloudHost}, f.workersOutside(fault.Zone)...)
		return append(hosts, f.nodesOutside(inside)...)
	default:
		panic(fmt.Sprintf("emulator: %q cuts no links", fault.Kind))
	}
}

// nodeNames returns the set of the nodes' names.
func (f *FaultInjector) nodeNames(nodes []int) map[string]bool {
	names := map[string]bool{}
	for _, node := range nodes {
		names[f.Nodes[node].Name] = true
	}
	return names
}

// nodesOutside lists the nodes that are not in a set, by name.
func (f *FaultInjector) nodesOutside(inside map[string]bool) []string {
	var names []string
	for _, node := range f.Nodes {
		if !inside[node.Name] {
			names = append(names, node.Name)
		}
	}
	return names
}

// workersOutside lists the workers' hosts of all zones but one; "" leaves out none.
func (f *FaultInjector) workersOutside(zone string) []string {
	var hosts []string
	for other := range f.Simulation.ZoneNets {
		if other != zone {
			hosts = append(hosts, workersHostPrefix+other)
		}
	}
	return hosts
}
