package records

// FeatureLevel is the cluster's version of records and calls. It is raised once every configured
// controller runs a program that supports the higher one, and never goes down; until then only
// what the older program can read is written.
type FeatureLevel int

// The feature levels.
const (
	// FeatureInitialFormat is the level at which chunks are laid out by a setting.
	FeatureInitialFormat FeatureLevel = iota
	// FeatureExplicitChunks is the level from which chunks' records contain their range of
	// tasks, and may be split.
	FeatureExplicitChunks
	// CurrentFeatureLevel is the highest level that this program supports.
	CurrentFeatureLevel = FeatureExplicitChunks
)

// NodeRecord shows that a controller is live, and which level its program supports. Programs of
// the initial format neither write nor read the level.
type NodeRecord struct {
	Node  string       `cbor:"node"`
	Level FeatureLevel `cbor:"level,omitempty"`
}

// LevelRecord is the cluster's feature level.
type LevelRecord struct {
	Level FeatureLevel `cbor:"level"`
}
