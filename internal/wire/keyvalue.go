package wire

// KeyValue is a key of the key-value store with its value.
type KeyValue struct {
	Key      string `cbor:"key"`
	Value    Raw    `cbor:"value"`
	Revision uint64 `cbor:"stamp"`          // of the key's last change
	LeaseID  uint64 `cbor:"hold,omitempty"` // lease that the key depends on; 0: none
}

// KeyValuePage is a page of keys.
type KeyValuePage struct {
	Items    []KeyValue `cbor:"rows"`
	HasMore  bool       `cbor:"hasNext"`
	Revision uint64     `cbor:"ledgerMark"` // of the store when it listed the page
}

// Compare requires that a key is still at a revision; 0 requires that it does not exist.
type Compare struct {
	Key      string `cbor:"key"`
	Revision uint64 `cbor:"stamp"`
}

// Write puts or deletes one key.
type Write struct {
	Put     string `cbor:"put,omitempty"`
	Value   any    `cbor:"value,omitempty"`
	LeaseID uint64 `cbor:"hold,omitempty"` // lease that the put key depends on; 0: none
	Delete  string `cbor:"delete,omitempty"`
}

// Txn is a transaction of the key-value store: all writes are executed if all comparisons
// hold, and none otherwise.
type Txn struct {
	Compares []Compare `cbor:"when"`
	Writes   []Write   `cbor:"then"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Revision uint64   `cbor:"ledgerMark"` // of the store after the transaction
	Failed   []string `cbor:"failed"`     // keys whose comparison failed
}

// LeaseRequest asks for a lease.
type LeaseRequest struct {
	TTLMS int64 `cbor:"lifeMs"` // time to live, in milliseconds
}

// LeaseResponse names the granted lease.
type LeaseResponse struct {
	LeaseID uint64 `cbor:"hold"`
}

// Event is one change of a key: either Put or Delete names it.
type Event struct {
	Put      string `cbor:"put"`
	Delete   string `cbor:"delete"`
	Value    Raw    `cbor:"value"`
	Revision uint64 `cbor:"stamp"`
}

// WatchResponse lists the changes after a revision.
type WatchResponse struct {
	Revision uint64  `cbor:"ledgerMark"` // up to which the changes are complete
	Events   []Event `cbor:"news"`
}
