package peerrpc

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"ambersill/internal/productiontest"
)

// During an upgrade, controllers of this version and of the version in production (named in
// deploy/service.toml) call each other. The test checks that each version decodes every field
// that the other encodes, and that this version serves every method that the other calls.
func TestProductionMessages(t *testing.T) {
	const directory = "internal/mesh" // directory of this package in the version in production
	production := productiontest.Extract(t, filepath.Join("..", ".."))
	exchangeSource, err := os.ReadFile("exchange_test.go")
	if err != nil {
		t.Fatal(err)
	}
	production.AddFile(t, directory, "exchange_test.go", bytes.Replace(exchangeSource, []byte("package peerrpc"), []byte("package mesh"), 1))
	testSource, err := os.ReadFile(filepath.Join("testdata", "production_test.go.txt"))
	if err != nil {
		t.Fatal(err)
	}
	production.AddFile(t, directory, "messages_test.go", testSource)

	peer, _ := serveAndConnect(t, &stubHandler{})
	newFile, productionFile := filepath.Join(t.TempDir(), "ours"), filepath.Join(t.TempDir(), "theirs")
	writeMessages(t, newFile)
	production.RunTest(t, directory, "TestMessages", "MESSAGES_IN="+newFile, "MESSAGES_OUT="+productionFile, "NEW_ADDR="+peer.Addr)
	checkMessages(t, productionFile)
}
