package wire

// KeyValue is a key of the key-value store and its value.
type KeyValue struct {
	Key      string `cbor:"key"`
	Value    Raw    `cbor:"value"`
	Revision uint64 `cbor:"stamp"`          // store revision of the last change of the key
	LeaseID  uint64 `cbor:"hold,omitempty"` // lease that the key is attached to; none if 0
}

// KeyValuePage is one page of a listing of keys. HasMore is true if further pages follow.
type KeyValuePage struct {
	Items    []KeyValue `cbor:"rows"`
	HasMore  bool       `cbor:"hasNext"`
	Revision uint64     `cbor:"ledgerMark"` // revision of the store at the time of the listing
}

// Compare is a condition of a transaction. It holds if the last change of the key was at Revision.
// A revision of 0 requires that the key does not exist.
type Compare struct {
	Key      string `cbor:"key"`
	Revision uint64 `cbor:"stamp"`
}

// Write puts or deletes a key in a transaction. Exactly one of Put and Delete names the key.
type Write struct {
	Put     string `cbor:"put,omitempty"`
	Value   any    `cbor:"value,omitempty"`
	LeaseID uint64 `cbor:"hold,omitempty"` // lease to attach the written key to; none if 0
	Delete  string `cbor:"delete,omitempty"`
}

// Txn is a transaction of the key-value store. Its writes are applied if all comparisons hold;
// otherwise none of them is.
type Txn struct {
	Compares []Compare `cbor:"when"`
	Writes   []Write   `cbor:"then"`
}

// TxnResponse is the response to a transaction.
type TxnResponse struct {
	Revision uint64   `cbor:"ledgerMark"` // revision of the store after the transaction
	Failed   []string `cbor:"failed"`     // keys whose comparisons failed
}

// LeaseRequest requests a lease.
type LeaseRequest struct {
	TTLMS int64 `cbor:"lifeMs"` // time to live, in milliseconds
}

// LeaseResponse returns the ID of the granted lease.
type LeaseResponse struct {
	LeaseID uint64 `cbor:"hold"`
}

// Event is one change of a key. Put names a key that was written, Delete a key that was deleted.
type Event struct {
	Put      string `cbor:"put"`
	Delete   string `cbor:"delete"`
	Value    Raw    `cbor:"value"`
	Revision uint64 `cbor:"stamp"`
}

// WatchResponse lists the changes that followed the revision given in the request.
type WatchResponse struct {
	Revision uint64  `cbor:"ledgerMark"` // Events has all changes up to this revision
	Events   []Event `cbor:"news"`
}
