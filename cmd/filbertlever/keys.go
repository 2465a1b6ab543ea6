package main

import (
	"crypto/rand"
	"encoding/base64"
	"fmt"
	"net"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/internal/operator"
	"github.com/filbertlever/filbertlever/internal/transport/peer"
)

type keysCommand struct {
	New   keysNewCommand   `cmd:"" help:"Create a certificate for a host or operator, and the authority if none exists."`
	Token keysTokenCommand `cmd:"" help:"Create a token for an organisation and print it with its digest for the bundle."`
}

type keysNewCommand struct {
	Dir  string `required:"" type:"path" help:"Directory of the keys."`
	Name string `arg:"" help:"Name of the host or operator."`
	Role string `required:"" enum:"Entry,Agent,Operator" help:"Role in the certificate: Entry, Agent or Operator."`
	IP   net.IP `help:"IP that callers connect to; required for entries."`
}

// Run creates the keys. It never overwrites existing ones.
func (c *keysNewCommand) Run() error {
	if c.Role == peer.RoleEntry && c.IP == nil {
		return fmt.Errorf("%w: an entry needs --ip", errUsage)
	}
	dir := operator.KeyDir{Path: c.Dir}
	files, err := dir.NewHost(c.Name, c.Role, c.IP)
	if err != nil {
		return err
	}
	fmt.Printf("Authority: %s\nCertificate: %s\nKey: %s\n", dir.Authority(), files.Certificate, files.Key)
	if c.Role != peer.RoleOperator {
		return nil
	}
	public, err := dir.NewOperator(c.Name)
	if err != nil {
		return err
	}
	fmt.Printf("SigningKey: %s\nPublicKey: %s\n", dir.SigningKey(c.Name), public)
	return nil
}

type keysTokenCommand struct{}

const tokenLength = 32

// Run prints a new token. The token is not stored anywhere.
func (c *keysTokenCommand) Run() error {
	var random [tokenLength]byte
	_, _ = rand.Read(random[:])
	token := base64.RawURLEncoding.EncodeToString(random[:])
	fmt.Printf("Token: %s\nDigest: %s\n", token, filbertlever.DigestOf([]byte(token)))
	return nil
}
