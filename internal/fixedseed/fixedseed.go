// Package fixedseed makes randomised tests reproducible: they run with the same seed
// unless the command line sets another.
package fixedseed

import (
	"flag"
	"testing"
)

// seed is the seed of randomised tests whose command line does not set one.
const seed = "20261204"

// Main runs the tests of a package. It sets the seed of package rapid, disables its
// failure files, and sets the given flags. Flags that the command line sets to
// another value than their default stay.
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
