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

func newContents(routes ...catalog.Route) catalog.Contents {
	return catalog.Contents{
		Version: 1, Routes: routes,
		Accounts: []catalog.Account{{ID: "weavers", Keys: []string{"k1", "k2"}}},
	}
}

func newRoute(host, prefix string, targets ...catalog.Target) catalog.Route {
	if targets == nil {
		targets = []catalog.Target{{Service: "models", Weight: 1}}
	}
	return catalog.Route{Name: host + prefix, Host: host, Prefix: prefix, Targets: targets}
}

var _ = ginkgo.Describe("Catalog", func() {
	ginkgo.It("chooses the route of the host with the longest matching prefix", func() {
		c, err := catalog.New(newContents(newRoute("a.example", "/"), newRoute("a.example", "/x/y/"), newRoute("a.example", "/x/"), newRoute("b.example", "/x/y/z/")))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.Route("A.example:80", "/x/y/z").Prefix).To(gomega.Equal("/x/y/"))
		gomega.Expect(c.Route("a.example", "/x/q").Prefix).To(gomega.Equal("/x/"))
		gomega.Expect(c.Route("a.example", "/xy").Prefix).To(gomega.Equal("/"))
		gomega.Expect(c.Route("b.example", "/x/y/")).To(gomega.BeNil())
	})

	ginkgo.It("finds an account by any of its keys, and none for an empty key", func() {
		c, err := catalog.New(newContents(newRoute("a", "/")))
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(c.AccountOf("k2").ID).To(gomega.Equal(spool.AccountID("weavers")))
		gomega.Expect(c.AccountOf("")).To(gomega.BeNil())
		gomega.Expect(c.AccountOf("k3")).To(gomega.BeNil())
	})

	ginkgo.It("divides requests by weight, and sends equal identities to the same service", func() {
		r := newRoute("a", "/", catalog.Target{Service: "old", Weight: 90}, catalog.Target{Service: "new", Weight: 10})
		counts := map[spool.ServiceName]int{}
		for i := range 10_000 {
			identity := fmt.Sprint(i)
			gomega.Expect(r.Target(identity)).To(gomega.Equal(r.Target(identity)))
			counts[r.Target(identity)]++
		}
		gomega.Expect(counts["new"]).To(gomega.BeNumerically("~", 1000, 150))
	})

	ginkgo.DescribeTable("rejects invalid contents", func(bad catalog.Contents) {
		_, err := catalog.New(bad)
		gomega.Expect(err).To(gomega.HaveOccurred())
	},
		ginkgo.Entry("no version", catalog.Contents{}),
		ginkgo.Entry("no host", newContents(newRoute("", "/"))),
		ginkgo.Entry("prefix without slashes", newContents(newRoute("a", "x"))),
		ginkgo.Entry("no target", newContents(catalog.Route{Host: "a", Prefix: "/"})),
	)
})
