package process_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/process"
	"github.com/baobabspool/baobabspool/internal/wire"
)

func TestProcess(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "process")
}

func writePEM(path, kind string, der []byte) string {
	gomega.Expect(os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(gomega.Succeed())
	return path
}

// issue writes an authority and a certificate that it signs.
func issue(folder string) process.TLSFiles {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	secret, err := x509.MarshalECPrivateKey(key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	cert := writePEM(filepath.Join(folder, "cert.pem"), "CERTIFICATE", der)
	return process.TLSFiles{Cert: cert, CA: cert, Key: writePEM(filepath.Join(folder, "key.pem"), "EC PRIVATE KEY", secret)}
}

var _ = ginkgo.Describe("TLSFiles", func() {
	// Guards against processes of others that pass for ours on the network.
	ginkgo.It("lets only processes with a certificate of the authority talk to each other", func() {
		ours, strangers := issue(ginkgo.GinkgoT().TempDir()), issue(ginkgo.GinkgoT().TempDir())
		server, client, err := ours.Load()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		listener, err := wire.Listen("127.0.0.1:0", wire.Mux{
			"test.echo": wire.Handle(func(_ context.Context, text string, _ wire.Send) (any, error) { return text, nil }),
		}, server)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(listener.Close)
		_, strange, err := strangers.Load()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		reply := ""
		call := func(option wire.ClientOption) error {
			clients := wire.NewClients("c", option, wire.WithSilentAfter(500, 100))
			defer clients.Close()
			return clients.Call(context.Background(), listener.Address(), "test.echo", "hello", &reply, nil)
		}
		gomega.Expect(call(wire.WithTLS(client))).To(gomega.Succeed())
		gomega.Expect(reply).To(gomega.Equal("hello"))
		gomega.Expect(call(wire.WithTLS(strange))).NotTo(gomega.Succeed())
		gomega.Expect(call(wire.WithTLS(nil))).NotTo(gomega.Succeed())
	})

	ginkgo.It("reports files that are missing or incomplete", func() {
		config := process.DefaultEntryConfig()
		config.TLS.Cert, config.HTTPTLS.Key = "cert.pem", "key.pem"
		gomega.Expect(config.Validate()).To(gomega.MatchError(gomega.And(
			gomega.ContainSubstring("tls-cert, tls-key and tls-ca go together"),
			gomega.ContainSubstring("http-tls-cert and http-tls-key go together"))))
		_, _, err := process.TLSFiles{Cert: "none", Key: "none", CA: "none"}.Load()
		gomega.Expect(err).To(gomega.HaveOccurred())
	})
})
