package messenger

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"errors"
	"fmt"
	"os"

	"github.com/bramleyhinge/bramleyhinge/pkg/model"
)

const nonceSize = 16

// Secret is the key that all instances share to authenticate calls between them.
type Secret string

// sign returns the MAC of the parts. A zero byte ends each part, so that different parts with the
// same concatenation have different MACs.
func (s Secret) sign(parts ...string) []byte {
	mac := hmac.New(sha256.New, []byte(s))
	for _, p := range parts {
		mac.Write([]byte(p))
		mac.Write([]byte{0})
	}
	return mac.Sum(nil)
}

func (s Secret) verify(mac []byte, parts ...string) bool {
	return hmac.Equal(mac, s.sign(parts...))
}

// workProof returns the header value that authenticates one work call.
func (s Secret) workProof(path string, id model.RequestID) string {
	return hex.EncodeToString(s.sign("work", path, string(id)))
}

// VerifyProof reports whether the proof of a work call matches its path and request.
func (s Secret) VerifyProof(proof, path string, id model.RequestID) bool {
	mac, err := hex.DecodeString(proof)
	return err == nil && s.verify(mac, "work", path, string(id))
}

func newNonce() []byte {
	b := make([]byte, nonceSize)
	// crypto/rand.Read never returns an error on supported systems.
	rand.Read(b)
	return b
}

// LoadTLS reads the certificates for calls between instances; nil means plain TCP. Both sides must
// present a certificate that the CA signed.
func LoadTLS(files model.TLSFiles) (*tls.Config, error) {
	if files == (model.TLSFiles{}) {
		return nil, nil
	}
	cert, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return nil, fmt.Errorf("load tls.cert and tls.key: %w", err)
	}
	pem, err := os.ReadFile(files.CA)
	if err != nil {
		return nil, fmt.Errorf("load tls.ca: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, errors.New("load tls.ca: the file holds no certificate in PEM form")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{cert},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
