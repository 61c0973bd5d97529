package scheduler

import (
	"os"
	"path/filepath"
	"testing"

	"ambersill/internal/productiontest"
	"ambersill/internal/records"
	"ambersill/internal/wire"
)

// loadExchange has this version load what is stored.
func loadExchange(t *testing.T, e *exchange) *partitionHarness {
	harness := newPartitionHarness()
	for _, id := range exchangeMachines {
		harness.addMachine(id, "cpu", "a", false)
	}
	var chunks []records.LoadedChunk
	var journal []records.LoadedJournalRecord
	for key, raw := range e.Keys {
		if id, name, ok := records.ParseChunkKey(key); ok && key[0] == 'a' {
			c := records.LoadedChunk{JobID: id, Name: name, Revision: e.Stamps[key]}
			if err := wire.Unmarshal(raw, &c.Record); err != nil {
				t.Fatal(err)
			}
			chunks = append(chunks, c)
		}
		if key[0] == 'g' {
			l := records.LoadedJournalRecord{Revision: e.Stamps[key]}
			if err := wire.Unmarshal(raw, &l.Record); err != nil {
				t.Fatal(err)
			}
			journal = append(journal, l)
		}
		readOthers(t, key, raw)
	}
	harness.Restore(chunks, journal)
	return harness
}

// firstChunkWrite is the write of a new job's first chunk below the feature level.
func firstChunkWrite(record *records.JobRecord) wire.Write {
	return wire.Write{Put: records.FirstChunkKey(0, record.Job.ID), Value: records.NewFirstChunk(record, records.FeatureInitialFormat, testSettings())}
}

// The production version, which deploy/service.toml names, is taken from this repository's
// history: it reads what this one writes below the feature level, and this one reads what
// it writes, each to the same jobs with the same tasks done, live and waiting.
func TestProductionExchange(t *testing.T) {
	const directory = "internal/core" // where the production version has this package
	production := productiontest.Extract(t, filepath.Join("..", ".."))
	for _, name := range []string{"production_exchange_test.go", "production_load_test.go"} {
		content, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
		if err != nil {
			t.Fatal(err)
		}
		production.AddFile(t, directory, name, content)
	}
	ours, theirs := filepath.Join(t.TempDir(), "ours"), filepath.Join(t.TempDir(), "theirs")
	writeExchange(t, ours)
	production.Test(t, directory, "TestExchange", "EXCHANGE_IN="+ours, "EXCHANGE_OUT="+theirs)
	checkExchange(t, theirs)
}
