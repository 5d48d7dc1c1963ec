package wire

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel/config"
)

// authority is a certificate authority for tests.
type authority struct {
	dir         string
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// newAuthority creates an authority and writes its certificate to authority.pem.
func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	authority := &authority{dir: t.TempDir(), key: key}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	authority.certificate = template
	authority.write(t, "authority", template, key)
	return authority
}

// write signs a certificate and writes it and its key to PEM files.
func (authority *authority) write(t *testing.T, name string, template *x509.Certificate, key *ecdsa.PrivateKey) {
	t.Helper()
	signed, err := x509.CreateCertificate(rand.Reader, template, authority.certificate, &key.PublicKey, authority.key)
	assert.NilError(t, err)
	private, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	for file, block := range map[string]*pem.Block{name + ".pem": {Type: "CERTIFICATE", Bytes: signed}, name + ".key": {Type: "EC PRIVATE KEY", Bytes: private}} {
		assert.NilError(t, os.WriteFile(filepath.Join(authority.dir, file), pem.EncodeToMemory(block), 0o600))
	}
}

// settings returns settings with a new certificate that the authority signed.
func (authority *authority) settings(t *testing.T, name string) config.TLSSettings {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	authority.write(t, name, &x509.Certificate{
		SerialNumber: big.NewInt(2), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}, key)
	path := func(file string) string { return filepath.Join(authority.dir, file) }
	return config.TLSSettings{Certificate: path(name + ".pem"), Key: path(name + ".key"), Authority: path("authority.pem")}
}

// TestTLS checks that a call succeeds only if both sides have certificates of the same
// authority.
func TestTLS(t *testing.T) {
	ours, theirs := newAuthority(t), newAuthority(t)
	serverTLS, err := ours.settings(t, "server").ServerConfig()
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := &Server{Key: "key", TLS: serverTLS, Handler: &echo{}}
	var running sync.WaitGroup
	running.Go(func() { assert.Check(t, server.Run(listener)) })
	defer running.Wait()
	defer func() { _ = listener.Close() }()
	cases := map[string]struct {
		settings config.TLSSettings
		works    bool
	}{
		"same authority":    {ours.settings(t, "client"), true},
		"another authority": {theirs.settings(t, "client"), false},
		"no TLS":            {config.TLSSettings{}, false},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			clientTLS, err := test.settings.ClientConfig()
			assert.NilError(t, err)
			peer := &Peer{Address: listener.Addr().String(), Key: "key", TLS: clientTLS}
			defer peer.Close()
			_, err = peer.Do(t.Context(), exchangeCall("a"))
			assert.Equal(t, err == nil, test.works, "%v", err)
		})
	}
}

// TestBadTLSSettings checks that missing or wrong PEM files give an error with a remedy.
func TestBadTLSSettings(t *testing.T) {
	good := newAuthority(t).settings(t, "server")
	cases := map[string]config.TLSSettings{
		"no such certificate": {Certificate: "missing.pem", Key: good.Key},
		"no key":              {Certificate: good.Certificate},
		"no such authority":   {Certificate: good.Certificate, Key: good.Key, Authority: "missing.pem"},
		"authority is a key":  {Certificate: good.Certificate, Key: good.Key, Authority: good.Key},
	}
	for name, settings := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.ServerConfig()
			assert.ErrorContains(t, err, "; name a PEM")
		})
	}
}
