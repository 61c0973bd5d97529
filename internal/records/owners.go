package records

// OwnerRecord names the node that owns a partition, or the leader. The revision of its key is
// the fence of everything that the node writes in that role.
type OwnerRecord struct {
	Node string `cbor:"node"`
}
