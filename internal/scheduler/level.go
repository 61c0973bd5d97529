package scheduler

import "ambersill/internal/records"

// Level is the cluster's feature level as far as the partition was told.
func (p *Partition) Level() records.FeatureLevel { return p.featureLevel }

// SetLevel tells the cluster's feature level.
func (p *Partition) SetLevel(level records.FeatureLevel) { p.featureLevel = max(p.featureLevel, level) }
