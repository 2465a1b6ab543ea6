package hangup

import (
	"go/build"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A process is told to read its settings anew before it has begun to read them. It must
// live, and hear of it.
func TestEarlySignalIsKept(t *testing.T) {
	c := qt.New(t)
	for range 3 {
		c.Assert(syscall.Kill(syscall.Getpid(), syscall.SIGHUP), qt.IsNil)
	}
	select {
	case <-Received():
	case <-time.After(2 * time.Second):
		c.Fatal("not heard")
	}
}

// A process ended by the signal in its first 5 ms: it listened after the packages of
// metrics, messages and the command line were initialised. A package that needs one of
// them is initialised after it.
func TestImportsOnlyStandardLibrary(t *testing.T) {
	c := qt.New(t)
	p, err := build.ImportDir(".", 0)
	c.Assert(err, qt.IsNil)
	for _, path := range p.Imports {
		c.Check(strings.Contains(path, "."), qt.IsFalse, qt.Commentf(path))
	}
}
