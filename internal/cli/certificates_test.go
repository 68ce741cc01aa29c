package cli

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

	"github.com/rogpeppe/go-internal/testscript"
)

// certificates creates, for each name, a certificate authority and a certificate that it signed for
// 127.0.0.1.
func certificates(ts *testscript.TestScript, names []string) {
	for _, name := range names {
		caKey, ca := certificate(ts, name+"-ca", nil, nil)
		key, cert := certificate(ts, name, ca, caKey)
		der, err := x509.MarshalECPrivateKey(key)
		ts.Check(err)
		writePEM(ts, name+".ca.pem", "CERTIFICATE", ca.Raw)
		writePEM(ts, name+".cert.pem", "CERTIFICATE", cert.Raw)
		writePEM(ts, name+".key.pem", "EC PRIVATE KEY", der)
	}
}

func certificate(ts *testscript.TestScript, name string, parent *x509.Certificate, signer *ecdsa.PrivateKey) (*ecdsa.PrivateKey, *x509.Certificate) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	ts.Check(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), Subject: pkix.Name{CommonName: name},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: parent == nil, BasicConstraintsValid: true,
		KeyUsage:    x509.KeyUsageDigitalSignature | x509.KeyUsageCertSign,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if parent == nil {
		parent, signer = template, key
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	ts.Check(err)
	cert, err := x509.ParseCertificate(der)
	ts.Check(err)
	return key, cert
}

func writePEM(ts *testscript.TestScript, name, kind string, der []byte) {
	b := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der})
	ts.Check(os.WriteFile(filepath.Join(ts.Getenv("WORK"), name), b, 0o600))
}
