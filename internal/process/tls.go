package process

import (
	"crypto/tls"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/config"
)

// TLSFiles holds the paths of the PEM files for messages between the processes of the
// system. Either all are set or none. If none is set, the connections are plain TCP.
type TLSFiles struct {
	// Cert is the file with the certificate of this process, and Key the file with its
	// private key. The process presents the certificate both as a server and as a
	// client. The certificate must contain the IP address of the process.
	Cert, Key string
	// CA is the file with the certificate of the authority that signs the certificates
	// of all processes. A connection is rejected if the peer has no certificate of this
	// authority.
	CA string
}

// Check adds a problem if some but not all of the files are set. It does not read them.
func (f TLSFiles) Check(problems *config.Problems) {
	setFiles := 0
	for _, file := range []string{f.Cert, f.Key, f.CA} {
		if file != "" {
			setFiles++
		}
	}
	if setFiles != 0 && setFiles != 3 {
		problems.Add("tls-cert", "tls-cert, tls-key and tls-ca go together")
	}
}

// Open reads the files for TLS 1.3. It returns nil, which stands for plain TCP, if none is
// set.
func (f TLSFiles) Open() (*Certificates, error) { return f.open(tls.VersionTLS13) }

// HTTPTLSFiles holds the paths of the PEM files with the certificate of the API for
// callers and its private key. Either both are set or none. If none is set, the API is
// plain HTTP. Callers need no certificate.
type HTTPTLSFiles struct {
	Cert, Key string
}

func (f HTTPTLSFiles) check(problems *config.Problems) {
	if (f.Cert == "") != (f.Key == "") {
		problems.Add("http-tls-cert", "http-tls-cert and http-tls-key go together")
	}
}

// Open reads the files for TLS 1.2 or later. It returns nil, which stands for plain HTTP,
// if none is set.
func (f HTTPTLSFiles) Open() (certificates *Certificates, err error) {
	defer func() { err = errors.Wrap(err, "TLS of the callers' API") }()
	return TLSFiles{Cert: f.Cert, Key: f.Key}.open(tls.VersionTLS12)
}

// DefaultTLSReloadMs is the default interval at which the certificate files are
// read again, in milliseconds.
const DefaultTLSReloadMs = 10_000

// checkReloadInterval adds a problem if cert is not empty, so that there are files to
// reload, and the interval is not positive.
func checkReloadInterval(cert string, intervalMs int64, problems *config.Problems) {
	if cert != "" && intervalMs <= 0 {
		problems.Add("tls-reload-ms", "must be above 0")
	}
}
