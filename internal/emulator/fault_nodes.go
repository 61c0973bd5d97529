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
		f.Network.SetMessageCost(name, fault.Delay)
		waitUntilOver(ctx, fault)
		f.Network.SetMessageCost(name, 0)
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

// cutLinks cuts the links that a fault affects, and restores them when the fault is over.
func (f *FaultInjector) cutLinks(ctx context.Context, fault Fault) {
	f.countInjected(fault.Kind, 1)
	f.setLinksCut(fault, true)
	waitUntilOver(ctx, fault)
	f.setLinksCut(fault, false)
}

// setLinksCut cuts or restores the links that a fault affects.
func (f *FaultInjector) setLinksCut(fault Fault, cut bool) {
	faultNodes := f.nodeNames(fault.Nodes)
	for name := range faultNodes {
		for _, host := range f.hostsCutFrom(name, faultNodes, fault) {
			f.Network.SetLinkCut(name, host, cut)
		}
	}
	if fault.Kind != ZoneCut {
		return
	}
	for _, host := range f.nodeNamesExcept(faultNodes) {
		f.Network.SetLinkCut(workersHostPrefix+fault.Zone, host, cut)
	}
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
