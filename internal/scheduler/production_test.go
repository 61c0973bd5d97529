package scheduler

import (
	"os"
	"path/filepath"
	"testing"

	"ambersill/internal/productiontest"
)

// productionDirectory is where the production version has this package.
const productionDirectory = "internal/core"

// The production version, which deploy/service.toml names, is taken from this repository's
// history: it reads what this one writes below the feature level, and this one reads what it
// writes, each to the same jobs with the same tasks done, placed and waiting.
func TestProductionExchange(t *testing.T) {
	production := productiontest.Extract(t, filepath.Join("..", ".."))
	for _, name := range []string{"production_exchange_test.go", "production_load_test.go"} {
		content, err := os.ReadFile(filepath.Join("testdata", name+".txt"))
		if err != nil {
			t.Fatal(err)
		}
		production.AddFile(t, productionDirectory, name, content)
	}
	directory := t.TempDir()
	currentFile := filepath.Join(directory, "ours")
	productionFile := filepath.Join(directory, "theirs")
	writeExchange(t, currentFile)
	production.Test(t, productionDirectory, "TestExchange", "EXCHANGE_IN="+currentFile, "EXCHANGE_OUT="+productionFile)
	checkExchange(t, productionFile)
}
