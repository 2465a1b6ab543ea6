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

// Removal is a mutation that removes a mechanism. The soak test must detect it.
type Removal struct {
	Name string `yaml:"Name"`
	File string `yaml:"File"`
	Old  string `yaml:"Old"`
	New  string `yaml:"New"`
	// Gap is the longest interval between faults. It lets the soak check promises
	// that hold only in the absence of faults.
	Gap time.Duration `yaml:"Gap"`
}

// RemovalResult is the result of the soak tests of one removal.
type RemovalResult struct {
	Removal Removal
	// Seed is the first seed with broken promises, and Promise lists them. Promise
	// is empty if none of the Runs broke one.
	Seed    uint64
	Promise string
	Runs    int
	// Problem explains why the removal could not be tested.
	Problem string
}

// LoadRemovals reads the list of removals from a YAML file.
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

// Soak configures the soak tests.
type Soak struct {
	// Program is the path of the soak test binary.
	Program string
	// FirstSeed is the first seed, and Seeds the maximum number of seeds for each
	// removal.
	FirstSeed uint64
	Seeds     int
	// Duration is the duration of each run.
	Duration time.Duration
	// Parallel is the number of removals that are tested concurrently. Each run
	// starts about 25 processes.
	Parallel int
}

// Run builds the program with each removal applied and soak-tests it until a
// promise is broken or all seeds have run. It calls report for each removal.
func (s Soak) Run(ctx context.Context, removals []Removal, report func(RemovalResult)) {
	semaphore := make(chan struct{}, s.Parallel)
	var group sync.WaitGroup
	var mu sync.Mutex
	for _, removal := range removals {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			result := s.runRemoval(ctx, removal)
			mu.Lock()
			defer mu.Unlock()
			report(result)
		})
	}
	group.Wait()
}

func (s Soak) runRemoval(ctx context.Context, removal Removal) RemovalResult {
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
		command := exec.CommandContext(ctx, s.Program, "--binary", binary, "--seed", strconv.FormatUint(s.FirstSeed+n, 10),
			"--length", s.Duration.String(), "--gap", removal.Gap.String(), "--logs", filepath.Join(dir, "logs"))
		output, _ := command.CombinedOutput() // the exit status is ignored because the output lists broken promises
		if promises := brokenPromises(string(output)); promises != "" {
			result.Seed, result.Promise = s.FirstSeed+n, promises
			return result
		}
		if !strings.Contains(string(output), "broken=0") {
			result.Problem = string(output)
			return result
		}
	}
	return result
}

var brokenPromiseLine = regexp.MustCompile(`(?m)^  (\w+): `)

// brokenPromises returns the broken promises listed in the output of a soak test.
func brokenPromises(output string) string {
	var names []string
	for _, match := range brokenPromiseLine.FindAllStringSubmatch(output, -1) {
		if !slices.Contains(names, match[1]) {
			names = append(names, match[1])
		}
	}
	return strings.Join(names, " ")
}

// build builds the program with the removal applied and returns its path.
func (r Removal) build(ctx context.Context, dir string) (string, error) {
	source, err := os.ReadFile(r.File)
	if err != nil {
		return "", err
	}
	if n := strings.Count(string(source), r.Old); n != 1 {
		return "", fmt.Errorf("%s contains the text %d times, expected once", r.File, n)
	}
	overlay, err := writeOverlay(dir, Guard{File: r.File, Old: r.Old, New: r.New}, string(source))
	if err != nil {
		return "", err
	}
	binary := filepath.Join(dir, "filbertlever")
	output, err := exec.CommandContext(ctx, "go", "build", "-overlay="+overlay, "-o", binary, "./cmd/filbertlever").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build program: %w: %s", err, output)
	}
	return binary, nil
}
