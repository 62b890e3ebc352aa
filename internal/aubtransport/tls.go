// Package aubtransport creates the gRPC connections between the site's processes
// and the TLS configuration of every listener.
package aubtransport

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/samber/oops"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
)

// recheckInterval is the minimum time between two checks whether the certificate
// file has changed.
const recheckInterval = 5 * time.Second

// expiryWarningPeriod is the remaining validity below which loading a certificate
// logs a warning.
const expiryWarningPeriod = 14 * 24 * time.Hour

// CertOpts holds the paths of one listener's certificate files.
type CertOpts struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// fileTimes holds the modification times of the certificate, key and CA file in
// nanoseconds; 0 for a file that is not set.
type fileTimes [3]int64

// modifiedAt returns the times at which the files were last changed. The error is
// *CertError.
func (o CertOpts) modifiedAt() (fileTimes, error) {
	var times fileTimes
	for i, file := range []string{o.CertFile, o.KeyFile, o.CAFile} {
		if file == "" {
			continue
		}
		info, err := os.Stat(file)
		if err != nil {
			return fileTimes{}, &CertError{File: file, Err: err}
		}
		times[i] = info.ModTime().UnixNano()
	}
	return times, nil
}

// CertError reports a certificate file that can't be used and the cause.
type CertError struct {
	File string
	Err  error
}

// Error implements error.
func (e *CertError) Error() string { return "certificate file " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CertError) Unwrap() error { return e.Err }

// Certificates holds a certificate with its key and the CA pool, and reloads them
// when one of the files changes.
type Certificates struct {
	common aubcommon.Common
	opts   CertOpts

	mu         sync.Mutex
	cert       *tls.Certificate
	caPool     *x509.CertPool
	modifiedAt fileTimes
	checkedAt  time.Time
}

// NewCertificates loads the files, so that an invalid or expired certificate is
// an error at startup. It returns nil if no certificate file is set.
func NewCertificates(common aubcommon.Common, opts CertOpts) (*Certificates, error) {
	if opts.CertFile == "" {
		return nil, nil
	}
	c := &Certificates{common: common.WithPart("tls"), opts: opts}
	if err := c.load(); err != nil {
		return nil, err
	}
	return c, nil
}

// ServerConfig returns the TLS configuration of a listener. Clients must present
// a certificate of the CA if a CA file is set.
func (c *Certificates) ServerConfig() *tls.Config {
	cfg := &tls.Config{MinVersion: tls.VersionTLS12}
	cfg.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		cert, pool := c.currentCert()
		connCfg := &tls.Config{
			MinVersion:   tls.VersionTLS12,
			Certificates: []tls.Certificate{*cert},
			NextProtos:   []string{"h2", "http/1.1"},
		}
		if pool != nil {
			connCfg.ClientCAs = pool
			connCfg.ClientAuth = tls.RequireAndVerifyClientCert
		}
		return connCfg, nil
	}
	cfg.GetCertificate = func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
		cert, _ := c.currentCert()
		return cert, nil
	}
	return cfg
}

// ClientConfig returns the TLS configuration of a connection to another process of
// the site. Its CA pool is the one loaded when ClientConfig is called.
func (c *Certificates) ClientConfig() *tls.Config {
	_, pool := c.currentCert()
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		RootCAs:    pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.currentCert()
			return cert, nil
		},
	}
}

// currentCert returns the certificate and the CA pool. At most once every
// recheckInterval it first reloads them if one of the files changed; if that fails, the
// previous ones stay active.
func (c *Certificates) currentCert() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.common.Timer.Now()
	if now.Sub(c.checkedAt) >= recheckInterval {
		c.checkedAt = now
		c.reloadIfModified()
	}
	return c.cert, c.caPool
}

// reloadIfModified loads the files again if the modification time of one of them differs from
// that at the last load. A file that replaces another may be older.
func (c *Certificates) reloadIfModified() {
	modifiedAt, err := c.opts.modifiedAt()
	if err != nil || modifiedAt == c.modifiedAt {
		return
	}
	if err := c.load(); err != nil {
		c.common.Log.Error("Certificate reload failed; the previous certificate stays active.", zap.Error(err))
		return
	}
	c.common.Log.Info("Certificate reloaded.", zap.String("file", c.opts.CertFile))
}

// load reads and checks the files. On an error the certificate and the CA pool stay
// as they are.
func (c *Certificates) load() error {
	// The times are read first, so that a file that changes meanwhile is loaded again.
	modifiedAt, err := c.opts.modifiedAt()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(c.opts.CertFile, c.opts.KeyFile)
	if err != nil {
		return &CertError{File: c.opts.CertFile, Err: err}
	}
	if err := c.checkValidity(cert); err != nil {
		return err
	}
	pool, err := loadCAPool(c.opts.CAFile)
	if err != nil {
		return err
	}
	c.cert, c.caPool, c.modifiedAt = &cert, pool, modifiedAt
	return nil
}

// checkValidity returns an error if the certificate is not valid now, and logs a
// warning if it expires soon.
func (c *Certificates) checkValidity(cert tls.Certificate) error {
	now := c.common.Timer.Now()
	if now.Before(cert.Leaf.NotBefore) {
		return &CertError{File: c.opts.CertFile, Err: oops.Errorf("not valid before %s", cert.Leaf.NotBefore)}
	}
	remaining := cert.Leaf.NotAfter.Sub(now)
	if remaining <= 0 {
		return &CertError{File: c.opts.CertFile, Err: oops.Errorf("expired at %s", cert.Leaf.NotAfter)}
	}
	if remaining < expiryWarningPeriod {
		c.common.Log.Warn("Certificate expires soon.", zap.String("file", c.opts.CertFile), zap.Duration("left", remaining))
	}
	return nil
}

// loadCAPool reads the CA certificates of a PEM file; it returns nil if no file is set.
func loadCAPool(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &CertError{File: file, Err: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, &CertError{File: file, Err: oops.Errorf("contains no certificate")}
	}
	return pool, nil
}
