// Package records defines what controllers store in the key-value store: keys, values, and
// bounds of their sizes. Values are CBOR maps with the field names of the struct tags, which must
// not change, since an older version of the program may have written or may still read them.
//
// Every transaction names the revisions that its keys must be at (compare-and-swap). A record
// is fenced by a key if every transaction that writes it also requires that key to be at the
// revision at which its writer became leader or owner; a writer that has been replaced
// cannot commit any more. P is the number of a partition.
//
//	Key            Value                     Writer                      Fence
//	c/lead         OwnerRecord               the node that claims it     its own revision; the node's lease
//	c/level        LevelRecord               leader                      c/lead, and the nodes' records
//	c/n/NODE       NodeRecord                the node itself             none; the node's lease
//	c/p/P          OwnerRecord               the node that claims it     its own revision; the node's lease
//	c/m/GROUP      MachineGroupRecord        leader, partition owners    c/lead or c/p/P, and its own revision
//	c/h/RENTAL     RentalRecord              leader                      c/lead, and its own revision
//	j/JOB          JobRecord                 any node on submission and  its own revision
//	                                         cancellation
//	                                         partition owner at the end  c/p/P, and its own revision
//	a/P/JOB/CHUNK  ChunkRecord               any node, the first chunk   that of j/JOB, created with it
//	                                         on submission
//	                                         partition owner             c/p/P, and its own revision
//	x/P/JOB        true                      any node on cancellation    that of j/JOB, written with it
//	                                         partition owner deletes it  c/p/P
//	g/P/SLOT       JournalRecord             partition owner             c/p/P, and its own revision
//	s/P            PartitionSummary          partition owner             c/p/P
//	s/P/N          map[string]MachineDigest  partition owner             c/p/P
//	s/P/wN         []Demand                  partition owner             c/p/P
//
// Records with a lease are deleted when it expires. JobRecords are never deleted; chunks and
// cancellations are deleted after the job's end.
package records
