package proof

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.yaml.in/yaml/v3"
)

// Removal is a part of the product whose loss the soak must notice.
type Removal struct {
	Name string `yaml:"Name"`
	File string `yaml:"File"`
	Old  string `yaml:"Old"`
	New  string `yaml:"New"`
	// Gap is the longest pause between troubles for promises that hold in calm only.
	Gap time.Duration `yaml:"Gap"`
}

// RemovalResult is what the soak made of one removal.
type RemovalResult struct {
	Removal Removal
	// Seed is the first that broke promises, and Promise names them; empty if none
	// of Runs did.
	Seed    uint64
	Promise string
	Runs    int
	Problem string
}

// LoadRemovals reads the list of removals.
func LoadRemovals(file string) ([]Removal, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var removals []Removal
	if err := yaml.Unmarshal(data, &removals); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return removals, nil
}

// Soak says how a program is soaked.
type Soak struct {
	// Program is the soak's own.
	Program string
	First   uint64
	Seeds   int
	Length  time.Duration
	// Parallel is how many removals are soaked at once, some 25 processes each.
	Parallel int
}

// Run takes each part out in turn and soaks the program without it until a
// promise is broken.
func (s Soak) Run(ctx context.Context, removals []Removal, report func(RemovalResult)) {
	slots := make(chan struct{}, s.Parallel)
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, removal := range removals {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			result := s.one(ctx, removal)
			mu.Lock()
			defer mu.Unlock()
			report(result)
		})
	}
	group.Wait()
}

func (s Soak) one(ctx context.Context, removal Removal) RemovalResult {
	result := RemovalResult{Removal: removal}
	dir, err := os.MkdirTemp("", "soak")
	if err != nil {
		result.Problem = err.Error()
		return result
	}
	defer os.RemoveAll(dir)
	binary, err := removal.build(ctx, dir)
	if err != nil {
		result.Problem = err.Error()
		return result
	}
	for n := range uint64(s.Seeds) {
		result.Runs++
		command := exec.CommandContext(ctx, s.Program, "--binary", binary, "--seed", strconv.FormatUint(s.First+n, 10),
			"--length", s.Length.String(), "--gap", removal.Gap.String(), "--logs", filepath.Join(dir, "logs"))
		output, _ := command.CombinedOutput() // an error is what is hoped for; the output tells
		if promises := brokenPromises(string(output)); promises != "" {
			result.Seed, result.Promise = s.First+n, promises
			return result
		}
		if !strings.Contains(string(output), "broken=0") {
			result.Problem = string(output)
			return result
		}
	}
	return result
}

var broken = regexp.MustCompile(`(?m)^  (\w+): `)

// brokenPromises names the promises that the soak's output says were broken.
func brokenPromises(output string) string {
	var names []string
	for _, match := range broken.FindAllStringSubmatch(output, -1) {
		if !slices.Contains(names, match[1]) {
			names = append(names, match[1])
		}
	}
	return strings.Join(names, " ")
}

// build builds the product without the part.
func (r Removal) build(ctx context.Context, dir string) (string, error) {
	source, err := os.ReadFile(r.File)
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(source), r.Old); n != 1 {
		return "", fmt.Errorf("the text is there %d times, expected once", n)
	}
	overlay, err := writeOverlay(dir, Guard{File: r.File, Old: r.Old, New: r.New}, string(source))
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "filbertlever")
	output, err := exec.CommandContext(ctx, "go", "build", "-overlay="+overlay, "-o", binary, "./cmd/filbertlever").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, output)
	}
	return binary, nil
}
