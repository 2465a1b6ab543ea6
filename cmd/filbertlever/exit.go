package main

import (
	"errors"

	"github.com/filbertlever/filbertlever/internal/operator"
	"github.com/filbertlever/filbertlever/pkg/client"
)

// Exit codes. The help text and the reference page list them.
const (
	exitOK       = 0
	exitFailed   = 1
	exitUsage    = 2
	exitConflict = 3
	exitNotRun   = 4
)

// exitCode returns the exit code of an error. Scripts rely on the codes.
func exitCode(err error) int {
	switch {
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, operator.ErrConflict):
		return exitConflict
	case errors.Is(err, operator.ErrNotRun), errors.Is(err, client.ErrNotRun):
		return exitNotRun
	}
	return exitFailed
}

// errUsage means that the command line, or a file that it names, is invalid.
var errUsage = errors.New("usage")
