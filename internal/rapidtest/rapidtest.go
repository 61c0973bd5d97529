// Package rapidtest gives property-based tests the same verdict in every run.
package rapidtest

import (
	"flag"
	"testing"
)

// Main runs a package's tests with a fixed seed for rapid, unless the command line sets
// one; -rapid.seed=0 draws anew. It returns the exit code.
func Main(m *testing.M) int {
	defaults := map[string]string{"rapid.seed": "1", "rapid.nofailfile": "true"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	return m.Run()
}
