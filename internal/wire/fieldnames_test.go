package wire

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"maps"
	"path/filepath"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// moduleRoot is the path of the repository's root directory, relative to this package.
const moduleRoot = "../.."

// protocolFieldNames lists the field names of the protocol that do not occur as ordinary words in
// the code. Other packages use the names of the Go fields declared in this package instead.
var protocolFieldNames = []string{
	"answerTo", "bankS", "bids", "breed", "breeds", "crew", "dueS", "guessS", "hearth", "hearths",
	"hire", "hold", "lane", "ledgerMark", "lifeMs", "localGb", "mandate", "marketPrice", "mercyS",
	"piece", "pieces", "pullGbPerS", "ramGb", "samePlace", "stitchS", "tally", "tenure",
	"warningS", "windfall",
}

// emulatorFieldNames lists the field names that package emulator may also use, because it submits
// invalid jobs that wire.Job cannot express, and decodes transactions but leaves their values
// encoded.
var emulatorFieldNames = []string{"breeds", "crew", "dueS", "hold", "pieces"}

func TestOnlyWireUsesProtocolFieldNames(t *testing.T) {
	for path, names := range stringLiteralsOutsideWire(t) {
		for _, name := range names {
			if !slices.Contains(protocolFieldNames, name) {
				continue
			}
			if strings.HasPrefix(path, "internal/emulator/") && slices.Contains(emulatorFieldNames, name) {
				continue
			}
			t.Errorf("%s: got protocol field name %q, want it in package wire only", path, name)
		}
	}
}

// If no message has a listed field name any more, the test above checks nothing for that name.
func TestProtocolFieldNamesExist(t *testing.T) {
	paths, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, path := range paths {
		if !strings.HasSuffix(path, "_test.go") {
			names = append(names, stringLiterals(t, path)...)
		}
	}
	for _, name := range protocolFieldNames {
		if !slices.Contains(names, name) {
			t.Errorf("protocolFieldNames has %q: got no message with this field, want one", name)
		}
	}
}

// stringLiteralsOutsideWire returns the string literals of each Go file outside this package, by
// the path of the file.
func stringLiteralsOutsideWire(t *testing.T) map[string][]string {
	t.Helper()
	found := map[string][]string{}
	for _, root := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, root), func(path string, entry fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			name, err := filepath.Rel(moduleRoot, path)
			if err != nil {
				return err
			}
			if filepath.ToSlash(name) == "internal/wire" {
				return filepath.SkipDir
			}
			if !entry.IsDir() && filepath.Ext(path) == ".go" {
				found[filepath.ToSlash(name)] = stringLiterals(t, path)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	if len(found) == 0 {
		t.Fatal("Go files outside package wire: got none, want at least one")
	}
	return found
}

// stringLiterals returns the sorted string literals of a Go file, including the names in its CBOR
// field tags.
func stringLiterals(t *testing.T, path string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	found := map[string]bool{}
	ast.Inspect(file, func(node ast.Node) bool {
		literal, ok := node.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		text, err := strconv.Unquote(literal.Value)
		if err != nil {
			t.Fatalf("%s: %v", path, err)
		}
		found[text] = true
		if tag, ok := reflect.StructTag(text).Lookup("cbor"); ok {
			name, _, _ := strings.Cut(tag, ",")
			found[name] = true
		}
		return true
	})
	return slices.Sorted(maps.Keys(found))
}
