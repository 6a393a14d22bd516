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
// connections use the files of the latest read that succeeded for all files.
// Established connections keep the certificates of their handshake. A nil
// *Certificates stands for connections without TLS.
type Certificates struct {
	files   TLSFiles
	current atomic.Pointer[certificateSet]
	// stop ends the goroutine of startReloading, which then closes stopped. Both are nil
	// if it was not started.
	stop    chan struct{}
	stopped chan struct{}
}

// certificateSet is the result of one successful read of the files.
type certificateSet struct {
	// raw is the concatenated content of the files. It is compared with the next read to
	// detect a change.
	raw []byte
	// server and client are the configurations for accepted and for opened connections.
	// client is nil if no CA file is set.
	server, client *tls.Config
	// expiresAt is the time at which the certificate of this process expires.
	expiresAt time.Time
}

// open reads the files for TLS of at least minVersion. It returns nil without an error if
// f.Cert is empty. Without a CA file, servers do not ask for a client certificate.
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

// Server returns the TLS configuration for a listener, or nil if c is nil. Each handshake
// uses the latest loaded files, so the result stays up to date.
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

// Client returns the TLS configuration for a new outgoing connection, from the latest
// loaded files. Call it again for each connection. It returns nil, which stands for plain
// TCP, if c is nil.
func (c *Certificates) Client() *tls.Config {
	if c == nil {
		return nil
	}
	return c.current.Load().client
}

// startReloading starts a goroutine that reads the files again once per interval. If
// they cannot be loaded, for example because a new certificate has been written but not
// yet its key, the previous certificate stays in use until a later read succeeds. gauge
// is the name of the metric with the seconds until the certificate expires. If c is nil,
// startReloading does nothing.
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
