// Package records defines the keys and values that controllers write to the key-value store, and
// upper bounds of the values' sizes. Values are CBOR maps whose field names are given by the
// struct tags. The names must not change, because older versions of the program may have written
// the values and may still read them.
//
// Every transaction states the revisions at which it expects its keys (compare-and-swap). The
// column Fence names the key that fences a record: every transaction that writes the record also
// requires the fence to be at the revision at which the writer became leader or owner, so that a
// replaced writer can no longer commit. P is the number of a partition.
//
//	Key            Value                     Writer                      Fence
//	c/lead         OwnerRecord               the node that claims it     its own revision;
//	                                                                     the node's lease
//	c/level        LevelRecord               leader                      c/lead, and the nodes'
//	                                                                     records
//	c/n/NODE       NodeRecord                the node itself             none; the node's lease
//	c/p/P          OwnerRecord               the node that claims it     its own revision;
//	                                                                     the node's lease
//	c/m/GROUP      MachineGroupRecord        leader, partition owners    c/lead or c/p/P, and
//	                                                                     its own revision
//	c/h/RENTAL     RentalRecord              leader                      c/lead, and
//	                                                                     its own revision
//	j/JOB          JobRecord                 any node on submission and  its own revision
//	                                         cancellation
//	                                         partition owner at the end  c/p/P, and
//	                                                                     its own revision
//	a/P/JOB/CHUNK  ChunkRecord               any node, the first chunk   that of j/JOB,
//	                                         on submission               created with it
//	                                         partition owner             c/p/P, and
//	                                                                     its own revision
//	x/P/JOB        true                      any node on cancellation    that of j/JOB,
//	                                                                     written with it
//	                                         partition owner deletes it  c/p/P
//	g/P/SLOT       JournalRecord             partition owner             c/p/P, and
//	                                                                     its own revision
//	s/P            PartitionSummary          partition owner             c/p/P
//	s/P/N          map[string]MachineDigest  partition owner             c/p/P
//	s/P/wN         []Demand                  partition owner             c/p/P
//
// Records attached to a node's lease are deleted when the lease expires. JobRecords are never
// deleted. Chunks and cancellations are deleted after the job has ended.
package records
