package httpconn_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/httpconn"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

var _ = ginkgo.Describe("A refused call", func() {
	// Guards against a late copy of the refusal that is taken for the answer to a later offer
	// of the same request. The identifier of the request does not tell them apart.
	ginkgo.It("is not sent again on its connection, however many others were refused there since", func() {
		const others = 500
		address, _ := startUpstream(func(conn net.Conn, reader *bufio.Reader) {
			for {
				request, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				if request.RequestURI == "/call" {
					// The response names the connection.
					_, _ = io.WriteString(conn, responseText("call", conn.RemoteAddr().String()))
					continue
				}
				_, _ = io.WriteString(conn, responseText("other", "x"))
			}
		})
		client := httpconn.NewClient(clock.System())
		refuse := func(id, identity string) (body string) {
			call := getCall(address, id)
			call.Identity = identity
			response, err := client.Do(context.Background(), call)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			response.MarkRefused()
			return readBody(response)
		}
		used := map[string]bool{}
		for range 3 {
			connection := refuse("call", "call")
			gomega.Expect(used).NotTo(gomega.HaveKey(connection))
			used[connection] = true
			for i := range others {
				refuse("other", fmt.Sprintf("other-%d", i))
			}
		}
	})
})
