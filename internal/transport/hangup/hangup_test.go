package hangup

import (
	"go/build"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A process may get the signal to reload its settings before it has read them. It must not
// terminate, and must still receive the signal later.
func TestEarlySignalIsKept(t *testing.T) {
	c := qt.New(t)
	for range 3 {
		c.Assert(syscall.Kill(syscall.Getpid(), syscall.SIGHUP), qt.IsNil)
	}
	select {
	case <-Received():
	case <-time.After(2 * time.Second):
		c.Fatal("the signal was not received")
	}
}

// The signal terminated processes in their first 5 ms, because it was caught only after the
// packages for metrics, messages and the command line were initialised. A package that
// imports one of them is initialised after it.
func TestImportsOnlyStandardLibrary(t *testing.T) {
	c := qt.New(t)
	p, err := build.ImportDir(".", 0)
	c.Assert(err, qt.IsNil)
	for _, path := range p.Imports {
		c.Check(strings.Contains(path, "."), qt.IsFalse, qt.Commentf(path))
	}
}
