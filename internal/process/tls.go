package process

import (
	"crypto/tls"
	"crypto/x509"
	"os"

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
	set := 0
	for _, file := range []string{f.Cert, f.Key, f.CA} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 3 {
		problems.Add("tls-cert", "tls-cert, tls-key and tls-ca go together")
	}
}

// Load reads the files and returns the configuration of a server and of a
// client; both are nil when no file is set.
func (f TLSFiles) Load() (server, client *tls.Config, err error) {
	defer func() { err = errors.Wrap(err, "load TLS files") }()
	if f.Cert == "" {
		return nil, nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, nil, err
	}
	authority, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, nil, err
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, nil, errors.Errorf("%s holds no certificate", f.CA)
	}
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: pool,
	}
	client = &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate}, RootCAs: pool}
	return server, client, nil
}

// FrontTLS names the PEM files of the callers' API. Either both are set or none.
type FrontTLS struct {
	Cert, Key string
}

func (f FrontTLS) check(problems *config.Problems) {
	if (f.Cert == "") != (f.Key == "") {
		problems.Add("http-tls-cert", "http-tls-cert and http-tls-key go together")
	}
}

// Load reads the files and returns the configuration of a server, nil when no
// file is set.
func (f FrontTLS) Load() (server *tls.Config, err error) {
	if f.Cert == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrap(err, "load TLS files of the callers' API")
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{certificate}}, nil
}
