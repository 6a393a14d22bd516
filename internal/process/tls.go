package process

import (
	"crypto/tls"

	"github.com/pkg/errors"

	"github.com/baobabspool/baobabspool/internal/config"
)

// TLSFiles name the PEM files for messages between our processes. Either all are
// set or none; with none the connections are plain TCP.
type TLSFiles struct {
	// Cert and Key are the certificate of this process, which is shown both as a
	// server and as a client; it must name the IP address of the process.
	Cert, Key string
	// CA signs the certificates of all processes. A process without such a
	// certificate is refused.
	CA string
}

// Check adds what is wrong with the files to problems.
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

// Open reads the files. It returns nil, which stands for plain TCP, when none is
// set.
func (f TLSFiles) Open() (*Certificates, error) { return f.open(tls.VersionTLS13) }

// FrontTLS names the PEM files of the callers' API. Either both are set or none.
type FrontTLS struct {
	Cert, Key string
}

func (f FrontTLS) check(problems *config.Problems) {
	if (f.Cert == "") != (f.Key == "") {
		problems.Add("http-tls-cert", "http-tls-cert and http-tls-key go together")
	}
}

// Open reads the files. It returns nil when none is set.
func (f FrontTLS) Open() (certificates *Certificates, err error) {
	defer func() { err = errors.Wrap(err, "callers' API") }()
	return TLSFiles{Cert: f.Cert, Key: f.Key}.open(tls.VersionTLS12)
}

// DefaultTLSReloadMs is how often the certificate files are read again.
const DefaultTLSReloadMs = 10_000

// checkReload adds an interval that is not positive to problems when there are
// files to read.
func checkReloadInterval(cert string, intervalMs int64, problems *config.Problems) {
	if cert != "" && intervalMs <= 0 {
		problems.Add("tls-reload-ms", "must be above 0")
	}
}
