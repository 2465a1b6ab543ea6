package settings

import (
	"fmt"
	"os"
	"time"

	"github.com/filbertlever/filbertlever"
	"github.com/filbertlever/filbertlever/pkg/document"
)

// Installation is the settings file of a process that runs on a users'
// platform. There, the store is shared, callers send plain HTTP and no process
// has a disk.
type Installation struct {
	// Host is the name of this host.
	Host   filbertlever.HostID `yaml:"Host"`
	Site   string              `yaml:"Site"`
	Region string              `yaml:"Region"`
	// Regions maps each site to its region.
	Regions map[string]string `yaml:"Regions"`
	// Store is the address (IP:port) of the platform's store.
	Store  string             `yaml:"Store"`
	Listen InstallationListen `yaml:"Listen"`
	// Seeds are peer addresses of entries to contact at startup. Some of them
	// may no longer exist.
	Seeds []string `yaml:"Seeds"`
	// FirstStart is true if the whole installation starts for the first time, so
	// that model servers still have the weights they were delivered with.
	FirstStart  bool        `yaml:"FirstStart"`
	ModelServer ModelServer `yaml:"ModelServer"`
	Bounds      Bounds      `yaml:"Bounds"`
	Machine     CoreMachine `yaml:"Machine"`
	Log         Log         `yaml:"Log"`
}

// InstallationListen holds the addresses that a process listens on. An agent
// uses only Datagrams and Metrics.
type InstallationListen struct {
	// Callers accepts callers' requests.
	Callers string `yaml:"Callers"`
	// Ready serves the readiness check for new callers.
	Ready string `yaml:"Ready"`
	// Locate serves the list of entries that a caller should use.
	Locate string `yaml:"Locate"`
	// Peers accepts calls of other processes.
	Peers string `yaml:"Peers"`
	// Datagrams receives heartbeats and load reports over UDP. An agent also
	// serves pieces of weights over TCP at this address.
	Datagrams string `yaml:"Datagrams"`
	// Metrics serves counters and histograms.
	Metrics string `yaml:"Metrics"`
}

// ModelServer describes the model server beside an agent.
type ModelServer struct {
	Address string `yaml:"Address"`
	Service string `yaml:"Service"`
}

// Bounds holds the limits that the users require of the system.
type Bounds struct {
	// Apply is the maximum time until a confirmed change of the desired state takes effect. With an older
	// view, an entry refuses requests that it does not know for a moment only. 0 means no limit.
	Apply document.Duration `yaml:"Apply"`
	// Revoke is the maximum time until a revoked key stops working. 0 means no
	// bound.
	Revoke document.Duration `yaml:"Revoke"`
	// Version is the maximum time until only the version that the desired state
	// names answers requests. 0 means no bound.
	Version document.Duration `yaml:"Version"`
	// RetryRatio and RetrySlack bound the total retries of all entries within
	// any RetryWindow.
	RetryRatio  float64           `yaml:"RetryRatio"`
	RetrySlack  float64           `yaml:"RetrySlack"`
	RetryWindow document.Duration `yaml:"RetryWindow"`
	// Keep is how long callers may cache a response of Locate.
	Keep document.Duration `yaml:"Keep"`
	// Stop is the time from the termination signal to the end of the process.
	Stop document.Duration `yaml:"Stop"`
}

// CoreMachine is a Machine of which a process uses a number of cores.
type CoreMachine struct {
	Cores int `yaml:"Cores"`
	// Memory and Descriptors are those of Machine.
	Memory      document.Size `yaml:"Memory"`
	Descriptors int           `yaml:"Descriptors"`
}

// DefaultInstallation returns the default settings, which a file overrides.
func DefaultInstallation() Installation {
	return Installation{
		Bounds: Bounds{
			RetryRatio:  0.1,
			RetryWindow: document.Duration(10 * time.Second),
			Keep:        document.Duration(2 * time.Second),
			Stop:        document.Duration(8 * time.Second),
		},
		Machine: CoreMachine{Cores: 1},
		Log:     Log{Level: "Info", Format: "JSON"},
	}
}

// LoadInstallation reads and validates a settings file for UseEntry or UseAgent.
func LoadInstallation(path string, use Use) (*Installation, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	s, err := ParseInstallation(data, use)
	if err != nil {
		return nil, fmt.Errorf("settings %s:\n%w", path, err)
	}
	return s, nil
}

// ParseInstallation decodes and validates a settings file. Its error is a
// document.Faults that lists every fault.
func ParseInstallation(data []byte, use Use) (*Installation, error) {
	s := DefaultInstallation()
	check := document.Decode(data, &s)
	if check.Parsed() {
		s.check(check, use)
	}
	if err := check.Err(); err != nil {
		return nil, err
	}
	return &s, nil
}

func (s *Installation) check(c *document.Checker, use Use) {
	c.Require(s.Host != "", "Host", s.Host, "expected a name")
	c.Require(s.Site != "", "Site", s.Site, "expected a name")
	requireAddress(c, "Store", s.Store)
	requireAddress(c, "Listen.Datagrams", s.Listen.Datagrams)
	if s.Listen.Metrics != "" {
		requireAddress(c, "Listen.Metrics", s.Listen.Metrics)
	}
	switch use {
	case UseEntry:
		requireAddress(c, "Listen.Callers", s.Listen.Callers)
		requireAddress(c, "Listen.Ready", s.Listen.Ready)
		requireAddress(c, "Listen.Locate", s.Listen.Locate)
		requireAddress(c, "Listen.Peers", s.Listen.Peers)
	case UseAgent:
		requireAddress(c, "ModelServer.Address", s.ModelServer.Address)
		c.Require(s.ModelServer.Service != "", "ModelServer.Service", s.ModelServer.Service, "expected the name of a service")
	}
	for i, seed := range s.Seeds {
		requireAddress(c, fmt.Sprintf("Seeds[%d]", i), seed)
	}
	c.Require(s.Bounds.RetryRatio >= 0 && s.Bounds.RetryRatio <= 1, "Bounds.RetryRatio", s.Bounds.RetryRatio, "expected a share from 0 to 1")
	c.Require(s.Bounds.RetrySlack >= 0, "Bounds.RetrySlack", s.Bounds.RetrySlack, "expected 0 or more requests")
	c.Require(s.Bounds.RetryWindow > 0, "Bounds.RetryWindow", time.Duration(s.Bounds.RetryWindow), "expected more than 0")
	c.Require(s.Bounds.Apply >= 0, "Bounds.Apply", time.Duration(s.Bounds.Apply), "expected 0 or more")
	c.Require(s.Bounds.Revoke >= 0, "Bounds.Revoke", time.Duration(s.Bounds.Revoke), "expected 0 or more")
	c.Require(s.Bounds.Version >= 0, "Bounds.Version", time.Duration(s.Bounds.Version), "expected 0 or more")
	c.Require(s.Bounds.Keep > 0, "Bounds.Keep", time.Duration(s.Bounds.Keep), "expected more than 0")
	c.Require(s.Bounds.Stop > 0, "Bounds.Stop", time.Duration(s.Bounds.Stop), "expected more than 0")
	c.Require(s.Machine.Cores > 0, "Machine.Cores", s.Machine.Cores, "expected 1 or more")
	Machine{Memory: s.Machine.Memory, Descriptors: s.Machine.Descriptors}.check(c)
}
