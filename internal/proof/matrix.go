package proof

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"

	"go.yaml.in/yaml/v3"
)

// Matrix is the fault matrix: which tests cover each fault at each step.
type Matrix struct {
	Faults   []string  `yaml:"Faults"`
	Promises []Promise `yaml:"Promises"`
}

// Promise is one guarantee of the system, with the steps at which it must hold and the rules for its
// cells.
type Promise struct {
	Name        string   `yaml:"Name"`
	Description string   `yaml:"Says"`
	Steps       []string `yaml:"Steps"`
	Rules       []Rule   `yaml:"Rules"`
}

// Rule assigns tests or a reason to cells. Empty Steps or Faults match all.
type Rule struct {
	Steps  []string `yaml:"Steps"`
	Faults []string `yaml:"Faults"`
	// Tests are names of the form "package.Test". Reason is set instead of Tests
	// if the fault cannot happen at the step.
	Tests  []string `yaml:"Tests"`
	Reason string   `yaml:"Reason"`
}

// Verdict is the state of a cell.
type Verdict string

// States of a cell.
const (
	Proved        Verdict = "proved"
	NotApplicable Verdict = "not applicable"
	NotProved     Verdict = "NOT PROVED"
	Failed        Verdict = "FAILED"
)

// Cell is one cell of the matrix.
type Cell struct {
	Promise, Step, Fault string
	Rule                 *Rule
}

// LoadMatrix reads the matrix from a YAML file and validates its names.
func LoadMatrix(file string) (*Matrix, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	var m Matrix
	if err := yaml.Unmarshal(data, &m); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	tests, err := findTests()
	if err != nil {
		return nil, err
	}
	for _, promise := range m.Promises {
		for _, rule := range promise.Rules {
			if err := m.checkRule(promise, rule, tests); err != nil {
				return nil, err
			}
		}
	}
	return &m, nil
}

func (m *Matrix) checkRule(promise Promise, rule Rule, tests map[string]string) error {
	for _, step := range rule.Steps {
		if !slices.Contains(promise.Steps, step) {
			return fmt.Errorf("promise %s has no step %s", promise.Name, step)
		}
	}
	for _, fault := range rule.Faults {
		if !slices.Contains(m.Faults, fault) {
			return fmt.Errorf("promise %s: unknown fault %s", promise.Name, fault)
		}
	}
	for _, test := range rule.Tests {
		if _, ok := tests[test]; !ok {
			return fmt.Errorf("promise %s: unknown test %s", promise.Name, test)
		}
	}
	if (len(rule.Tests) == 0) == (rule.Reason == "") {
		return fmt.Errorf("promise %s: a rule needs either Tests or a Reason", promise.Name)
	}
	return nil
}

// Cells returns every cell with the first rule that matches it, or nil.
func (m *Matrix) Cells() []Cell {
	var cells []Cell
	for _, promise := range m.Promises {
		for _, step := range promise.Steps {
			for _, fault := range m.Faults {
				cells = append(cells, Cell{Promise: promise.Name, Step: step, Fault: fault, Rule: promise.ruleFor(step, fault)})
			}
		}
	}
	return cells
}

// ruleFor returns the first rule that matches a step and a fault, or nil.
func (p Promise) ruleFor(step, fault string) *Rule {
	for i, rule := range p.Rules {
		if listed(rule.Steps, step) && listed(rule.Faults, fault) {
			return &p.Rules[i]
		}
	}
	return nil
}

// listed reports whether a list contains a name. An empty list contains all.
func listed(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }

// Verdict returns the state of the cell, given the tests that failed.
func (c Cell) Verdict(failed map[string]bool) Verdict {
	switch {
	case c.Rule == nil:
		return NotProved
	case c.Rule.Reason != "":
		return NotApplicable
	}
	for _, test := range c.Rule.Tests {
		if failed[test] {
			return Failed
		}
	}
	return Proved
}

var testFunc = regexp.MustCompile(`(?m)^func (Test\w+)\(`)

// findTests returns the directory of each test, keyed by "package.Test".
func findTests() (map[string]string, error) {
	tests := map[string]string{}
	err := filepath.WalkDir(".", func(path string, _ os.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		data, err := os.ReadFile(path)
		dir := filepath.Dir(path)
		for _, match := range testFunc.FindAllSubmatch(data, -1) {
			tests[filepath.Base(dir)+"."+string(match[1])] = dir
		}
		return err
	})
	return tests, err
}

// RunTests runs every test in the matrix and returns the tests that did not
// pass.
func (m *Matrix) RunTests(ctx context.Context) (failed map[string]bool, err error) {
	dirs, err := findTests()
	if err != nil {
		return nil, err
	}
	byDir := map[string][]string{}
	for _, cell := range m.Cells() {
		if cell.Rule == nil {
			continue
		}
		for _, test := range cell.Rule.Tests {
			if dir := dirs[test]; !slices.Contains(byDir[dir], test) {
				byDir[dir] = append(byDir[dir], test)
			}
		}
	}
	failed = map[string]bool{}
	for dir, tests := range byDir {
		var patterns []string
		for _, test := range tests {
			_, name, _ := strings.Cut(test, ".")
			patterns = append(patterns, name)
		}
		command := exec.CommandContext(ctx, "go", "test", "-count=1", "-v", "-timeout=5m", "-run=^("+strings.Join(patterns, "|")+")$", "./"+dir)
		output, _ := command.CombinedOutput()
		for _, test := range tests {
			_, name, _ := strings.Cut(test, ".")
			if !strings.Contains(string(output), "--- PASS: "+name+" ") {
				failed[test] = true
			}
		}
	}
	return failed, nil
}

// Count returns the number of cells for each verdict.
func (m *Matrix) Count(failed map[string]bool) map[Verdict]int {
	counts := map[Verdict]int{}
	for _, cell := range m.Cells() {
		counts[cell.Verdict(failed)]++
	}
	return counts
}

// Write writes the matrix as a Markdown page.
func (m *Matrix) Write(w io.Writer) {
	counts := m.Count(nil)
	fmt.Fprintln(w, "# Fault matrix\n\nWritten from proof/matrix.yaml by `make docs`; `make matrix` runs the tests behind it.")
	fmt.Fprintf(w, "\n%d cells have a test, %d cannot happen, %d are not proved.\n", counts[Proved], counts[NotApplicable], counts[NotProved])
	fmt.Fprintln(w, "\nA cell is `test`, `-` (cannot happen, see the reasons) or **NOT PROVED**.")
	for _, promise := range m.Promises {
		fmt.Fprintf(w, "\n## %s\n\n%s\n\n| fault |", promise.Name, promise.Description)
		for _, step := range promise.Steps {
			fmt.Fprintf(w, " %s |", step)
		}
		fmt.Fprintf(w, "\n| --- |%s\n", strings.Repeat(" --- |", len(promise.Steps)))
		for _, fault := range m.Faults {
			fmt.Fprintf(w, "| %s |", fault)
			for _, step := range promise.Steps {
				fmt.Fprintf(w, " %s |", cellText(promise.ruleFor(step, fault)))
			}
			fmt.Fprintln(w)
		}
		promise.writeRules(w)
	}
}

// cellText returns the text of a table cell.
func cellText(rule *Rule) string {
	switch {
	case rule == nil:
		return "**NOT PROVED**"
	case rule.Reason != "":
		return "-"
	}
	return "test"
}

// writeRules writes the table of the rules.
func (p Promise) writeRules(w io.Writer) {
	all := func(list []string) string {
		if len(list) == 0 {
			return "all"
		}
		return strings.Join(list, ", ")
	}
	fmt.Fprintln(w, "\n| steps | faults | proof |\n| --- | --- | --- |")
	for _, rule := range p.Rules {
		proof := rule.Reason
		if proof == "" {
			proof = "`" + strings.Join(rule.Tests, "`, `") + "`"
		}
		fmt.Fprintf(w, "| %s | %s | %s |\n", all(rule.Steps), all(rule.Faults), proof)
	}
}
