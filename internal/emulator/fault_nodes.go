package emulator

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Names of the hosts, other than nodes, whose links can be cut by faults.
const (
	storeHost         = "state"
	cloudHost         = "cloud"
	workersHostPrefix = "workers-" // followed by the zone name
)

// crashControllers kills the nodes' controllers, and restarts each after the fault's Delay. It does
// not wait for the restarts.
func (f *FaultInjector) crashControllers(ctx context.Context, fault Fault) {
	for _, node := range fault.Nodes {
		f.countInjected(fault.Kind, 1)
		f.CrashController(node)
		f.wg.Go(func() {
			select {
			case <-time.After(fault.Delay):
				f.StartController(node)
			case <-ctx.Done():
			}
		})
	}
}

// slowProcessors makes each message that the nodes send or receive occupy their processor for the
// fault's Delay.
func (f *FaultInjector) slowProcessors(ctx context.Context, fault Fault) {
	f.applyToNodes(fault, func(name string) {
		setCost := func(cost time.Duration) { f.Network.SetMessageCost(name, cost) }
		end := f.delays.begin(settingKey{kind: fault.Kind, target: name}, fault.Delay, setCost)
		waitUntilOver(ctx, fault)
		end()
	})
}

// freezeNodes stops the nodes from sending and receiving until the fault is over.
func (f *FaultInjector) freezeNodes(ctx context.Context, fault Fault) {
	f.applyToNodes(fault, func(name string) { f.Network.Freeze(ctx, name, fault.ActiveFor) })
}

// applyToNodes calls apply concurrently with the name of each of the fault's nodes, and returns
// when all calls have returned.
func (f *FaultInjector) applyToNodes(fault Fault, apply func(name string)) {
	var calls sync.WaitGroup
	for _, node := range fault.Nodes {
		name := f.Nodes[node].Name
		f.countInjected(fault.Kind, 1)
		calls.Go(func() { apply(name) })
	}
	calls.Wait()
}

// cutLinks cuts the links that a fault affects, and when the fault is over restores those that no
// other active fault has cut.
func (f *FaultInjector) cutLinks(ctx context.Context, fault Fault) {
	f.countInjected(fault.Kind, 1)
	var ends []func()
	for _, link := range f.linksCutBy(fault) {
		setCut := func(cut bool) { f.Network.SetLinkCut(link.from, link.to, cut) }
		ends = append(ends, f.switches.begin(linkKey(link), true, setCut))
	}
	waitUntilOver(ctx, fault)
	callAll(ends)
}

// linkKey returns the key of the setting that cuts a link. It is the same for both directions, and
// for all kinds of faults that cut links.
func linkKey(link directedLink) settingKey {
	return settingKey{target: min(link.from, link.to) + " " + max(link.from, link.to)}
}

// callAll calls each of the functions.
func callAll(functions []func()) {
	for _, function := range functions {
		function()
	}
}

// linksCutBy returns the links that a fault cuts, in one of their directions.
func (f *FaultInjector) linksCutBy(fault Fault) []directedLink {
	faultNodes := f.nodeNames(fault.Nodes)
	var links []directedLink
	for name := range faultNodes {
		for _, host := range f.hostsCutFrom(name, faultNodes, fault) {
			links = append(links, directedLink{from: name, to: host})
		}
	}
	if fault.Kind != ZoneCut {
		return links
	}
	for _, host := range f.nodeNamesExcept(faultNodes) {
		links = append(links, directedLink{from: workersHostPrefix + fault.Zone, to: host})
	}
	return links
}

// hostsCutFrom returns the names of the hosts that a fault cuts the named node off from.
// faultNodes are the names of all nodes that the fault affects.
func (f *FaultInjector) hostsCutFrom(name string, faultNodes map[string]bool, fault Fault) []string {
	others := f.nodeNamesExcept(map[string]bool{name: true})
	switch fault.Kind {
	case NodeIsolated:
		return append([]string{storeHost}, others...)
	case PeersCut:
		return others
	case WorkersCut:
		return f.workerHostsExcept("")
	case CloudCut:
		return []string{cloudHost}
	case ZoneCut:
		hosts := append([]string{storeHost, cloudHost}, f.workerHostsExcept(fault.Zone)...)
		return append(hosts, f.nodeNamesExcept(faultNodes)...)
	default:
		panic(fmt.Sprintf("emulator: fault kind %q cuts no links", fault.Kind))
	}
}

// nodeNames returns the names of the nodes at the given indexes as a set.
func (f *FaultInjector) nodeNames(nodes []int) map[string]bool {
	names := map[string]bool{}
	for _, node := range nodes {
		names[f.Nodes[node].Name] = true
	}
	return names
}

// nodeNamesExcept returns the names of all nodes that are not in the excluded set.
func (f *FaultInjector) nodeNamesExcept(excluded map[string]bool) []string {
	var names []string
	for _, node := range f.Nodes {
		if !excluded[node.Name] {
			names = append(names, node.Name)
		}
	}
	return names
}

// workerHostsExcept returns the names of the workers' hosts of all zones except the excluded one,
// or of all zones if excluded is "".
func (f *FaultInjector) workerHostsExcept(excluded string) []string {
	var hosts []string
	for zone := range f.Simulation.ZoneNets {
		if zone != excluded {
			hosts = append(hosts, workersHostPrefix+zone)
		}
	}
	return hosts
}
