// Package hangup takes the signal to read settings anew from the first moment of a
// process. It imports only the standard library, so that it is initialised before what
// takes long.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = make(chan os.Signal, 1)

// Guard: a platform may change a settings file and signal a process that has just started. By default
// the signal ends a process, so it is caught before settings are read.
func init() { signal.Notify(signals, syscall.SIGHUP) }

// Received has the signals since the start, one for all that were not taken yet.
func Received() <-chan os.Signal { return signals }

// Release gives the signal its usual effect, as for a command at a desk whose terminal is
// closed, also if it came already.
func Release() {
	signal.Stop(signals)
	select {
	case <-signals:
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
	}
}
