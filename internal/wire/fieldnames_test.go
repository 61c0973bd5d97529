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

// moduleRoot is the repository's root, relative to this package.
const moduleRoot = "../.."

// protocolFieldNames are the protocol's field names that are not ordinary words of the code.
// Other packages use the names of this package's Go fields in their place.
var protocolFieldNames = []string{
	"answerTo", "bankS", "bids", "breed", "breeds", "crew", "dueS", "guessS", "hearth", "hearths",
	"hire", "hold", "lane", "ledgerMark", "lifeMs", "localGb", "mandate", "marketPrice", "mercyS",
	"piece", "pieces", "pullGbPerS", "ramGb", "samePlace", "stitchS", "tally", "tenure",
	"warningS", "windfall",
}

// emulatorFieldNames are those that package emulator may use: it submits jobs with faults
// that wire.Job cannot express, and keeps the values of transactions encoded.
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
			t.Errorf("%s: %q is a field name of the protocol, which only package wire may know", path, name)
		}
	}
}

// The list is useless for a name that no message has.
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
			t.Errorf("no message has a field %q", name)
		}
	}
}

// stringLiteralsOutsideWire returns the string literals of each Go file but this package's.
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
		t.Fatal("no Go files found")
	}
	return found
}

// stringLiterals returns the string stringLiterals of a file, and the names in its CBOR field tags.
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
