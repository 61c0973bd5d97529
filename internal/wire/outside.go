package wire

// MachineType is one entry of the cloud's catalog.
type MachineType struct {
	Name             string   `cbor:"sku"`
	CPUs             float64  `cbor:"cores"`
	GPUs             float64  `cbor:"gpus"`
	MemoryGB         float64  `cbor:"ramGb"`
	ImageCacheGB     float64  `cbor:"localGb"`
	ImageFetchGBPerS float64  `cbor:"pullGbPerS"`
	HourlyPrice      float64  `cbor:"hourly"`
	HourlySpotPrice  float64  `cbor:"marketPrice"`
	BootS            float64  `cbor:"bootS"`
	Zones            []string `cbor:"fields"`
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `cbor:"breeds"`
}

// RentRequest asks the cloud for machines.
type RentRequest struct {
	RequestID   string `cbor:"hire"`
	MachineType string `cbor:"breed"`
	Zone        string `cbor:"field"`
	Spot        bool   `cbor:"windfall"`
	Count       int    `cbor:"count"`
}

// MachineIDs is a list of machines, rented or to be returned.
type MachineIDs struct {
	Machines []string `cbor:"hearths"`
}

// The states of a machine in the cloud's list.
const (
	MachineStarting = "starting"
	MachineRunning  = "running"
	MachineFailed   = "failed"
)

// CloudMachine is one row of the cloud's list.
type CloudMachine struct {
	ID          string  `cbor:"uid"`
	Address     string  `cbor:"address"`
	MachineType string  `cbor:"breed"`
	Zone        string  `cbor:"field"`
	Spot        bool    `cbor:"windfall"`
	State       string  `cbor:"phase"`
	AgeS        float64 `cbor:"ageS"`
}

// MachinePage is a page of the cloud's list.
type MachinePage struct {
	Machines []CloudMachine `cbor:"hearths"`
	More     bool           `cbor:"hasNext"`
}

// KeyValue is a key with its value in the state service.
type KeyValue struct {
	Key      string `cbor:"key"`
	Value    Raw    `cbor:"value"`
	Revision uint64 `cbor:"stamp"`
	LeaseID  uint64 `cbor:"hold,omitempty"`
}

// KeyValuePage is a page of keys; Missing reads of single keys carry only Revision.
type KeyValuePage struct {
	Items    []KeyValue `cbor:"rows"`
	More     bool       `cbor:"hasNext"`
	Revision uint64     `cbor:"ledgerMark"`
}

// Compare demands that a key still has a version; 0: that it does not exist.
type Compare struct {
	Key      string `cbor:"key"`
	Revision uint64 `cbor:"stamp"`
}

// Write puts or deletes one key.
type Write struct {
	Put     string `cbor:"put,omitempty"`
	Value   any    `cbor:"value,omitempty"`
	LeaseID uint64 `cbor:"hold,omitempty"`
	Delete  string `cbor:"delete,omitempty"`
}

// Txn is an atomic change of the state service.
type Txn struct {
	Compares []Compare `cbor:"when"`
	Writes   []Write   `cbor:"then"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Revision uint64   `cbor:"ledgerMark"`
	Failed   []string `cbor:"failed"`
}

// LeaseRequest asks for a lease; LeaseReply names it.
type LeaseRequest struct {
	TTLMS int64 `cbor:"lifeMs"`
}

// LeaseResponse names a lease.
type LeaseResponse struct {
	LeaseID uint64 `cbor:"hold"`
}

// Event is one change of a key.
type Event struct {
	Put      string `cbor:"put"`
	Delete   string `cbor:"delete"`
	Value    Raw    `cbor:"value"`
	Revision uint64 `cbor:"stamp"`
}

// WatchResponse holds the changes since a revision.
type WatchResponse struct {
	Revision uint64  `cbor:"ledgerMark"`
	Events   []Event `cbor:"news"`
}

// ErrorResponse is the body of a refusal.
type ErrorResponse struct {
	Error string `cbor:"error"`
}
