package process

import (
	"crypto/tls"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/config"
)

// TLSFiles names the PEM files for messages between the processes of the system.
// Either all are set or none. With none the connections are plain TCP.
type TLSFiles struct {
	// Cert and Key are the certificate of this process and its private key. The
	// process presents the certificate as a server and as a client. It must name the
	// IP address of the process.
	Cert, Key string
	// CA is the certificate of the authority that signs the certificates of all
	// processes. Connections of a process without such a certificate are rejected.
	CA string
}

// Check adds a problem if only some of the files are set.
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

// Open reads the files. It returns nil, which stands for plain TCP, if none is set.
func (f TLSFiles) Open() (*Certificates, error) { return f.open(tls.VersionTLS13) }

// FrontTLS names the PEM files with the certificate of the callers' API and its
// private key. Either both are set or none. With none the API is plain HTTP.
type HTTPTLSFiles struct {
	Cert, Key string
}

func (f HTTPTLSFiles) check(problems *config.Problems) {
	if (f.Cert == "") != (f.Key == "") {
		problems.Add("http-tls-cert", "http-tls-cert and http-tls-key go together")
	}
}

// Open reads the files. It returns nil, which stands for plain HTTP, if none is set.
func (f HTTPTLSFiles) Open() (certificates *Certificates, err error) {
	defer func() { err = errors.Wrap(err, "TLS of the callers' API") }()
	return TLSFiles{Cert: f.Cert, Key: f.Key}.open(tls.VersionTLS12)
}

// DefaultTLSReloadMs is the default interval at which the certificate files are
// read again, in milliseconds.
const DefaultTLSReloadMs = 10_000

// checkReloadInterval adds a problem if the interval is not positive although there
// are files to reload.
func checkReloadInterval(cert string, intervalMs int64, problems *config.Problems) {
	if cert != "" && intervalMs <= 0 {
		problems.Add("tls-reload-ms", "must be above 0")
	}
}
