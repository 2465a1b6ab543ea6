package gateway

import "github.com/filbertlever/filbertlever/internal/coordination/quarantine"

// identity is what the caller repeats when it sends the request again.
func (x *exchange) identity() *quarantine.Identity {
	return &quarantine.Identity{Organisation: string(x.organisation.ID), Method: x.call.Method, Host: x.call.Host,
		Target: x.call.Target, Body: x.call.Body}
}

// fingerprint names the request, whatever its attempt.
func (x *exchange) fingerprint() quarantine.Fingerprint { return x.identity().Fingerprint() }
