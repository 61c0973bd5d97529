package records

// FeatureLevel is the version of the stored records and of the calls between controllers that a
// cluster uses. It is raised once every configured controller runs a program that supports the
// higher level, and is never lowered. Until it is raised, controllers write only what programs of
// the lower level can read.
type FeatureLevel int

// The feature levels.
const (
	// FeatureInitialFormat is the level at which the range of a chunk's tasks follows from
	// its index and the value size in the settings; see TasksPerChunk.
	FeatureInitialFormat FeatureLevel = iota
	// FeatureExplicitChunks is the lowest level at which ChunkRecords contain their range of
	// tasks and chunks may be split.
	FeatureExplicitChunks
	// CurrentFeatureLevel is the highest level that this program supports.
	CurrentFeatureLevel = FeatureExplicitChunks
)

// NodeRecord shows that a controller is live. Level is the highest level that its program supports;
// programs of the initial format neither write nor read it.
type NodeRecord struct {
	Node  string       `cbor:"node"`
	Level FeatureLevel `cbor:"level,omitempty"`
}

// LevelRecord is the cluster's feature level.
type LevelRecord struct {
	Level FeatureLevel `cbor:"level"`
}
