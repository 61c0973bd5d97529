package core

// FeatureLevel is the cluster's version of records and calls. It is raised once every
// configured controller runs a program that knows it, and never goes down; until then only
// what the older program reads is written.
type FeatureLevel int

// The feature levels.
const (
	// FirstFormat: chunks are laid out by a setting.
	FirstFormat FeatureLevel = iota
	// SizedChunks: chunks' records say which tasks they hold, and may be split.
	SizedChunks
	// CurrentLevel is the highest that this program knows.
	CurrentLevel = SizedChunks
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

// Level is the cluster's feature level as far as the partition was told.
func (p *Partition) Level() FeatureLevel { return p.level }

// SetLevel tells the cluster's feature level.
func (p *Partition) SetLevel(level FeatureLevel) { p.level = max(p.level, level) }
