package policy_test

import (
	"slices"
	"testing"

	_ "github.com/baobabspool/baobabspool/pkg/policy"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

// TestPoliciesAreRegistered guards against a policy that no import of package
// policy registers, although the settings may name it.
func TestPoliciesAreRegistered(t *testing.T) {
	want := map[string][2][]string{
		"routers": {spool.Routers.Names(), {"affinity", "leastLoaded", "roundRobin"}},
		"queues":  {spool.Queues.Names(), {"fair", "fcfs"}},
		"gates":   {spool.Gates.Names(), {"adaptive", "fixed"}},
		"retries": {spool.Retries.Names(), {"always", "budgeted"}},
	}
	for kind, names := range want {
		if !slices.Equal(names[0], names[1]) {
			t.Errorf("%s: got %v, want %v", kind, names[0], names[1])
		}
	}
}
