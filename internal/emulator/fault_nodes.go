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

// slowProcessors has each message that the nodes send or receive take the fault's Wait.
func (f *FaultInjector) slowProcessors(ctx context.Context, fault Fault) {
	f.applyToNodes(fault, func(name string) {
		f.Network.SlowDown(name, fault.Delay)
		waitUntilOver(ctx, fault)
		f.Network.SlowDown(name, 0)
	})
}

// freezeNodes has the nodes send and receive nothing.
func (f *FaultInjector) freezeNodes(ctx context.Context, fault Fault) {
	f.applyToNodes(fault, func(name string) { f.Network.Freeze(ctx, name, fault.ActiveFor) })
}

// applyToNodes calls a function for each of the fault's nodes at the same time, and returns when
// all calls have returned.
func (f *FaultInjector) applyToNodes(fault Fault, apply func(name string)) {
	var calls sync.WaitGroup
	for _, node := range fault.Nodes {
		name := f.Nodes[node].Name
		f.countInjected(fault.Kind, 1)
		calls.Go(func() { apply(name) })
	}
	calls.Wait()
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

// hostsCutFrom lists the hosts that a fault cuts a node off from. inside are all nodes that the
// fault names.
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

// nodeNamesExcept lists the nodes that are not in a set, by name.
func (f *FaultInjector) nodeNamesExcept(excluded map[string]bool) []string {
	var names []string
	for _, node := range f.Nodes {
		if !excluded[node.Name] {
			names = append(names, node.Name)
		}
	}
	return names
}

// workerHostsExcept lists the workers' hosts of all zones but one; "" leaves out none.
func (f *FaultInjector) workerHostsExcept(excluded string) []string {
	var hosts []string
	for zone := range f.Simulation.ZoneNets {
		if zone != excluded {
			hosts = append(hosts, workersHostPrefix+zone)
		}
	}
	return hosts
}
