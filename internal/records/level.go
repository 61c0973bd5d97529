package records

// FeatureLevel is the cluster's version of records and calls. It is raised once every
// configured controller runs a program that knows it, and never goes down; until then only
// what the older program reads is written.
type FeatureLevel int

// The feature levels.
const (
	// FeatureInitialFormat: chunks are laid out by a setting.
	FeatureInitialFormat FeatureLevel = iota
	// FeatureExplicitChunks: chunks' records say which tasks they hold, and may be split.
	FeatureExplicitChunks
	// CurrentFeatureLevel is the highest that this program knows.
	CurrentFeatureLevel = FeatureExplicitChunks
)

// NodeRecord is what a live controller says of itself. Programs of the first format leave
// the level out, and ignore it.
type NodeRecord struct {
	Node  string       `cbor:"node"`
	Level FeatureLevel `cbor:"level,omitempty"`
}

// LevelRecord is the cluster's feature level.
type LevelRecord struct {
	Level FeatureLevel `cbor:"level"`
}
