// Package docs checks that the names and log messages in the documents exist in the code.
package docs

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// moduleRoot is the path of the repository's root directory, relative to this package.
const moduleRoot = "../.."

// sourceIndex is the set of names and log messages in the code that documents may mention.
type sourceIndex struct {
	packages      map[string]bool // directories, such as internal/scheduler
	identifiers   map[string]bool // package.Name, package.Type.Method and package.Type.Field
	logMessages   map[string]bool // log messages of levels info, warn and error
	debugMessages map[string]bool // log messages of level debug
	tests         map[string]bool // names of tests and benchmarks
}

// indexSource parses all Go files and returns the names and log messages that they declare. Of test
// files, it indexes only the names of tests and benchmarks.
func indexSource(t *testing.T) *sourceIndex {
	t.Helper()
	s := &sourceIndex{
		packages:      map[string]bool{},
		identifiers:   map[string]bool{},
		logMessages:   map[string]bool{},
		debugMessages: map[string]bool{},
		tests:         map[string]bool{},
	}
	fileSet := token.NewFileSet()
	for _, top := range []string{"cmd", "internal"} {
		err := filepath.WalkDir(filepath.Join(moduleRoot, top), func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			directory, err := filepath.Rel(moduleRoot, filepath.Dir(path))
			if err != nil {
				return err
			}
			s.packages[filepath.ToSlash(directory)] = true
			file, err := parser.ParseFile(fileSet, path, nil, 0)
			if err != nil {
				return err
			}
			if strings.HasSuffix(path, "_test.go") {
				s.addTests(file)
				return nil
			}
			s.addDeclarations(file)
			s.addLogMessages(file)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	return s
}

// addTests adds the names of the tests and benchmarks in a file.
func (s *sourceIndex) addTests(file *ast.File) {
	for _, declaration := range file.Decls {
		if function, ok := declaration.(*ast.FuncDecl); ok && testName.MatchString(function.Name.Name) {
			s.tests[function.Name.Name] = true
		}
	}
}

// addDeclarations adds the names of the package-level identifiers, methods and fields in a file.
func (s *sourceIndex) addDeclarations(file *ast.File) {
	prefix := file.Name.Name + "."
	for _, declaration := range file.Decls {
		switch declaration := declaration.(type) {
		case *ast.FuncDecl:
			name := declaration.Name.Name
			if declaration.Recv != nil {
				name = receiverType(declaration) + "." + name
			}
			s.identifiers[prefix+name] = true
		case *ast.GenDecl:
			for _, spec := range declaration.Specs {
				s.addSpec(prefix, spec)
			}
		}
	}
}

func (s *sourceIndex) addSpec(prefix string, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		for _, name := range spec.Names {
			s.identifiers[prefix+name.Name] = true
		}
	case *ast.TypeSpec:
		s.identifiers[prefix+spec.Name.Name] = true
		structure, ok := spec.Type.(*ast.StructType)
		if !ok {
			return
		}
		for _, field := range structure.Fields.List {
			for _, name := range field.Names {
				s.identifiers[prefix+spec.Name.Name+"."+name.Name] = true
			}
		}
	}
}

// receiverType returns the name of the receiver type of a method. It returns "" if the receiver is
// neither of a type with a plain name nor a pointer to one, for example if the type is generic.
func receiverType(declaration *ast.FuncDecl) string {
	expression := declaration.Recv.List[0].Type
	if pointer, ok := expression.(*ast.StarExpr); ok {
		expression = pointer.X
	}
	if name, ok := expression.(*ast.Ident); ok {
		return name.Name
	}
	return ""
}

// addLogMessages adds the messages that a file logs with slog.Info, slog.Error and slog.Debug.
func (s *sourceIndex) addLogMessages(file *ast.File) {
	ast.Inspect(file, func(node ast.Node) bool {
		call, ok := node.(*ast.CallExpr)
		if !ok || len(call.Args) == 0 {
			return true
		}
		function, ok := call.Fun.(*ast.SelectorExpr)
		if !ok {
			return true
		}
		messages := s.messagesLoggedBy(function.Sel.Name)
		if messages == nil {
			return true
		}
		if logger, ok := function.X.(*ast.Ident); !ok || logger.Name != "slog" {
			return true
		}
		literal, ok := call.Args[0].(*ast.BasicLit)
		if !ok {
			return true
		}
		if message, err := strconv.Unquote(literal.Value); err == nil {
			messages[message] = true
		}
		return true
	})
}

// messagesLoggedBy returns the set to which the messages of a function of package slog belong, or
// nil if the function is not one of Info, Error and Debug.
func (s *sourceIndex) messagesLoggedBy(function string) map[string]bool {
	switch function {
	case "Info", "Warn", "Error":
		return s.logMessages
	case "Debug":
		return s.debugMessages
	default:
		return nil
	}
}

func readDocument(t *testing.T, name string) string {
	t.Helper()
	b, err := os.ReadFile(filepath.Join(moduleRoot, "docs", name))
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

var (
	codeSpan       = regexp.MustCompile("`([^`\n]+)`")
	directoryName  = regexp.MustCompile(`^(cmd|internal)(/[a-z]+)+/?$`)
	fileName       = regexp.MustCompile(`^(cmd|internal)(/[a-z]+)+/[a-z_]+\.go$`)
	testName       = regexp.MustCompile(`\b(Test|Benchmark)[A-Z]\w+`)
	identifierName = regexp.MustCompile(`^[a-z]+(\.[A-Za-z]\w*){1,2}$`)
	tunableName    = regexp.MustCompile(`^[A-Z][A-Za-z]+$`)
	storedKey      = regexp.MustCompile(`^[a-z]/`)
)

// A document that mentions a removed name misleads operators who search the code for it.
func TestDocumentedNamesExist(t *testing.T) {
	s := indexSource(t)
	packageNames := map[string]bool{} // names of packages, without their parent directories
	for directory := range s.packages {
		packageNames[filepath.Base(directory)] = true
	}
	for _, document := range []string{"architecture.md", "design.md"} {
		checked := 0
		for _, match := range codeSpan.FindAllStringSubmatch(readDocument(t, document), -1) {
			name := match[1]
			packageName, _, _ := strings.Cut(name, ".")
			switch {
			case fileName.MatchString(name):
				if _, err := os.Stat(filepath.Join(moduleRoot, name)); err != nil {
					t.Errorf("%s: got file %s, want one that exists", document, name)
				}
			case directoryName.MatchString(name):
				if !s.packages[strings.TrimSuffix(name, "/")] {
					t.Errorf("%s: got package %s, want one that exists", document, name)
				}
			case identifierName.MatchString(name) && packageNames[packageName]:
				if !s.identifiers[name] {
					t.Errorf("%s: got identifier %s, want one that exists", document, name)
				}
			default:
				continue
			}
			checked++
		}
		for _, name := range testName.FindAllString(readDocument(t, document), -1) {
			if !s.tests[name] {
				t.Errorf("%s: got test %s, want one that exists", document, name)
			}
		}
		if checked == 0 {
			t.Errorf("%s: got no name that can be checked, want at least one", document)
		}
	}
}

// Operators look up tunables in the documents and set them by these names in policy scripts.
func TestDocumentedTunablesExist(t *testing.T) {
	s := indexSource(t)
	for _, document := range []string{"architecture.md", "design.md", "operations.md", "performance.md"} {
		checked := 0
		for _, match := range codeSpan.FindAllStringSubmatch(readDocument(t, document), -1) {
			name := match[1]
			if !tunableName.MatchString(name) {
				continue
			}
			checked++
			if !s.identifiers["tuning."+name] && !s.identifiers["tuning.Tuning."+name] {
				t.Errorf("%s: got tunable %s, want one that exists", document, name)
			}
		}
		if checked == 0 {
			t.Errorf("%s: got no tunable, want at least one", document)
		}
	}
}

// The table of stored keys in architecture.md must have every key that internal/records defines.
func TestStoredKeysAreDocumented(t *testing.T) {
	file, err := parser.ParseFile(token.NewFileSet(), filepath.Join(moduleRoot, "internal/records/keys.go"), nil, 0)
	if err != nil {
		t.Fatal(err)
	}
	text := readDocument(t, "architecture.md")
	checked := 0
	ast.Inspect(file, func(node ast.Node) bool {
		literal, ok := node.(*ast.BasicLit)
		if !ok || literal.Kind != token.STRING {
			return true
		}
		key, err := strconv.Unquote(literal.Value)
		if err != nil || !storedKey.MatchString(key) {
			return true
		}
		checked++
		if !strings.Contains(text, "`"+key) {
			t.Errorf("architecture.md: stored key %s is missing", key)
		}
		return true
	})
	if checked == 0 {
		t.Error("internal/records/keys.go: got no key, want at least one")
	}
}

// Operators look up log messages in operations.md. It must list every message of level info, warn or
// error and no message that is no longer logged.
func TestLogMessagesAreDocumented(t *testing.T) {
	s := indexSource(t)
	text := readDocument(t, "operations.md")
	documented := documentedMessages(text, "## Log lines of level", 1)
	if len(documented) == 0 || len(s.logMessages) == 0 {
		t.Fatalf("log messages: got %d documented and %d logged, want at least one of each", len(documented), len(s.logMessages))
	}
	for message := range s.logMessages {
		if !slices.Contains(documented, message) {
			t.Errorf("message %q is logged but not listed in operations.md", message)
		}
	}
	for _, message := range documented {
		if !s.logMessages[message] {
			t.Errorf("message %q is listed in operations.md but not logged", message)
		}
	}
}

// Messages of level debug need not be documented, but documented ones must be logged.
func TestDocumentedDebugMessagesAreLogged(t *testing.T) {
	s := indexSource(t)
	documented := documentedMessages(readDocument(t, "operations.md"), "## Lines of level debug", 2)
	if len(documented) == 0 {
		t.Fatal("documented messages of level debug: got none, want at least one")
	}
	for _, message := range documented {
		if !s.debugMessages[message] {
			t.Errorf("message %q is listed in operations.md but not logged at level debug", message)
		}
	}
}

// documentedMessages returns the code spans in one column of the tables in sections whose heading
// starts with the given prefix. Columns are counted from 1.
func documentedMessages(text, heading string, column int) []string {
	var messages []string
	inSection := false
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, "## ") {
			inSection = strings.HasPrefix(line, heading)
			continue
		}
		if !inSection || !strings.HasPrefix(line, "|") {
			continue
		}
		cells := strings.Split(line, "|")
		for _, match := range codeSpan.FindAllStringSubmatch(cells[column], -1) {
			messages = append(messages, match[1])
		}
	}
	return messages
}
