package wire

// MachineType is one entry of the cloud's catalog.
type MachineType struct {
	Name      string   `cbor:"sku"`
	CPUs      float64  `cbor:"cores"`
	GPUs      float64  `cbor:"gpus"`
	RAM       float64  `cbor:"ramGb"`
	CacheGB   float64  `cbor:"localGb"`
	FetchRate float64  `cbor:"pullGbPerS"`
	Price     float64  `cbor:"hourly"`
	SpotPrice float64  `cbor:"marketPrice"`
	BootS     float64  `cbor:"bootS"`
	Zones     []string `cbor:"fields"`
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `cbor:"breeds"`
}

// RentRequest asks the cloud for machines.
type RentRequest struct {
	Request string `cbor:"hire"`
	Type    string `cbor:"breed"`
	Zone    string `cbor:"field"`
	Spot    bool   `cbor:"windfall"`
	Count   int    `cbor:"count"`
}

// MachineNames is a list of machines, rented or to be returned.
type MachineNames struct {
	Machines []string `cbor:"hearths"`
}

// The states of a machine in the cloud's list.
const (
	Booting = "starting"
	Up      = "running"
	Failed  = "failed"
)

// CloudMachine is one row of the cloud's list.
type CloudMachine struct {
	ID    string  `cbor:"uid"`
	Addr  string  `cbor:"address"`
	Type  string  `cbor:"breed"`
	Zone  string  `cbor:"field"`
	Spot  bool    `cbor:"windfall"`
	State string  `cbor:"phase"`
	Age   float64 `cbor:"ageS"`
}

// MachinePage is a page of the cloud's list.
type MachinePage struct {
	Machines []CloudMachine `cbor:"hearths"`
	More     bool           `cbor:"hasNext"`
}

// Item is a key with its value in the state service.
type Item struct {
	Key      string `cbor:"key"`
	Value    Raw    `cbor:"value"`
	Revision uint64 `cbor:"stamp"`
	Lease    uint64 `cbor:"hold,omitempty"`
}

// Page is a page of keys; Missing reads of single keys carry only Revision.
type Page struct {
	Items    []Item `cbor:"rows"`
	More     bool   `cbor:"hasNext"`
	Revision uint64 `cbor:"ledgerMark"`
}

// Cond demands that a key still has a version; 0: that it does not exist.
type Cond struct {
	Key      string `cbor:"key"`
	Revision uint64 `cbor:"stamp"`
}

// Write puts or deletes one key.
type Write struct {
	Put    string `cbor:"put,omitempty"`
	Value  any    `cbor:"value,omitempty"`
	Lease  uint64 `cbor:"hold,omitempty"`
	Delete string `cbor:"delete,omitempty"`
}

// Txn is an atomic change of the state service.
type Txn struct {
	If   []Cond  `cbor:"when"`
	Then []Write `cbor:"then"`
}

// TxnReply answers a transaction.
type TxnReply struct {
	Revision uint64   `cbor:"ledgerMark"`
	Failed   []string `cbor:"failed"`
}

// LeaseRequest asks for a lease; LeaseReply names it.
type LeaseRequest struct {
	LifeMS int64 `cbor:"lifeMs"`
}

// LeaseReply names a lease.
type LeaseReply struct {
	Lease uint64 `cbor:"hold"`
}

// Event is one change of a key.
type Event struct {
	Put      string `cbor:"put"`
	Delete   string `cbor:"delete"`
	Value    Raw    `cbor:"value"`
	Revision uint64 `cbor:"stamp"`
}

// WatchReply holds the changes since a revision.
type WatchReply struct {
	Revision uint64  `cbor:"ledgerMark"`
	Events   []Event `cbor:"news"`
}

// Problem is the body of a refusal.
type Problem struct {
	Error string `cbor:"error"`
}
