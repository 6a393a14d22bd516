package settings_test

import (
	"encoding/json"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/settings"
)

func TestSettings(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "settings")
}

func change(path, value string) settings.Change {
	parsed, err := settings.ParsePath(path)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return settings.Change{Path: parsed, Value: json.RawMessage(value)}
}

var _ = ginkgo.Describe("Tree", func() {
	ginkgo.It("lets the narrower level override and explains which one did", func() {
		tree := settings.NewTree()
		for offset, text := range []string{"fleet", "region/sn-west", "failureDomain/ndar-a", "account/acme", "program/p.1"} {
			gomega.Expect(tree.Apply(change(text+"/call.timeoutMs", []string{"1", "2", "3", "4", "5"}[offset]), 10)).To(gomega.Succeed())
		}
		scope := settings.Scope{Region: "sn-west", FailureDomain: "ndar-a", Account: "acme", Program: "p.1"}
		gomega.Expect(tree.ValuesFor(scope).Duration(settings.CallTimeoutMs)).To(gomega.BeEquivalentTo(5))
		scope.Program = "p.2"
		layers := tree.ValuesFor(scope).Explain("call.timeoutMs")
		gomega.Expect(layers).To(gomega.HaveLen(5))
		gomega.Expect(layers[0].Level).To(gomega.Equal("account"))
		gomega.Expect(layers[0].ID).To(gomega.Equal("acme"))
		gomega.Expect(layers[0].InForce).To(gomega.BeTrue())
		gomega.Expect(layers[4].Level).To(gomega.Equal("default"))
	})

	// Guards against a change of the tree that modifies Values in use, which are read without
	// a lock.
	ginkgo.It("does not change values that were handed out", func() {
		tree := settings.NewTree()
		before := tree.ValuesFor(settings.Scope{})
		gomega.Expect(tree.Apply(change("fleet/limit.burst", "3"), 1)).To(gomega.Succeed())
		gomega.Expect(before.Number(settings.LimitBurst)).To(gomega.Equal(100.0))
		gomega.Expect(tree.Apply(change("fleet/limit.burst", "null"), 2)).To(gomega.Succeed())
		gomega.Expect(tree.ValuesFor(settings.Scope{}).Number(settings.LimitBurst)).To(gomega.Equal(100.0))
	})

	// Guards against a stale change that overwrites a later one, also when the tombstone of
	// the later change has been deleted.
	ginkgo.It("recognises a change based on an old offset, also after the value was unset and swept", func() {
		tree := settings.NewTree()
		gomega.Expect(tree.Apply(change("fleet/limit.burst", "3"), 5)).To(gomega.Succeed())
		gomega.Expect(tree.Apply(change("fleet/limit.burst", "null"), 7)).To(gomega.Succeed())
		stale := change("fleet/limit.burst", "4")
		stale.Base = 6
		for range 2 {
			conflict := &settings.ConflictError{}
			gomega.Expect(tree.CheckBase(stale)).To(gomega.BeAssignableToTypeOf(conflict))
			tree.Sweep(7)
			gomega.Expect(tree.Len()).To(gomega.Equal(0))
		}
		stale.Base = 7
		gomega.Expect(tree.CheckBase(stale)).To(gomega.Succeed())
	})
})

var _ = ginkgo.Describe("Validate", func() {
	ginkgo.DescribeTable("rejects what the registry forbids, with the path and the reason",
		func(path, value, reason string) {
			gomega.Expect(settings.Validate([]settings.Change{change(path, value)})).
				To(gomega.MatchError(gomega.And(gomega.ContainSubstring(path), gomega.ContainSubstring(reason))))
		},
		ginkgo.Entry("range", "fleet/limit.staticShare", "1.1", "outside the range"),
		ginkgo.Entry("below", "fleet/gate.maxConcurrency", "0", "outside the range"),
		ginkgo.Entry("fraction", "fleet/budget.calls", "1.5", "whole number"),
		ginkgo.Entry("type", "fleet/limit.burst", `"5"`, "must be a number"),
		ginkgo.Entry("not a number", "fleet/limit.burst", "NaN", "must be a number"),
		ginkgo.Entry("hexadecimal", "fleet/limit.burst", "0x10", "must be a number"),
		ginkgo.Entry("boolean", "failureDomain/a/drain.failureDomain", "1", "true or false"),
		ginkgo.Entry("level", "program/p/limit.burst", "5", "not at program"),
		ginkgo.Entry("name", "fleet/limit.brust", "5", "did you mean"),
		ginkgo.Entry("key", "fleet/drain.endpoint", "true", "in brackets"),
		ginkgo.Entry("no key", "fleet/limit.burst[x]", "5", "does not take a key"),
		ginkgo.Entry("text", "fleet/policy.router", `"a b"`, "identifier"),
	)

	ginkgo.It("reports all errors at once", func() {
		err := settings.Validate([]settings.Change{change("fleet/limit.burst", "0"), change("fleet/nothing", "1"), change("fleet/limit.burst", "5")})
		gomega.Expect(err).To(gomega.MatchError(gomega.And(gomega.ContainSubstring("outside"), gomega.ContainSubstring("does not exist"), gomega.ContainSubstring("named twice"))))
	})

	// Guards against a setting whose default Check rejects at one of its levels.
	ginkgo.It("accepts every default at every level it names", func() {
		for _, spec := range settings.Specs() {
			for _, level := range spec.Levels {
				path := settings.Path{Target: settings.Target{Level: level, ID: "x"}, Name: spec.Name}
				if spec.Keyed {
					path.Key = "ep"
				}
				raw, err := spec.Default.MarshalJSON()
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				_, err = settings.Check(path, raw)
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
			}
		}
	})
})

// FuzzParsePath guards against a parser that panics, or that accepts a text that differs
// from String of the resulting path.
func FuzzParsePath(f *testing.F) {
	for _, text := range []string{"fleet/limit.burst", "account/acme/limit.burst", "fleet/drain.endpoint[ep-1]", "fleet/[", "program/a.b/x[]"} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		path, err := settings.ParsePath(text)
		if err == nil && path.String() != text {
			t.Fatalf("text form of the path parsed from %q is %q", text, path)
		}
	})
}

// FuzzParseFile guards against a file that makes the parser panic or that yields
// changes that do not pass validation.
func FuzzParseFile(f *testing.F) {
	f.Add([]byte("version: 1\nsettings:\n  fleet/limit.burst: 5\n  account/a/limit.burst: null\n"))
	f.Add([]byte(`{"version":1,"settings":{"fleet/policy.router":"affinity"}}`))
	f.Add([]byte("version: 1\nsettings: &a\n  fleet/x: *a\n"))
	f.Add([]byte("settings:\n  ? [a]\n  : 0x10\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		changes, err := settings.ParseFile(data)
		if err != nil {
			return
		}
		if err := settings.Validate(changes); err != nil {
			t.Fatalf("ParseFile returned changes that do not pass Validate: %v", err)
		}
	})
}
