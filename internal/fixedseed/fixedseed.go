// Package fixedseed makes randomised tests give the same verdict on every run.
package fixedseed

import (
	"flag"
	"testing"
)

// seed is that of every randomised test whose command line names none.
const seed = "20261204"

// Main runs the tests of a package. It sets the seed and the given flags of
// package rapid unless the command line does, so that a run can be repeated and
// no file of failures is left behind.
func Main(m *testing.M, flags map[string]string) {
	flag.Parse()
	values := map[string]string{"rapid.seed": seed, "rapid.nofailfile": "true"}
	for name, value := range flags {
		values[name] = value
	}
	for name, value := range values {
		if f := flag.Lookup(name); f != nil && f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	m.Run()
}
