// Command review-stand runs one case of the review: the processes of the system, and stand-ins of the platform,
// the servers and the clients. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
// not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// scenario plays a case and reports whether the rule was broken.
type scenario func(in *installation, trouble bool) (broken bool, err error)

var scenarios = map[string]struct {
	play            scenario
	entries, models int
}{
	"manifest": {playManifest, 3, 4},
	"frozen":   {playFrozen, 3, 9},
	"late":     {playLate, 3, 1},
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: review-stand CASE PROGRAM RECORD")
		return 2
	}
	s, ok := scenarios[os.Args[1]]
	binary, err := filepath.Abs(os.Args[2])
	if !ok || err != nil {
		fmt.Fprintln(os.Stderr, "no such case")
		return 2
	}
	record, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println("logs:", dir)
	}
	in, err := newInstallation(record, binary, dir, s.entries, s.models)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer in.kill()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan int, 1)
	go func() { done <- play(s.play, in, record) }()
	select {
	case code := <-done:
		return code
	case <-stop:
		return 2
	case <-time.After(115 * time.Second):
		fmt.Fprintln(os.Stderr, "the case takes too long")
		return 2
	}
}

func play(s scenario, in *installation, r *record) int {
	broken, err := s(in, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return 2
	case broken:
		fmt.Println("the rule was broken")
		return 1
	}
	fmt.Println("the rule held")
	return 0
}
