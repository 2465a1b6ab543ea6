// Package peer connects the processes of the system with each other over mutual TLS.
package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"

	"github.com/filbertlever/filbertlever"
)

// Roles that a certificate may have as its organisational unit.
const (
	RoleEntry    = string(filbertlever.RoleEntry)
	RoleAgent    = string(filbertlever.RoleAgent)
	RoleOperator = "Operator"
)

// ErrRole means that the role in a peer's certificate does not permit the request.
var ErrRole = errors.New("certificate does not allow this call")

// Files holds the paths of a process's key and certificates.
type Files struct {
	Authority   string
	Certificate string
	Key         string
}

// Keys holds a process's TLS key and certificates.
type Keys struct {
	certificate tls.Certificate
	authority   *x509.CertPool
}

// LoadKeys reads a process's keys from files.
func LoadKeys(files Files) (*Keys, error) {
	certificate, err := tls.LoadX509KeyPair(files.Certificate, files.Key)
	if err != nil {
		return nil, fmt.Errorf("load certificate %s: %w", files.Certificate, err)
	}
	authority, err := LoadAuthority(files.Authority)
	if err != nil {
		return nil, err
	}
	return &Keys{certificate: certificate, authority: authority}, nil
}

// LoadAuthority reads the certificate of the authority that signs all other certificates.
func LoadAuthority(file string) (*x509.CertPool, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("load authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fmt.Errorf("load authority %s: file contains no certificate", file)
	}
	return pool, nil
}

// ServerConfig returns the TLS settings for serving peers, which must present a client
// certificate.
func (k *Keys) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ClientCAs:    k.authority,
	}
}

// CallerConfig returns the TLS settings for serving callers, which authenticate with a token
// and not with a certificate.
func (k *Keys) CallerConfig() *tls.Config {
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{k.certificate}}
}

// ClientConfig returns the TLS settings for connecting to a host, which must present a
// certificate for its host ID.
func (k *Keys) ClientConfig(host filbertlever.HostID) *tls.Config {
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{k.certificate},
		RootCAs:      k.authority,
		ServerName:   string(host),
	}
}

// Identify returns the host that sent a request and its role, from the client certificate.
func Identify(request *http.Request) (filbertlever.HostID, string, error) {
	if request.TLS == nil || len(request.TLS.VerifiedChains) == 0 {
		return "", "", ErrRole
	}
	subject := request.TLS.VerifiedChains[0][0].Subject
	if len(subject.OrganizationalUnit) != 1 {
		return "", "", ErrRole
	}
	return filbertlever.HostID(subject.CommonName), subject.OrganizationalUnit[0], nil
}

// RequireRole rejects requests from peers that have none of the roles, and adds the host
// that sent a request to the request's context.
func RequireRole(next http.Handler, roles ...string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		host, role, err := Identify(request)
		if err != nil || !slices.Contains(roles, role) {
			http.Error(w, ErrRole.Error(), http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, request.WithContext(WithCaller(request.Context(), host)))
	})
}

type callerKey struct{}

// WithCaller returns a context that carries the host that sent a request.
func WithCaller(ctx context.Context, host filbertlever.HostID) context.Context {
	return context.WithValue(ctx, callerKey{}, host)
}

// CallerFromContext returns the host that sent a request, or an empty ID if the context
// carries none.
func CallerFromContext(ctx context.Context) filbertlever.HostID {
	host, _ := ctx.Value(callerKey{}).(filbertlever.HostID)
	return host
}
