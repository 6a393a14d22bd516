// Package fixedseed makes randomised tests reproducible: they run with the same seed
// unless the command line sets another seed.
package fixedseed

import (
	"flag"
	"testing"
)

// seed is the seed of randomised tests unless the command line sets another seed.
const seed = "20261204"

// Main runs the tests of a package; TestMain calls it. Before, it sets the seed of package
// rapid, disables the files in which rapid saves failures, and sets the given flags by
// name. It does not change a flag that the command line sets to a value other than the
// default of the flag, and it ignores flags that are not defined.
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
