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

// Certificates holds the content of a set of PEM files. New connections use the
// latest content that was valid as a whole; established ones are never touched.
// The methods of a nil pointer stand for plain TCP.
type Certificates struct {
	files   TLSFiles
	current atomic.Pointer[material]
	stop    chan struct{}
	done    chan struct{}
}

// material is what the files held at one time.
type material struct {
	raw            []byte
	server, client *tls.Config
	expires        time.Time
}

// open reads the files. It returns nil when none is set.
func (f TLSFiles) open(lowest uint16) (*Certificates, error) {
	if f.Cert == "" {
		return nil, nil
	}
	loaded, err := f.read(lowest)
	if err != nil {
		return nil, err
	}
	c := &Certificates{files: f}
	c.current.Store(loaded)
	return c, nil
}

func (f TLSFiles) read(lowest uint16) (loaded *material, err error) {
	defer func() { err = errors.Wrap(err, "load TLS files") }()
	cert, err := os.ReadFile(f.Cert)
	if err != nil {
		return nil, err
	}
	key, err := os.ReadFile(f.Key)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(cert, key)
	if err != nil {
		return nil, err
	}
	loaded = &material{raw: bytes.Join([][]byte{cert, key}, nil), expires: pair.Leaf.NotAfter}
	loaded.server = &tls.Config{MinVersion: lowest, Certificates: []tls.Certificate{pair}}
	if f.CA == "" {
		return loaded, nil
	}
	authority, err := os.ReadFile(f.CA)
	if err != nil {
		return nil, err
	}
	loaded.raw = append(loaded.raw, authority...)
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(authority) {
		return nil, errors.Errorf("%s holds no certificate", f.CA)
	}
	loaded.server.ClientAuth, loaded.server.ClientCAs = tls.RequireAndVerifyClientCert, pool
	loaded.client = &tls.Config{MinVersion: lowest, Certificates: []tls.Certificate{pair}, RootCAs: pool}
	return loaded, nil
}

// Server returns the configuration of a server, which follows the files.
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

// Client returns the configuration of a client as of now.
func (c *Certificates) Client() *tls.Config {
	if c == nil {
		return nil
	}
	return c.current.Load().client
}

// follow reads the files again at an interval. Files that do not fit together,
// as between the writes of two of them, are ignored until they do. name is that
// of the gauge with the remaining time.
func (c *Certificates) follow(every clock.Millis, t *telemetry.Telemetry, name string) error {
	if c == nil {
		return nil
	}
	log := t.Logger("tls")
	c.stop, c.done = make(chan struct{}), make(chan struct{})
	go func() {
		defer close(c.done)
		ticker := time.NewTicker(every.Duration())
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				c.reload(t, log)
			case <-c.stop:
				return
			}
		}
	}()
	return t.Gauge(name, func() int64 { return int64(time.Until(c.current.Load().expires).Seconds()) })
}

func (c *Certificates) reload(t *telemetry.Telemetry, log *zap.Logger) {
	before := c.current.Load()
	loaded, err := c.files.read(before.server.MinVersion)
	if err != nil {
		t.Event("tlsReloadFailed")
		log.Warn("certificate files cannot be used", zap.String("file", c.files.Cert), zap.Error(err))
		return
	}
	if bytes.Equal(loaded.raw, before.raw) {
		return
	}
	c.current.Store(loaded)
	t.Event("tlsReloaded")
	log.Info("certificate reloaded", zap.String("file", c.files.Cert), zap.Time("expires", loaded.expires))
}

func (c *Certificates) close() {
	if c != nil && c.stop != nil {
		close(c.stop)
		<-c.done
	}
}
