package cputime_test

import (
	"os"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/cputime"
)

// TestProcessTime guards against a ProcessTime that reads the wrong fields of
// /proc/PID/stat: for this process, it must agree with SelfTime within 50 ms.
func TestProcessTime(t *testing.T) {
	gomega.RegisterTestingT(t)
	for end := time.Now().Add(300 * time.Millisecond); time.Now().Before(end); {
		_ = os.Getpid()
	}
	gomega.Expect(cputime.ProcessTime(os.Getpid())).To(gomega.BeNumerically("~", cputime.SelfTime(), 50*time.Millisecond))
	gomega.Expect(cputime.ProcessTime(0)).To(gomega.BeZero())
}
