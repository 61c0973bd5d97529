package records

// OwnerRecord names the node that owns a partition or is the leader. Every transaction that the
// node commits in that role requires the record's key to be at the revision at which the node
// claimed it.
type OwnerRecord struct {
	Node string `cbor:"node"`
}
