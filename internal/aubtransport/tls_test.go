package aubtransport_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubtransport"
)

// authority is a certificate authority for tests.
type authority struct {
	t      *testing.T
	dir    string
	cert   *x509.Certificate
	key    *ecdsa.PrivateKey
	caFile string
}

func newAuthority(t *testing.T) *authority {
	a := &authority{t: t, dir: t.TempDir()}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	qt.Assert(t, err, qt.IsNil)
	a.cert, err = x509.ParseCertificate(der)
	qt.Assert(t, err, qt.IsNil)
	a.caFile = filepath.Join(a.dir, "ca.pem")
	writePEM(t, a.caFile, "CERTIFICATE", der)
	return a
}

// issue writes a certificate for 127.0.0.1, valid until the given time, and its key.
func (a *authority) issue(name string, serial int64, until time.Time) aubtransport.CertOpts {
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-2 * time.Hour), NotAfter: until,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	qt.Assert(a.t, err, qt.IsNil)
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	qt.Assert(a.t, err, qt.IsNil)
	opts := aubtransport.CertOpts{
		CertFile: filepath.Join(a.dir, name+".pem"), KeyFile: filepath.Join(a.dir, name+".key"), CAFile: a.caFile,
	}
	writePEM(a.t, opts.KeyFile, "PRIVATE KEY", keyDER)
	writePEM(a.t, opts.CertFile, "CERTIFICATE", der)
	return opts
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	qt.Assert(t, err, qt.IsNil)
	return key
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	data := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	qt.Assert(t, os.WriteFile(file, data, 0o600), qt.IsNil)
}

func newTransport(t *testing.T, opts aubtransport.CertOpts) *aubtransport.Transport {
	certs, err := aubtransport.NewCertificates(aubcommon.NewCommon(aubtimer.NewReal()), opts)
	qt.Assert(t, err, qt.IsNil)
	return aubtransport.NewTransport(certs)
}

// callHealth starts a gRPC server with the server transport, calls its health check
// through the client transport and returns the error of the call.
func callHealth(t *testing.T, server, client *aubtransport.Transport) error {
	s := server.NewServer(aubcommon.NewCommon(aubtimer.NewReal()))
	grpc_health_v1.RegisterHealthServer(s, health.NewServer())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	go func() { _ = s.Serve(l) }()
	defer s.Stop()
	conn, err := client.Dial(l.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	defer conn.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	_, err = grpc_health_v1.NewHealthClient(conn).Check(ctx, &grpc_health_v1.HealthCheckRequest{}, grpc.WaitForReady(false))
	return err
}

func TestPeersMustPresentSiteCertificates(t *testing.T) {
	site, otherAuthority := newAuthority(t), newAuthority(t)
	until := time.Now().Add(time.Hour)
	server := newTransport(t, site.issue("entry-a", 2, until))
	foreignOpts := otherAuthority.issue("foreign", 3, until)
	foreignOpts.CAFile = site.caFile
	tests := []struct {
		name   string
		client *aubtransport.Transport
		want   codes.Code
	}{
		{"peer of the site", newTransport(t, site.issue("agent-a", 4, until)), codes.OK},
		{"certificate of another authority", newTransport(t, foreignOpts), codes.Unavailable},
		{"no certificate", newTransport(t, aubtransport.CertOpts{}), codes.Unavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Check(t, status.Code(callHealth(t, server, tt.client)), qt.Equals, tt.want)
		})
	}
}

func TestUnusableCertificateFilesAreRefused(t *testing.T) {
	a := newAuthority(t)
	expired := a.issue("expired", 2, time.Now().Add(-time.Hour))
	mismatched := a.issue("mismatched", 3, time.Now().Add(time.Hour))
	mismatched.KeyFile = a.issue("other-key", 4, time.Now().Add(time.Hour)).KeyFile
	invalidCA := a.issue("invalid-ca", 5, time.Now().Add(time.Hour))
	invalidCA.CAFile = invalidCA.KeyFile
	tests := []struct {
		name string
		opts aubtransport.CertOpts
		file string
	}{
		{"expired", expired, expired.CertFile},
		{"key of another certificate", mismatched, mismatched.CertFile},
		{"authority file without certificate", invalidCA, invalidCA.CAFile},
		{"absent file", aubtransport.CertOpts{CertFile: "absent.pem", KeyFile: "absent.key"}, "absent.pem"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := aubtransport.NewCertificates(aubcommon.NewCommon(aubtimer.NewReal()), tt.opts)
			var certErr *aubtransport.CertError
			qt.Assert(t, errors.As(err, &certErr), qt.IsTrue)
			qt.Check(t, certErr.File, qt.Equals, tt.file)
		})
	}
}

func TestCertificatesReloadWhenFileChanges(t *testing.T) {
	a := newAuthority(t)
	opts := a.issue("entry-a", 2, time.Now().Add(time.Hour))
	timer := aubtimer.NewManual(time.Now())
	certs, err := aubtransport.NewCertificates(aubcommon.NewCommon(timer), opts)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, serialOf(t, certs), qt.Equals, int64(2))

	a.issue("entry-a", 3, time.Now().Add(time.Hour))
	later := time.Now().Add(time.Minute)
	qt.Assert(t, os.Chtimes(opts.CertFile, later, later), qt.IsNil)
	timer.Advance(10 * time.Second)
	qt.Check(t, serialOf(t, certs), qt.Equals, int64(3))

	qt.Assert(t, os.WriteFile(opts.CertFile, []byte("broken"), 0o600), qt.IsNil)
	later = later.Add(time.Minute)
	qt.Assert(t, os.Chtimes(opts.CertFile, later, later), qt.IsNil)
	timer.Advance(10 * time.Second)
	qt.Check(t, serialOf(t, certs), qt.Equals, int64(3), qt.Commentf("a broken file must leave the previous certificate active"))
}

// TestCertificatesReloadWhenAnyFileChanges guards against a replaced authority that stays trusted.
func TestCertificatesReloadWhenAnyFileChanges(t *testing.T) {
	a := newAuthority(t)
	opts := a.issue("entry-a", 2, time.Now().Add(time.Hour))
	timer := aubtimer.NewManual(time.Now())
	certs, err := aubtransport.NewCertificates(aubcommon.NewCommon(timer), opts)
	qt.Assert(t, err, qt.IsNil)
	before := certs.ClientConfig().RootCAs
	next, err := os.ReadFile(newAuthority(t).caFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(opts.CAFile, next, 0o600), qt.IsNil)
	later := time.Now().Add(time.Minute)
	qt.Assert(t, os.Chtimes(opts.CAFile, later, later), qt.IsNil)
	timer.Advance(10 * time.Second)
	qt.Assert(t, certs.ClientConfig().RootCAs.Equal(before), qt.IsFalse)
}

// TestCertificatesReloadWhenAFileBecomesOlder guards against a replaced authority that stays trusted
// because its file keeps the time at which it was made.
func TestCertificatesReloadWhenAFileBecomesOlder(t *testing.T) {
	a := newAuthority(t)
	opts := a.issue("entry-a", 2, time.Now().Add(time.Hour))
	timer := aubtimer.NewManual(time.Now())
	certs, err := aubtransport.NewCertificates(aubcommon.NewCommon(timer), opts)
	qt.Assert(t, err, qt.IsNil)
	before := certs.ClientConfig().RootCAs
	next, err := os.ReadFile(newAuthority(t).caFile)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, os.WriteFile(opts.CAFile, next, 0o600), qt.IsNil)
	earlier := time.Now().Add(-time.Hour)
	qt.Assert(t, os.Chtimes(opts.CAFile, earlier, earlier), qt.IsNil)
	timer.Advance(10 * time.Second)
	qt.Assert(t, certs.ClientConfig().RootCAs.Equal(before), qt.IsFalse)
}

func serialOf(t *testing.T, c *aubtransport.Certificates) int64 {
	cert, err := c.ServerConfig().GetCertificate(&tls.ClientHelloInfo{})
	qt.Assert(t, err, qt.IsNil)
	return cert.Leaf.SerialNumber.Int64()
}
