package scheduler

import (
	"os"
	"path/filepath"
	"testing"

	"ambersill/internal/productiontest"
)

// productionDirectory is the directory of this package in the production version.
const productionDirectory = "internal/core"

// The production version, which deploy/service.toml names, is extracted from this repository's
// history. It must read the records that this version writes in the initial format, and this
// version must read the records that it writes. Each must restore the same jobs with the same done,
// placed and waiting tasks as the other.
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
	production.RunTest(t, productionDirectory, "TestExchange", "EXCHANGE_IN="+currentFile, "EXCHANGE_OUT="+productionFile)
	checkExchange(t, productionFile)
}
