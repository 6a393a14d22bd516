package cputime_test

import (
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/cputime"
)

// TestOf checks that Of and Used agree on this process, so that it fails if Of reads
// the wrong fields of /proc.
func TestOf(t *testing.T) {
	gomega.RegisterTestingT(t)
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
		_ = os.Getpid()
	}
	gomega.Expect(cputime.Of(os.Getpid())).To(gomega.BeNumerically("~", cputime.Used(), 50*time.Millisecond))
	gomega.Expect(cputime.Of(0)).To(gomega.BeZero())
}
