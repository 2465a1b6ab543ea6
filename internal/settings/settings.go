// Package settings loads and validates the settings files of processes and
// operators.
package settings

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/pkg/bundle"
	"github.com/filbertlever/filbertlever/pkg/document"
)

// Settings is the settings file of one process, or of an operator's or
// caller's commands. Each command uses the sections that it needs.
type Settings struct {
	// Host is the name of this host. It must match the host's certificate.
	Host   filbertlever.HostID `yaml:"Host"`
	Site   string              `yaml:"Site"`
	Region string              `yaml:"Region"`
	// Peer is the address for connections from other processes of the system.
	Peer Listener `yaml:"Peer"`
	// Callers is the address for connections from callers. Only entries use it.
	Callers Listener `yaml:"Callers"`
	// Admin is the address for metrics and health checks.
	Admin    Admin    `yaml:"Admin"`
	TLS      TLS      `yaml:"TLS"`
	Platform Platform `yaml:"Platform"`
	// SignOffs is the minimum number of sign-offs of a bundle.
	SignOffs  int        `yaml:"SignOffs"`
	Operators []Operator `yaml:"Operators"`
	// Seeds are entries to contact before the host list is available.
	Seeds []Seed `yaml:"Seeds"`
	// Agent holds the settings that only agents use.
	Agent Agent `yaml:"Agent"`
	// Entry holds the settings that only entries use.
	Entry   Entry   `yaml:"Entry"`
	Machine Machine `yaml:"Machine"`
	Stop    Stop    `yaml:"Stop"`
	Log     Log     `yaml:"Log"`
}

// Listener is an address to listen on.
type Listener struct {
	// Address is written as IP:port.
	Address string `yaml:"Address"`
}

// Admin configures the listener for metrics and health checks.
type Admin struct {
	Address string `yaml:"Address"`
	// Profiling also serves pprof at Address.
	Profiling bool `yaml:"Profiling"`
}

// TLS holds the paths of a process's certificates and key.
type TLS struct {
	Authority   string `yaml:"Authority"`
	Certificate string `yaml:"Certificate"`
	Key         string `yaml:"Key"`
}

// Platform configures the access to the platform.
type Platform struct {
	URL string `yaml:"URL"`
	// Timeout bounds each call to the platform.
	Timeout document.Duration `yaml:"Timeout"`
	// Poll is the interval at which an entry that watches the platform reads it.
	Poll document.Duration `yaml:"Poll"`
}

// Operator is a person who may sign bundles.
type Operator struct {
	Name string `yaml:"Name"`
	// PublicKey is the ed25519 key in base64.
	PublicKey string `yaml:"PublicKey"`
}

// Seed is an entry whose address is configured, not discovered.
type Seed struct {
	Host        filbertlever.HostID `yaml:"Host"`
	PeerAddress string              `yaml:"PeerAddress"`
}

// Agent holds the settings of an agent.
type Agent struct {
	// Pool is the pool of the backend server, as bundles name it.
	Pool string `yaml:"Pool"`
	// Engine is the URL of the model engine, if the pool has one.
	Engine string `yaml:"Engine"`
	// Service is the URL of the plain service, if the pool has one.
	Service string `yaml:"Service"`
	// Weights is the address from which the engine reads weights.
	Weights Listener `yaml:"Weights"`
	// Origin and Store are the URLs of the sources of weights.
	Origin string `yaml:"Origin"`
	Store  string `yaml:"Store"`
	// Link is the bandwidth of this host's network link in bytes per second, in
	// each direction. If it is 0 (unknown), transfers of weights are not paced
	// while live requests run.
	Link document.Size `yaml:"Link"`
}

// Entry holds the settings of an entry.
type Entry struct {
	// OrderWrites is the maximum number of platform writes per second for the
	// orders of the system as a whole.
	OrderWrites int `yaml:"OrderWrites"`
	// Keep is how long callers may cache a response of Locate.
	Keep document.Duration `yaml:"Keep"`
	// Timeout is the deadline of a request if the caller sets none.
	Timeout document.Duration `yaml:"Timeout"`
}

// Machine holds the resources that the host grants a process. They bound what the process holds of what
// clients send. 0 means as much as the system states.
type Machine struct {
	Memory      document.Size `yaml:"Memory"`
	Descriptors int           `yaml:"Descriptors"`
}

func (m Machine) check(c *document.Checker) {
	c.Require(m.Memory >= 0, "Machine.Memory", m.Memory, "expected 0 or more")
	c.Require(m.Descriptors >= 0, "Machine.Descriptors", m.Descriptors, "expected 0 or more")
}

// Stop holds the timing of a planned stop.
type Stop struct {
	// Grace is how long new requests are still accepted after the stop was
	// announced.
	Grace document.Duration `yaml:"Grace"`
	// Move is the time after which running streams are moved to other hosts.
	Move document.Duration `yaml:"Move"`
}

// Log configures logging.
type Log struct {
	// Level is Debug, Info, Warn or Error.
	Level string `yaml:"Level"`
	// Format is JSON, Console or Auto. Auto selects Console on a terminal.
	Format string `yaml:"Format"`
}

// Use is the kind of process or user that a settings file is for.
type Use string

// The kinds of settings files.
const (
	UseEntry    Use = "Entry"
	UseAgent    Use = "Agent"
	UseOperator Use = "Operator"
)

// Defaults returns the default settings, which a file overrides.
func Defaults() Settings {
	return Settings{
		Platform: Platform{Timeout: document.Duration(2 * time.Second), Poll: document.Duration(500 * time.Millisecond)},
		SignOffs: 1,
		Entry:    Entry{OrderWrites: 300, Keep: document.Duration(30 * time.Second), Timeout: document.Duration(time.Minute)},
		Stop:     Stop{Grace: document.Duration(2 * time.Second), Move: document.Duration(30 * time.Second)},
		Log:      Log{Level: "Info", Format: "Auto"},
	}
}

// Load reads a settings file and validates it for a use.
func Load(file string, use Use) (*Settings, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read settings: %w", err)
	}
	s, err := Parse(data, use)
	if err != nil {
		return nil, fmt.Errorf("settings %s:\n%w", file, err)
	}
	return s, nil
}

// Parse decodes and validates settings for a use. The error lists every fault.
func Parse(data []byte, use Use) (*Settings, error) {
	s := Defaults()
	check := document.Decode(data, &s)
	if !check.Parsed() {
		return nil, check.Err()
	}
	s.checkCommon(check)
	switch use {
	case UseEntry:
		s.checkProcess(check)
		requireAddress(check, "Callers.Address", s.Callers.Address)
		check.Require(s.Entry.OrderWrites >= 1, "Entry.OrderWrites", s.Entry.OrderWrites, "expected 1 or more")
		requirePositive(check, "Entry.Keep", s.Entry.Keep)
		requirePositive(check, "Entry.Timeout", s.Entry.Timeout)
	case UseAgent:
		s.checkProcess(check)
		s.checkAgent(check)
	}
	if err := check.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

// OperatorKeys returns the public keys of the operators. Parse has validated
// them.
func (s *Settings) OperatorKeys() bundle.Operators {
	keys := bundle.Operators{}
	for _, operator := range s.Operators {
		key, err := bundle.ParsePublicKey(operator.PublicKey)
		if err == nil {
			keys[operator.Name] = key
		}
	}
	return keys
}

func (s *Settings) checkCommon(check *document.Checker) {
	requireURL(check, "Platform.URL", s.Platform.URL)
	requirePositive(check, "Platform.Timeout", s.Platform.Timeout)
	requirePositive(check, "Platform.Poll", s.Platform.Poll)
	check.Require(s.SignOffs >= 1, "SignOffs", s.SignOffs, "expected 1 or more")
	check.Require(s.SignOffs <= max(1, len(s.Operators)), "SignOffs", s.SignOffs, "expected no more than there are Operators")
	for i, operator := range s.Operators {
		path := fmt.Sprintf("Operators[%d]", i)
		check.Require(operator.Name != "", path+".Name", "", "expected a name")
		_, err := bundle.ParsePublicKey(operator.PublicKey)
		check.Require(err == nil, path+".PublicKey", operator.PublicKey, "expected an ed25519 key in base64")
	}
	for i, seed := range s.Seeds {
		path := fmt.Sprintf("Seeds[%d]", i)
		check.Require(seed.Host != "", path+".Host", "", "expected a host name")
		requireAddress(check, path+".PeerAddress", seed.PeerAddress)
	}
	check.Require(s.TLS.Authority != "", "TLS.Authority", "", "expected a file")
	levels := map[string]bool{"Debug": true, "Info": true, "Warn": true, "Error": true}
	check.Require(levels[s.Log.Level], "Log.Level", s.Log.Level, "expected Debug, Info, Warn or Error")
	formats := map[string]bool{"JSON": true, "Console": true, "Auto": true}
	check.Require(formats[s.Log.Format], "Log.Format", s.Log.Format, "expected JSON, Console or Auto")
}

func (s *Settings) checkProcess(check *document.Checker) {
	check.Require(s.Host != "", "Host", "", "expected the name of this host")
	check.Require(s.Site != "", "Site", "", "expected the site of this host")
	check.Require(s.Region != "", "Region", "", "expected the region of this host")
	requireAddress(check, "Peer.Address", s.Peer.Address)
	requireAddress(check, "Admin.Address", s.Admin.Address)
	check.Require(s.TLS.Certificate != "", "TLS.Certificate", "", "expected a file")
	check.Require(s.TLS.Key != "", "TLS.Key", "", "expected a file")
	check.Require(len(s.Operators) > 0, "Operators", "", "expected at least one operator")
	requirePositive(check, "Stop.Grace", s.Stop.Grace)
	check.Require(s.Stop.Grace <= document.Duration(3*time.Second), "Stop.Grace", time.Duration(s.Stop.Grace), "expected at most 3s")
	check.Require(s.Stop.Move >= s.Stop.Grace, "Stop.Move", time.Duration(s.Stop.Move), "expected no less than Stop.Grace")
}

func (s *Settings) checkAgent(check *document.Checker) {
	check.Require(s.Agent.Pool != "", "Agent.Pool", "", "expected the pool of the backend server")
	check.Require((s.Agent.Engine == "") != (s.Agent.Service == ""), "Agent", "", "expected either Engine or Service")
	if s.Agent.Service != "" {
		requireURL(check, "Agent.Service", s.Agent.Service)
	}
	if s.Agent.Engine != "" {
		requireURL(check, "Agent.Engine", s.Agent.Engine)
		requireURL(check, "Agent.Origin", s.Agent.Origin)
		requireAddress(check, "Agent.Weights.Address", s.Agent.Weights.Address)
	}
	if s.Agent.Store != "" {
		requireURL(check, "Agent.Store", s.Agent.Store)
	}
}

func requireAddress(check *document.Checker, path, address string) {
	host, port, err := net.SplitHostPort(address)
	ok := err == nil && net.ParseIP(host) != nil && port != ""
	check.Require(ok, path, address, "expected IP:port")
}

func requireURL(check *document.Checker, path, text string) {
	parsed, err := url.Parse(text)
	ok := err == nil && parsed.Host != "" && (parsed.Scheme == "http" || parsed.Scheme == "https")
	check.Require(ok, path, text, "expected an http or https URL")
}

func requirePositive(check *document.Checker, path string, d document.Duration) {
	check.Require(d > 0, path, time.Duration(d), "expected more than 0s")
}
