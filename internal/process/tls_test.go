package process_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
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

	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/process"
	"github.com/baobabspool/baobabspool/internal/telemetry"
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

// issueCertificate writes a new self-signed certificate and its key to folder and returns
// their paths. The certificate is also the CA.
func issueCertificate(folder string) process.TLSFiles {
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
	// Guards against accepting a process with a certificate of another authority as a peer.
	ginkgo.It("lets only processes with a certificate of the authority talk to each other", func() {
		trustedFiles, otherFiles := issueCertificate(ginkgo.GinkgoT().TempDir()), issueCertificate(ginkgo.GinkgoT().TempDir())
		trusted, err := trustedFiles.Open()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		listener, err := wire.Listen("127.0.0.1:0", wire.Mux{
			"test.echo": wire.Handle(func(_ context.Context, text string, _ wire.Send) (any, error) { return text, nil }),
		}, trusted.Server())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(listener.Close)
		other, err := otherFiles.Open()
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		reply := ""
		call := func(option wire.ClientOption) error {
			clients := wire.NewClients("c", option, wire.WithHeartbeat(500, 100))
			defer clients.Close()
			return clients.Call(context.Background(), listener.Address(), "test.echo", "hello", &reply, nil)
		}
		gomega.Expect(call(wire.WithTLS(trusted.Client))).To(gomega.Succeed())
		gomega.Expect(reply).To(gomega.Equal("hello"))
		gomega.Expect(call(wire.WithTLS(other.Client))).NotTo(gomega.Succeed())
		gomega.Expect(call(wire.WithTLS((*process.Certificates)(nil).Client))).NotTo(gomega.Succeed())
	})

	ginkgo.It("reports files that are missing or incomplete", func() {
		config := process.DefaultEntryConfig()
		config.TLS.Cert, config.HTTPTLS.Key = "cert.pem", "key.pem"
		gomega.Expect(config.Validate()).To(gomega.MatchError(gomega.And(
			gomega.ContainSubstring("tls-cert, tls-key and tls-ca go together"),
			gomega.ContainSubstring("http-tls-cert and http-tls-key go together"))))
		_, err := process.TLSFiles{Cert: "none", Key: "none", CA: "none"}.Open()
		gomega.Expect(err).To(gomega.HaveOccurred())
	})

	// Guards against the use of a new certificate with the old key, if the files are read
	// when only one of them has been written.
	ginkgo.It("keeps the old files until the new ones fit together", func() {
		folder := ginkgo.GinkgoT().TempDir()
		files, other := issueCertificate(folder), issueCertificate(ginkgo.GinkgoT().TempDir())
		config := process.EndpointConfig{
			Node: "m1", FailureDomain: "a", Region: "r", Listen: "127.0.0.1:0", VMsAddress: "127.0.0.1:1",
			ServiceAddress: "127.0.0.1:1", TLS: files, TLSReloadMs: 20,
		}
		t, err := telemetry.New("m1", zap.NewNop())
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		endpoint, err := process.NewEndpoint(config, t)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(func() { _ = endpoint.Shutdown(context.Background()) })
		servedCertificate := func() []byte {
			conn, err := tls.Dial("tcp", endpoint.Address(), &tls.Config{InsecureSkipVerify: true})
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			defer func() { _ = conn.Close() }()
			return conn.ConnectionState().PeerCertificates[0].Raw
		}
		events := func(name string) int64 {
			return t.Totals()[telemetry.Series{Kind: telemetry.KindEvent, Label: name}]
		}
		first := servedCertificate()
		copyFile := func(from, to string) {
			content, err := os.ReadFile(from)
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(os.WriteFile(to, content, 0o600)).To(gomega.Succeed())
		}
		copyFile(other.Cert, files.Cert)
		gomega.Eventually(func() int64 { return events("tlsReloadFailed") }).Should(gomega.BeNumerically(">=", 1))
		gomega.Expect(servedCertificate()).To(gomega.Equal(first))
		copyFile(other.Key, files.Key)
		gomega.Eventually(servedCertificate).ShouldNot(gomega.Equal(first))
	})
})
