package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// cases are the cases of the review by name. Each returns whether the rule was broken.
var cases = map[string]func(b *bed, trouble bool) (broken bool, err error){
	"tenants":   tenants,
	"forgotten": forgotten,
	"named":     named,
	"stale":     stale,
	"longline":  longline,
	"laterow":   laterow,
	"ids":       ids,
	"encoded":   encoded,
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE RECORD")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(2)
	}
	os.Exit(code(play))
}

// code plays a case and returns the exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not
// run.
func code(play func(b *bed, trouble bool) (bool, error)) int {
	b, err := newBed(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer b.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		b.close()
		os.Exit(2)
	}()
	broken, err := play(b, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		b.note("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case broken:
		b.note("the rule was broken")
		return 1
	}
	b.note("the rule held")
	return 0
}
