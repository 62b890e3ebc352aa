// Package aubtransport builds the connections between the site's processes and
// the TLS settings of every listener.
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

// recheckInterval is how often the certificate files are looked at.
const recheckInterval = 5 * time.Second

// expiryWarningPeriod is the remaining life of a certificate from which the log warns.
const expiryWarningPeriod = 14 * 24 * time.Hour

// CertOpts names the files of one listener's certificates.
type CertOpts struct {
	CertFile string
	KeyFile  string
	CAFile   string
}

// CertError says which certificate file can't be used and why.
type CertError struct {
	File string
	Err  error
}

// Error implements error.
func (e *CertError) Error() string { return "certificate file " + e.File + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *CertError) Unwrap() error { return e.Err }

// Certificates serves a certificate pair and reads it again when its files change.
type Certificates struct {
	common aubcommon.Common
	opts   CertOpts

	mu         sync.Mutex
	cert       *tls.Certificate
	caPool     *x509.CertPool
	modifiedAt time.Time
	checkedAt  time.Time
}

// NewCertificates reads the files once, so that a wrong or expired certificate
// is an error at the start. It returns nil without a certificate file.
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

// ServerConfig returns the configuration of a listener. Callers must show a
// certificate when a CA file is set.
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

// ClientConfig returns the configuration of a connection to another process of the site.
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

// currentCert returns the current pair and reads changed files first. A file that can't
// be used leaves the old pair in force.
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

func (c *Certificates) reloadIfModified() {
	info, err := os.Stat(c.opts.CertFile)
	if err != nil || !info.ModTime().After(c.modifiedAt) {
		return
	}
	if err := c.load(); err != nil {
		c.common.Log.Error("Kept the old certificate.", zap.Error(err))
		return
	}
	c.common.Log.Info("Read the certificate again.", zap.String("file", c.opts.CertFile))
}

func (c *Certificates) load() error {
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
	info, err := os.Stat(c.opts.CertFile)
	if err != nil {
		return &CertError{File: c.opts.CertFile, Err: err}
	}
	c.cert, c.caPool, c.modifiedAt = &cert, pool, info.ModTime()
	return nil
}

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
		return nil, &CertError{File: file, Err: oops.Errorf("holds no certificate")}
	}
	return pool, nil
}
