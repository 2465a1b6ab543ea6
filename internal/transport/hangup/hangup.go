// Package hangup catches SIGHUP, the signal to reload settings, from the start of a
// process. It imports only the standard library, so that it is initialised before the
// packages whose initialisation takes long.
package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = make(chan os.Signal, 1)

// A platform may change a settings file and signal a process that has just started. By
// default the signal terminates the process, so it is caught before settings are read. Until then
// only the starter can prevent that: a process inherits that the signal is ignored.
func init() { signal.Notify(signals, syscall.SIGHUP) }

// Received returns a channel of the signals since the start. Signals that have not been
// read yet are merged into one.
func Received() <-chan os.Signal { return signals }

// Release restores the signal's default effect, which ends an interactive command when its
// terminal is closed. A signal that has already been received takes effect as well.
func Release() {
	signal.Stop(signals)
	select {
	case <-signals:
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
	}
}
