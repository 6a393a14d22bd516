package deployment_test

import (
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
	"time"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/baobabspool/baobabspool/internal/standin"
)

// authority is a certificate authority. It signs one certificate, which all processes of
// a test share. Its files are in folder.
type authority struct {
	folder string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
}

// newAuthority returns an authority that is valid for an hour and writes its certificate.
func newAuthority() *authority {
	a := &authority{folder: ginkgo.GinkgoT().TempDir()}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	a.key, a.cert = newCertificate(template, template, nil)
	a.write("ca.pem", "CERTIFICATE", a.cert.Raw)
	return a
}

// newCertificate returns a new key and its certificate, signed with the key by. If by is
// nil, the certificate is self-signed.
func newCertificate(template, parent *x509.Certificate, by *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	if by == nil {
		by = key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, by)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	cert, err := x509.ParseCertificate(der)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	return key, cert
}

// issue writes a new key and a certificate that is valid until the given time to the
// files that the processes read.
func (a *authority) issue(until time.Time) {
	key, cert := newCertificate(&x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: "process"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: until, IPAddresses: []net.IP{net.ParseIP(standin.LoopbackOf(os.Getpid()))},
		KeyUsage: x509.KeyUsageDigitalSignature,
	}, a.cert, a.key)
	secret, err := x509.MarshalECPrivateKey(key)
	gomega.Expect(err).NotTo(gomega.HaveOccurred())
	a.write("cert.pem", "CERTIFICATE", cert.Raw)
	a.write("key.pem", "EC PRIVATE KEY", secret)
}

// write writes a PEM file. It replaces the file at once, so that no process reads a part
// of it.
func (a *authority) write(name, kind string, der []byte) {
	path := filepath.Join(a.folder, name)
	gomega.Expect(os.WriteFile(path+".new", pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)).To(gomega.Succeed())
	gomega.Expect(os.Rename(path+".new", path)).To(gomega.Succeed())
}

// flags returns the command-line flags that name the file of the authority and, for each
// prefix, the files of certificate and key. It returns none for a nil authority.
func (a *authority) flags(prefixes ...string) (flags []string) {
	if a == nil {
		return nil
	}
	for _, prefix := range prefixes {
		flags = append(flags, "--"+prefix+"-cert", filepath.Join(a.folder, "cert.pem"), "--"+prefix+"-key", filepath.Join(a.folder, "key.pem"))
	}
	return append(flags, "--tls-ca", filepath.Join(a.folder, "ca.pem"))
}

// processFlags is like flags, but adds the flag that makes an entry or an agent reload
// the files every 500 ms.
func (a *authority) processFlags(prefixes ...string) []string {
	if a == nil {
		return nil
	}
	return append(a.flags(prefixes...), "--tls-reload-ms", "500")
}

// clientConfig returns the TLS configuration of a caller that trusts the authority and
// has no certificate.
func (a *authority) clientConfig() *tls.Config {
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
}
