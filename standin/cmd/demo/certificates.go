package main

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
	"time"

	"github.com/cockroachdb/errors"
)

// certificateLifetime exceeds the duration of any run of the demo.
const certificateLifetime = 24 * time.Hour

// authority is a temporary certificate authority.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	serial      int64
	file        string
}

// newAuthority creates an authority and writes its certificate to dir.
func newAuthority(dir string) (*authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, errors.Wrap(err, "generate authority key")
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "demo authority"},
		NotBefore: time.Now().Add(-time.Minute), NotAfter: time.Now().Add(certificateLifetime),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, errors.Wrap(err, "sign authority certificate")
	}
	a := &authority{key: key, serial: 1, file: filepath.Join(dir, "ca.pem")}
	if a.certificate, err = x509.ParseCertificate(der); err != nil {
		return nil, errors.Wrap(err, "parse authority certificate")
	}
	return a, writePEM(a.file, "CERTIFICATE", der)
}

// issue writes the certificate and key that a node uses for links and for callers.
// The common name is the node name, which links require of a peer certificate.
func (a *authority) issue(name, address, certFile, keyFile string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return errors.Wrap(err, "generate key")
	}
	a.serial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(a.serial), Subject: pkix.Name{CommonName: name},
		IPAddresses: []net.IP{net.ParseIP(address)},
		NotBefore:   time.Now().Add(-time.Minute), NotAfter: time.Now().Add(certificateLifetime),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return errors.Wrapf(err, "sign certificate of %s", name)
	}
	private, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return errors.Wrap(err, "encode key")
	}
	return errors.Join(writePEM(certFile, "CERTIFICATE", der), writePEM(keyFile, "PRIVATE KEY", private))
}

func writePEM(file, kind string, der []byte) error {
	return os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600)
}
