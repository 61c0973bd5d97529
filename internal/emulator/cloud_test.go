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

// newTestCloud returns a cloud with capacity for three machines of one type. They never boot.
func newTestCloud() *Cloud {
	machineType := wire.MachineType{Name: "small", Zones: []string{"a"}}
	return &Cloud{
		MachineTypes: []wire.MachineType{machineType},
		Capacity:     []Capacity{{MachineType: "small", Zone: "a", Count: 3}},
		ListLag:      4 * time.Second,
		BootTime:     func(wire.MachineType) time.Duration { return 0 },
	}
}

// rent sends a rental request to a cloud, and returns the HTTP status and the IDs of the rented
// machines.
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

// listMachines returns the IDs of the machines in a cloud's list.
func listMachines(t *testing.T, handler http.Handler) []string {
	t.Helper()
	var page wire.MachinePage
	if status := request(t, handler, http.MethodGet, "/hosts", nil, &page); status != http.StatusOK {
		t.Fatalf("listing machines: got status %d, want 200", status)
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
		t.Errorf("rental of 2 machines, sent twice: got %v, then status %d with %v, want 200 and the same 2 IDs", first, status, repeated)
	}
	if rented := len(cloud.machines); rented != 2 {
		t.Errorf("rented machines: got %d, want 2", rented)
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
				t.Errorf("panic of the handler for a lost response: got %v, want http.ErrAbortHandler", recovered)
			}
		}()
		rent(t, handler, "request-1", 2)
	}()
	cloud.ChooseFault = nil
	status, ids := rent(t, handler, "request-1", 2)
	if status != http.StatusOK || len(ids) != 2 || len(cloud.machines) != 2 {
		t.Errorf("repeat of a rental of 2 machines: got status %d with %v and %d rented machines, want 200 and 2 machines", status, ids, len(cloud.machines))
	}
}

func TestRentalsStayWithinCapacity(t *testing.T) {
	cloud := newTestCloud()
	handler := cloud.Handler()
	rent(t, handler, "request-1", 2)
	if status, ids := rent(t, handler, "request-2", 2); status != http.StatusOK || len(ids) != 1 {
		t.Errorf("rental of 2 machines with capacity for 1: got status %d with %v, want 200 with 1 ID", status, ids)
	}
	if status, _ := rent(t, handler, "request-3", 1); status != http.StatusServiceUnavailable {
		t.Errorf("rental without capacity: got status %d, want 503", status)
	}
	if refusals := cloud.RefusedRentals(); refusals != 1 {
		t.Errorf("refused rentals: got %d, want 1", refusals)
	}
}

func TestListOfMachinesLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cloud := newTestCloud()
		handler := cloud.Handler()
		_, rented := rent(t, handler, "request-1", 1)

		if listed := listMachines(t, handler); len(listed) != 0 {
			t.Errorf("list right after a rental: got %v, want none", listed)
		}
		time.Sleep(cloud.ListLag - time.Second)
		if listed := listMachines(t, handler); len(listed) != 0 {
			t.Errorf("list 1 s before the list lag has passed: got %v, want none", listed)
		}
		time.Sleep(time.Second)
		if listed := listMachines(t, handler); !slices.Equal(listed, rented) {
			t.Errorf("list after the list lag: got %v, want %v", listed, rented)
		}

		request(t, handler, http.MethodPost, "/hosts/return", wire.MachineIDs{Machines: rented}, nil)
		if listed := listMachines(t, handler); !slices.Equal(listed, rented) {
			t.Errorf("list right after a return: got %v, want %v", listed, rented)
		}
		time.Sleep(cloud.ListLag)
		if listed := listMachines(t, handler); len(listed) != 0 {
			t.Errorf("list after a return and the list lag: got %v, want none", listed)
		}
	})
}
