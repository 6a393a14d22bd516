package process

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/baobabspool/baobabspool/internal/telemetry"
	"github.com/baobabspool/baobabspool/pkg/clock"
)

// Certificates holds the TLS configurations loaded from a set of PEM files. New
// connections use the latest set that was valid as a whole. Established connections
// keep theirs. A nil *Certificates stands for plain TCP.
type Certificates struct {
	files   TLSFiles
	current atomic.Pointer[certificateSet]
	stop    chan struct{}
	stopped chan struct{}
}

// certificateSet is the content of the files at the time of one read.
type certificateSet struct {
	// raw is the concatenated content of the files, to detect changes.
	raw []byte
	// client is nil if no CA file is set.
	server, client *tls.Config
	// expiresAt is the end of validity of the certificate.
	expiresAt time.Time
}

// open reads the files. It returns nil if no certificate is set.
func (f TLSFiles) open(minVersion uint16) (*Certificates, error) {
	if f.Cert == "" {
		return nil, nil
	}
	loaded, err := f.read(minVersion)
	if err != nil {
		return nil, err
	}
	c := &Certificates{files: f}
	c.current.Store(loaded)
	return c, nil
}

func (f TLSFiles) read(minVersion uint16) (loaded *certificateSet, err error) {
	defer func() { err = errors.Wrap(err, "load TLS files") }()
	certPEM, err := os.ReadFile(f.Cert)
	if err != nil {
		return nil, err
	}
	keyPEM, err := os.ReadFile(f.Key)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certPEM, keyPEM)
	if err != nil {
		return nil, err
	}
	loaded = &certificateSet{raw: bytes.Join([][]byte{certPEM, keyPEM}, nil), expiresAt: pair.Leaf.NotAfter}
	loaded.server = &tls.Config{MinVersion: minVersion, Certificates: []tls.Certificate{pair}}
	if f.CA == "" {
		return loaded, nil
	}
	caPEM, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, err
	}
	loaded.raw = append(loaded.raw, caPEM...)
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(caPEM) {
		return nil, errors.Errorf("%s contains no PEM certificate", f.CA)
	}
	loaded.server.ClientAuth, loaded.server.ClientCAs = tls.RequireAndVerifyClientCert, pool
	loaded.client = &tls.Config{MinVersion: minVersion, Certificates: []tls.Certificate{pair}, RootCAs: pool}
	return loaded, nil
}

// Server returns the TLS configuration of a server. Each handshake uses the latest
// loaded files.
func (c *Certificates) Server() *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return c.current.Load().server, nil
		},
	}
}

// Client returns the TLS configuration of a client from the latest loaded files.
func (c *Certificates) Client() *tls.Config {
	if c == nil {
		return nil
	}
	return c.current.Load().client
}

// startReloading reads the files again at every interval in the background. Files
// that do not match, for example between the writes of a certificate and its key,
// are ignored until they do. gauge names the metric with the seconds until the
// certificate expires.
func (c *Certificates) startReloading(interval clock.Millis, t *telemetry.Telemetry, gauge string) error {
	if c == nil {
		return nil
	}
	logger := t.Logger("tls")
	c.stop, c.stopped = make(chan struct{}), make(chan struct{})
	go func() {
		defer close(c.stopped)
		ticker := time.NewTicker(interval.Duration())
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.reload(t, logger)
			case <-c.stop:
				return
			}
		}
	}()
	return t.RegisterGauge(gauge, func() int64 { return int64(time.Until(c.current.Load().expiresAt).Seconds()) })
}

func (c *Certificates) reload(t *telemetry.Telemetry, logger *zap.Logger) {
	previous := c.current.Load()
	loaded, err := c.files.read(previous.server.MinVersion)
	if err != nil {
		t.CountEvent("tlsReloadFailed")
		logger.Warn("certificate files cannot be loaded, the previous certificate stays in use", zap.String("file", c.files.Cert), zap.Error(err))
		return
	}
	if bytes.Equal(loaded.raw, previous.raw) {
		return
	}
	c.current.Store(loaded)
	t.CountEvent("tlsReloaded")
	logger.Info("certificate reloaded", zap.String("file", c.files.Cert), zap.Time("expires", loaded.expiresAt))
}

func (c *Certificates) close() {
	if c != nil && c.stop != nil {
		close(c.stop)
		<-c.stopped
	}
}
