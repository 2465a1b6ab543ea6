// Package proof runs the project's proofs: it removes each guard in turn to
// see its test fail, and prints the fault matrix from the tests behind it.
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

// Guard is a guard in the code, how to remove it and the test that must fail.
type Guard struct {
	File    string `yaml:"File"`
	Old     string `yaml:"Old"`
	New     string `yaml:"New"`
	Package string `yaml:"Package"`
	Test    string `yaml:"Test"`
}

// GuardResult is what became of one guard.
type GuardResult struct {
	Guard  Guard
	Caught bool
	// Problem is set if the guard could not be removed or the test did not run.
	Problem string
}

// LoadGuards reads the list of guards.
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

// CheckListed fails if a file names more guards in comments than the list has.
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
			if named := len(guardComment.FindAll(data, -1)); named > listed[path] {
				problems = append(problems, fmt.Errorf("%s names %d guards, the list has %d", path, named, listed[path]))
			}
			return err
		})
		problems = append(problems, err)
	}
	return errors.Join(problems...)
}

// parallelTests bounds how many mutated tests run at once.
const parallelTests = 4

// RunGuards removes each guard in turn and runs its test.
func RunGuards(ctx context.Context, guards []Guard) []GuardResult {
	results := make([]GuardResult, len(guards))
	slots := make(chan struct{}, parallelTests)
	var group sync.WaitGroup
	for i, guard := range guards {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			results[i] = run(ctx, guard)
		})
	}
	group.Wait()
	return results
}

func run(ctx context.Context, guard Guard) GuardResult {
	result := GuardResult{Guard: guard}
	source, err := os.ReadFile(guard.File)
	if err != nil {
		result.Problem = err.Error()
		return result
	}
	if n := strings.Count(string(source), guard.Old); n != 1 {
		result.Problem = fmt.Sprintf("the guard's text is there %d times, expected once", n)
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
		result.Problem = "no such test"
	case strings.Contains(text, "[build failed]") || strings.Contains(text, "[setup failed]"):
		result.Problem = "does not build:\n" + text
	default:
		result.Caught = err != nil
	}
	return result
}

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
