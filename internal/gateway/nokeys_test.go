package gateway_test

import (
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"
)

var _ = ginkgo.Describe("A configuration without accounts", func() {
	statusOf := func(accounts any, isSet bool) int {
		d := newDeployment()
		delete(d.config, "tenants")
		if isSet {
			d.config["tenants"] = accounts
		}
		d.publish()
		d.addEndpoint("e1", "app", nil)
		n := d.startGateway("g1")
		n.waitUntilServed("/open/x", "")
		r, _ := n.call("GET", "/lookup/x", "", "")
		return r.status
	}

	// Guards against requests that are refused for the lack of a key where no keys exist.
	ginkgo.It("asks for no key", func() {
		gomega.Expect(statusOf(nil, false)).To(gomega.Equal(http.StatusOK))
	})

	// Guards against requests without a key after the last account has been removed.
	ginkgo.It("asks for a key if it has an empty list of accounts", func() {
		gomega.Expect(statusOf([]any{}, true)).To(gomega.Equal(http.StatusUnauthorized))
		gomega.Expect(statusOf(nil, true)).To(gomega.Equal(http.StatusUnauthorized))
	})
})
