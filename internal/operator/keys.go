// Package operator implements the commands of operators: key management,
// rollouts of bundles, planned stops and status queries.
package operator

import (
	"crypto/ecdsa"
	"crypto/ed25519"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"errors"
	"fmt"
	"io/fs"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Validity periods of certificates. maxClockSkew allows for clocks of other hosts
// that run behind.
const (
	authorityValidityYears = 10
	hostValidityYears      = 2
	maxClockSkew           = time.Hour
)

// KeyDir is a directory with the certificate authority and the certificates
// and keys that it issued.
type KeyDir struct {
	Path string
}

// HostFiles holds the paths of the certificate and key of a host.
type HostFiles struct {
	Certificate string
	Key         string
}

// Authority returns the path of the authority's certificate.
func (d KeyDir) Authority() string { return filepath.Join(d.Path, "authority.pem") }

// NewHost issues a certificate and key for a host with the given role and IP,
// which may be nil. It creates the authority if the directory has none.
func (d KeyDir) NewHost(host, role string, ip net.IP) (HostFiles, error) {
	authority, authorityKey, err := d.loadAuthority()
	if err != nil {
		return HostFiles{}, err
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return HostFiles{}, fmt.Errorf("generate key of %s: %w", host, err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber: newSerialNumber(),
		Subject:      pkix.Name{CommonName: host, OrganizationalUnit: []string{role}},
		DNSNames:     []string{host},
		NotBefore:    now.Add(-maxClockSkew),
		NotAfter:     now.AddDate(hostValidityYears, 0, 0),
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	if ip != nil {
		template.IPAddresses = []net.IP{ip}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, authority, &key.PublicKey, authorityKey)
	if err != nil {
		return HostFiles{}, fmt.Errorf("create certificate of %s: %w", host, err)
	}
	files := HostFiles{Certificate: filepath.Join(d.Path, host+".pem"), Key: filepath.Join(d.Path, host+".key")}
	return files, writeKeyPair(files, der, key)
}

// NewOperator writes a new signing key of an operator and returns the public
// key in base64, as settings files have it. It never overwrites an existing key.
func (d KeyDir) NewOperator(name string) (string, error) {
	public, private, err := ed25519.GenerateKey(rand.Reader)
	if err != nil {
		return "", fmt.Errorf("generate signing key of %s: %w", name, err)
	}
	der, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		return "", fmt.Errorf("encode signing key of %s: %w", name, err)
	}
	if err := writePEM(d.SigningKey(name), "PRIVATE KEY", der, 0o600); err != nil {
		return "", err
	}
	return base64.StdEncoding.EncodeToString(public), nil
}

// SigningKey returns the path of an operator's signing key.
func (d KeyDir) SigningKey(name string) string { return filepath.Join(d.Path, name+".signing.key") }

// ReadSigningKey reads an operator's signing key.
func ReadSigningKey(file string) (ed25519.PrivateKey, error) {
	block, err := readPEM(file)
	if err != nil {
		return nil, err
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block)
	if err != nil {
		return nil, fmt.Errorf("parse signing key %s: %w", file, err)
	}
	key, ok := parsed.(ed25519.PrivateKey)
	if !ok {
		return nil, fmt.Errorf("signing key %s: expected an ed25519 key", file)
	}
	return key, nil
}

// loadAuthority reads the certificate and key of the authority, and creates them
// if they do not exist.
func (d KeyDir) loadAuthority() (*x509.Certificate, *ecdsa.PrivateKey, error) {
	files := HostFiles{Certificate: d.Authority(), Key: filepath.Join(d.Path, "authority.key")}
	if _, err := os.Stat(files.Certificate); errors.Is(err, fs.ErrNotExist) {
		if err := d.createAuthority(files); err != nil {
			return nil, nil, err
		}
	}
	der, err := readPEM(files.Certificate)
	if err != nil {
		return nil, nil, err
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, nil, fmt.Errorf("parse authority certificate %s: %w", files.Certificate, err)
	}
	der, err = readPEM(files.Key)
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParseECPrivateKey(der)
	if err != nil {
		return nil, nil, fmt.Errorf("parse authority key %s: %w", files.Key, err)
	}
	return certificate, key, nil
}

func (d KeyDir) createAuthority(files HostFiles) error {
	if err := os.MkdirAll(d.Path, 0o700); err != nil {
		return fmt.Errorf("create key directory %s: %w", d.Path, err)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return fmt.Errorf("generate key of authority: %w", err)
	}
	now := time.Now()
	template := &x509.Certificate{
		SerialNumber:          newSerialNumber(),
		Subject:               pkix.Name{CommonName: "filbertlever authority"},
		NotBefore:             now.Add(-maxClockSkew),
		NotAfter:              now.AddDate(authorityValidityYears, 0, 0),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return fmt.Errorf("create certificate of authority: %w", err)
	}
	return writeKeyPair(files, der, key)
}

func newSerialNumber() *big.Int {
	const bits = 127
	n, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), bits))
	return n
}

func writeKeyPair(files HostFiles, certificate []byte, key *ecdsa.PrivateKey) error {
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return fmt.Errorf("encode key %s: %w", files.Key, err)
	}
	if err := writePEM(files.Key, "EC PRIVATE KEY", der, 0o600); err != nil {
		return err
	}
	return writePEM(files.Certificate, "CERTIFICATE", certificate, 0o644)
}

func writePEM(file, kind string, der []byte, mode fs.FileMode) error {
	out, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return fmt.Errorf("write key: %w", err)
	}
	if err := pem.Encode(out, &pem.Block{Type: kind, Bytes: der}); err != nil {
		_ = out.Close()
		return fmt.Errorf("write key %s: %w", file, err)
	}
	return out.Close()
}

func readPEM(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read key: %w", err)
	}
	block, _ := pem.Decode(data)
	if block == nil {
		return nil, fmt.Errorf("read key %s: not a PEM file", file)
	}
	return block.Bytes, nil
}
