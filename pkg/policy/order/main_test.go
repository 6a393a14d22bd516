package order_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed unless one is given.
func TestMain(m *testing.M) {
	flag.Parse()
	given := false
	flag.Visit(func(f *flag.Flag) { given = given || f.Name == "rapid.seed" })
	if !given {
		_ = flag.Set("rapid.seed", "20260512")
		_ = flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}
