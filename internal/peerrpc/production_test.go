package peerrpc

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"ambersill/internal/productiontest"
)

// Controllers of the production version, which deploy/service.toml names, serve beside
// those of this one during an upgrade: each decodes every field that the other encodes,
// and the production version finds every method that it calls.
func TestProductionMessages(t *testing.T) {
	const directory = "internal/mesh" // where the production version has this package
	production := productiontest.Extract(t, filepath.Join("..", ".."))
	shared, err := os.ReadFile("exchange_test.go")
	if err != nil {
		t.Fatal(err)
	}
	production.AddFile(t, directory, "exchange_test.go", bytes.Replace(shared, []byte("package peerrpc"), []byte("package mesh"), 1))
	entry, err := os.ReadFile(filepath.Join("testdata", "production_test.go.txt"))
	if err != nil {
		t.Fatal(err)
	}
	production.AddFile(t, directory, "messages_test.go", entry)

	peer, _ := connect(t, &ownerStub{})
	ours, theirs := filepath.Join(t.TempDir(), "ours"), filepath.Join(t.TempDir(), "theirs")
	writeMessages(t, ours)
	production.RunTest(t, directory, "TestMessages", "MESSAGES_IN="+ours, "MESSAGES_OUT="+theirs, "NEW_ADDR="+peer.Addr)
	checkMessages(t, theirs)
}
