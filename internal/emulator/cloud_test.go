package emulator

import (
	"errors"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"ambersill/internal/wire"
)

// newTestCloud returns a cloud with three machines of one kind, that never boot.
func newTestCloud() *Cloud {
	machineType := wire.MachineType{Name: "small", Zones: []string{"a"}}
	return &Cloud{
		MachineTypes: []wire.MachineType{machineType},
		Capacity:     []Capacity{{MachineType: "small", Zone: "a", Count: 3}},
		ListLag:      4 * time.Second,
		BootTime:     func(wire.MachineType) time.Duration { return 0 },
	}
}

// rent asks a cloud for machines, and returns the status and the IDs of those rented.
func rent(t *testing.T, handler http.Handler, requestID string, count int) (int, []string) {
	t.Helper()
	body := wire.RentRequest{
		RequestID:   requestID,
		MachineType: "small",
		Zone:        "a",
		Count:       count,
	}
	var response wire.MachineIDs
	status := request(t, handler, http.MethodPost, "/hosts", body, &response)
	return status, response.Machines
}

// listMachines returns the IDs of the machines that a cloud lists.
func listMachines(t *testing.T, handler http.Handler) []string {
	t.Helper()
	var page wire.MachinePage
	if status := request(t, handler, http.MethodGet, "/hosts", nil, &page); status != http.StatusOK {
		t.Fatalf("the list of machines answers %d", status)
	}
	ids := []string{}
	for _, machine := range page.Machines {
		ids = append(ids, machine.ID)
	}
	return ids
}

func TestRepeatedRentalReturnsSameMachines(t *testing.T) {
	cloud := newTestCloud()
	handler := cloud.Handler()
	_, first := rent(t, handler, "request-1", 2)
	status, repeated := rent(t, handler, "request-1", 2)
	if status != http.StatusOK || len(first) != 2 || !slices.Equal(first, repeated) {
		t.Errorf("a rental returns %v, and repeated answers %d with %v", first, status, repeated)
	}
	if rented := len(cloud.machines); rented != 2 {
		t.Errorf("%d machines are rented, want 2", rented)
	}
}

func TestRepeatOfRentalWithLostResponseReturnsItsMachines(t *testing.T) {
	cloud := newTestCloud()
	cloud.ChooseFault = func() (RequestFault, time.Duration) { return LoseResponse, 0 }
	handler := cloud.Handler()
	func() {
		defer func() {
			recovered := recover()
			if err, ok := recovered.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				t.Errorf("a lost response recovers as %v", recovered)
			}
		}()
		rent(t, handler, "request-1", 2)
	}()
	cloud.ChooseFault = nil
	status, ids := rent(t, handler, "request-1", 2)
	if status != http.StatusOK || len(ids) != 2 || len(cloud.machines) != 2 {
		t.Errorf("the repeat answers %d with %v; %d machines are rented", status, ids, len(cloud.machines))
	}
}

func TestRentalsStayWithinCapacity(t *testing.T) {
	cloud := newTestCloud()
	handler := cloud.Handler()
	rent(t, handler, "request-1", 2)
	if status, ids := rent(t, handler, "request-2", 2); status != http.StatusOK || len(ids) != 1 {
		t.Errorf("a rental over the capacity answers %d with %v", status, ids)
	}
	if status, _ := rent(t, handler, "request-3", 1); status != http.StatusServiceUnavailable {
		t.Errorf("a rental without capacity answers %d", status)
	}
	if refusals := cloud.RefusedRentals(); refusals != 1 {
		t.Errorf("%d refusals are counted, want 1", refusals)
	}
}

func TestListOfMachinesLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud()
		handler := cloud.Handler()
		_, rented := rent(t, handler, "request-1", 1)

		if listed := listMachines(t, handler); len(listed) != 0 {
			t.Errorf("at once the list has %v", listed)
		}
		time.Sleep(cloud.ListLag - time.Second)
		if listed := listMachines(t, handler); len(listed) != 0 {
			t.Errorf("before the lag is over the list has %v", listed)
		}
		time.Sleep(time.Second)
		if listed := listMachines(t, handler); !slices.Equal(listed, rented) {
			t.Errorf("after the lag the list has %v, want %v", listed, rented)
		}

		request(t, handler, http.MethodPost, "/hosts/return", wire.MachineIDs{Machines: rented}, nil)
		if listed := listMachines(t, handler); !slices.Equal(listed, rented) {
			t.Errorf("at once after a return the list has %v, want %v", listed, rented)
		}
		time.Sleep(cloud.ListLag)
		if listed := listMachines(t, handler); len(listed) != 0 {
			t.Errorf("after a return and the lag the list has %v", listed)
		}
	})
}
