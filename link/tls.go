package link

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/cockroachdb/errors"
)

// TLSConfigs returns the server and client configurations for mutual TLS. Nodes
// dial each other by IP address, so a certificate is bound to a node by its
// common name, which each end compares with the node name in the Hello exchange.
func TLSConfigs(authorities *x509.CertPool, certificate tls.Certificate) (server, client *tls.Config) {
	server = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		ClientAuth: tls.RequireAndVerifyClientCert, ClientCAs: authorities,
	}
	client = &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{certificate},
		// VerifyConnection verifies the certificate chain. Only the host name check
		// is skipped, because nodes have no DNS names.
		InsecureSkipVerify: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			return verifyChain(s.PeerCertificates, authorities)
		},
	}
	return server, client
}

// LoadTLS loads the certificate authority, the certificate and the key from PEM
// files and returns the configurations of TLSConfigs.
func LoadTLS(caFile, certFile, keyFile string) (server, client *tls.Config, err error) {
	pem, err := os.ReadFile(caFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read certificate authority file")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, nil, errors.Newf("%s contains no valid certificate", caFile)
	}
	certificate, err := tls.LoadX509KeyPair(certFile, keyFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "load certificate and key")
	}
	server, client = TLSConfigs(pool, certificate)
	return server, client, nil
}

func verifyChain(certificates []*x509.Certificate, authorities *x509.CertPool) error {
	if len(certificates) == 0 {
		return errors.New("peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range certificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := certificates[0].Verify(x509.VerifyOptions{
		Roots: authorities, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	return errors.Wrap(err, "verify peer certificate")
}
