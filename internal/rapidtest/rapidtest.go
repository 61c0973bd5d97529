// Package rapidtest runs property-based tests with a fixed seed, so that every run checks the
// same cases.
package rapidtest

import (
	"flag"
	"testing"
)

// Main runs a package's tests and returns the exit code. It sets the seed of package rapid to 1
// and stops rapid from saving failed cases in files, unless the command line sets these flags.
// The flag -rapid.seed=0 selects a random seed.
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
