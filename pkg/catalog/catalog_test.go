package catalog_test

import (
	"fmt"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/pkg/catalog"
	"github.com/baobabspool/baobabspool/pkg/spool"
)

func TestCatalog(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "catalog")
}

func contents(routes ...catalog.Route) catalog.Contents {
	return catalog.Contents{
		Version: 1, Routes: routes,
		Accounts: []catalog.Account{{ID: "weavers", Keys: []string{"k1", "k2"}}},
	}
}

func route(host, prefix string, targets ...catalog.Target) catalog.Route {
	if targets == nil {
		targets = []catalog.Target{{Service: "models", Weight: 1}}
	}
	return catalog.Route{Name: host + prefix, Host: host, Prefix: prefix, Targets: targets}
}

var _ = ginkgo.Describe("Catalog", func() {
	ginkgo.It("follows the longest prefix of the host", func() {
		c, err := catalog.New(contents(route("a.example", "/"), route("a.example", "/x/y/"), route("a.example", "/x/"), route("b.example", "/x/y/z/")))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.Route("A.example:80", "/x/y/z").Prefix).To(gomega.Equal("/x/y/"))
		gomega.Expect(c.Route("a.example", "/x/q").Prefix).To(gomega.Equal("/x/"))
		gomega.Expect(c.Route("a.example", "/xy").Prefix).To(gomega.Equal("/"))
		gomega.Expect(c.Route("b.example", "/x/y/")).To(gomega.BeNil())
	})

	ginkgo.It("knows an account by any of its keys, and none by an empty one", func() {
		c, err := catalog.New(contents(route("a", "/")))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.AccountOf("k2").ID).To(gomega.Equal(spool.AccountID("weavers")))
		gomega.Expect(c.AccountOf("")).To(gomega.BeNil())
		gomega.Expect(c.AccountOf("k3")).To(gomega.BeNil())
	})

	ginkgo.It("divides requests by weight, the same identity always alike", func() {
		r := route("a", "/", catalog.Target{Service: "old", Weight: 90}, catalog.Target{Service: "new", Weight: 10})
		counts := map[spool.ServiceName]int{}
		for i := range 10_000 {
			identity := fmt.Sprint(i)
			gomega.Expect(r.Target(identity)).To(gomega.Equal(r.Target(identity)))
			counts[r.Target(identity)]++
		}
		gomega.Expect(counts["new"]).To(gomega.BeNumerically("~", 1000, 150))
	})

	ginkgo.DescribeTable("rejects contents that cannot be followed", func(bad catalog.Contents) {
		_, err := catalog.New(bad)
		gomega.Expect(err).To(gomega.HaveOccurred())
	},
		ginkgo.Entry("no version", catalog.Contents{}),
		ginkgo.Entry("no host", contents(route("", "/"))),
		ginkgo.Entry("prefix without slashes", contents(route("a", "x"))),
		ginkgo.Entry("no target", contents(catalog.Route{Host: "a", Prefix: "/"})),
	)
})
