// Package proof runs mutation tests and the fault matrix. It removes each
// safeguard from the code and verifies that the safeguard's test then fails.
package proof

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"

	"go.yaml.in/yaml/v3"
)

// Guard is a safeguard in the code. Replacing Old by New in File removes it, and
// Test of Package must then fail.
type Guard struct {
	File    string `yaml:"File"`
	Old     string `yaml:"Old"`
	New     string `yaml:"New"`
	Package string `yaml:"Package"`
	Test    string `yaml:"Test"`
}

// GuardResult is the result of one mutation test.
type GuardResult struct {
	Guard Guard
	// Caught is true if the test failed without the guard.
	Caught bool
	// Problem explains why the guard could not be removed or the test did not run.
	Problem string
}

// LoadGuards reads the list of guards from a YAML file.
func LoadGuards(file string) ([]Guard, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var guards []Guard
	if err := yaml.Unmarshal(data, &guards); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return guards, nil
}

var guardComment = regexp.MustCompile(`(?m)^\s*// Guards?: `)

// CheckListed returns an error for each source file with more "Guard:" comments
// than entries in the list.
func CheckListed(guards []Guard) error {
	listed := map[string]int{}
	for _, guard := range guards {
		listed[guard.File]++
	}
	var problems []error
	for _, root := range []string{"internal", "platform"} {
		err := filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "internal/proof") {
				return err
			}
			data, err := os.ReadFile(path)
			if comments := len(guardComment.FindAll(data, -1)); comments > listed[path] {
				problems = append(problems, fmt.Errorf("%s has %d guard comments, but the list has %d entries for it", path, comments, listed[path]))
			}
			return err
		})
		problems = append(problems, err)
	}
	return errors.Join(problems...)
}

// maxParallelTests is the number of mutation tests that run concurrently.
const maxParallelTests = 4

// RunGuards removes each guard separately and runs its test.
func RunGuards(ctx context.Context, guards []Guard) []GuardResult {
	results := make([]GuardResult, len(guards))
	semaphore := make(chan struct{}, maxParallelTests)
	var group sync.WaitGroup
	for i, guard := range guards {
		group.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			results[i] = runGuard(ctx, guard)
		})
	}
	group.Wait()
	return results
}

func runGuard(ctx context.Context, guard Guard) GuardResult {
	result := GuardResult{Guard: guard}
	source, err := os.ReadFile(guard.File)
	if err != nil {
		result.Problem = err.Error()
		return result
	}
	if n := strings.Count(string(source), guard.Old); n != 1 {
		result.Problem = fmt.Sprintf("%s contains the guard's text %d times, expected once", guard.File, n)
		return result
	}
	dir, err := os.MkdirTemp("", "guard")
	if err != nil {
		result.Problem = err.Error()
		return result
	}
	defer os.RemoveAll(dir)
	overlay, err := writeOverlay(dir, guard, string(source))
	if err != nil {
		result.Problem = err.Error()
		return result
	}
	command := exec.CommandContext(ctx, "go", "test", "-count=1", "-timeout=30s", "-overlay="+overlay, "-run=^"+guard.Test+"$", guard.Package)
	output, err := command.CombinedOutput()
	text := string(output)
	switch {
	case err == nil && strings.Contains(text, "no tests to run"):
		result.Problem = fmt.Sprintf("package %s has no test %s", guard.Package, guard.Test)
	case strings.Contains(text, "[build failed]") || strings.Contains(text, "[setup failed]"):
		result.Problem = "build failed:\n" + text
	default:
		result.Caught = err != nil
	}
	return result
}

// writeOverlay writes the mutated source and an overlay file for the go command.
// It returns the path of the overlay file.
func writeOverlay(dir string, guard Guard, source string) (string, error) {
	mutated := filepath.Join(dir, "mutated.go")
	if err := os.WriteFile(mutated, []byte(strings.Replace(source, guard.Old, guard.New, 1)), 0o600); err != nil {
		return "", err
	}
	file, err := filepath.Abs(guard.File)
	if err != nil {
		return "", err
	}
	overlay, err := json.Marshal(map[string]map[string]string{"Replace": {file: mutated}})
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, "overlay.json")
	return path, os.WriteFile(path, overlay, 0o600)
}
