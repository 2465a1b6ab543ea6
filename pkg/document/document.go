// Package document decodes and validates YAML files written by people. It
// reports all faults of a file at once, each with the line, the field, the value
// and what was expected.
package document

import (
	"cmp"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"go.yaml.in/yaml/v3"
)

// MaxBytes is the maximum size of a document. Larger documents are rejected
// before they are parsed.
const MaxBytes = 16 << 20

// Fault is one validation error in a document.
type Fault struct {
	// Line is the line of the fault, starting at 1, or 0 if it has none.
	Line     int
	Field    string
	Value    string
	Expected string
}

// String returns the fault on one line.
func (f Fault) String() string {
	var b strings.Builder
	if f.Line > 0 {
		fmt.Fprintf(&b, "line %d: ", f.Line)
	}
	if f.Field != "" {
		fmt.Fprintf(&b, "%s: ", f.Field)
	}
	if f.Value != "" {
		fmt.Fprintf(&b, "%q: ", f.Value)
	}
	b.WriteString(f.Expected)
	return b.String()
}

// Faults is the error that lists all faults of a document.
type Faults []Fault

// Error returns all faults, one per line.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i, fault := range f {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Checker collects faults and looks up the line of each field.
type Checker struct {
	root   *yaml.Node
	faults Faults
	// decodeErrorLines holds the lines with faults found while decoding. Later
	// faults of such a line are dropped, as they would only be consequences.
	decodeErrorLines map[int]bool
}

// Decode parses data into out, a pointer to a struct whose fields have yaml
// tags. The returned Checker already contains the faults of syntax and type and
// the unknown fields.
func Decode(data []byte, out any) *Checker {
	check := &Checker{decodeErrorLines: map[int]bool{}}
	if len(data) > MaxBytes {
		check.add(Fault{Expected: fmt.Sprintf("at most %d bytes", MaxBytes)})
		return check
	}
	var root yaml.Node
	if err := yaml.Unmarshal(data, &root); err != nil {
		check.addDecodeError(err)
		return check
	}
	check.root = &root
	decoder := yaml.NewDecoder(strings.NewReader(string(data)))
	decoder.KnownFields(true)
	if err := decoder.Decode(out); err != nil {
		check.addDecodeError(err)
	}
	return check
}

// Fault records that the value of the field at path is not as expected. An
// example of a path is "Models[0].Name".
func (c *Checker) Fault(path string, value any, expected string) {
	line := c.Line(path)
	if c.decodeErrorLines[line] {
		return
	}
	c.add(Fault{Line: line, Field: path, Value: fmt.Sprint(value), Expected: expected})
}

// Require records a fault unless ok is true.
func (c *Checker) Require(ok bool, path string, value any, expected string) {
	if !ok {
		c.Fault(path, value, expected)
	}
}

// Parsed reports whether the document is valid YAML, so that its fields can be
// checked.
func (c *Checker) Parsed() bool { return c.root != nil }

// Err returns the Faults in the order of their lines, or nil if there are none.
func (c *Checker) Err() error {
	if len(c.faults) == 0 {
		return nil
	}
	slices.SortStableFunc(c.faults, func(a, b Fault) int { return cmp.Compare(a.Line, b.Line) })
	return c.faults
}

// Line returns the line of the field at path, or of its closest parent that
// exists in the file.
func (c *Checker) Line(path string) int {
	if c.root == nil || len(c.root.Content) == 0 {
		return 0
	}
	node := c.root.Content[0]
	for _, step := range parsePath(path) {
		next := child(node, step)
		if next == nil {
			break
		}
		node = next
	}
	return node.Line
}

func (c *Checker) add(f Fault) {
	c.faults = append(c.faults, f)
}

var (
	linePrefix   = regexp.MustCompile(`^line (\d+): (.*)$`)
	unknownField = regexp.MustCompile(`^field (\S+) not found in type \S+$`)
	wrongType    = regexp.MustCompile("^cannot unmarshal !!\\w+ `(.*)` into (\\S+)$")
)

func (c *Checker) addDecodeError(err error) {
	var typeErr *yaml.TypeError
	if !errors.As(err, &typeErr) {
		c.add(decodeFault(strings.TrimPrefix(err.Error(), "yaml: ")))
		return
	}
	for _, message := range typeErr.Errors {
		fault := decodeFault(message)
		c.decodeErrorLines[fault.Line] = true
		c.add(fault)
	}
}

// decodeFault converts an error message of the YAML decoder into a Fault.
func decodeFault(message string) Fault {
	var fault Fault
	if m := linePrefix.FindStringSubmatch(message); m != nil {
		fault.Line, _ = strconv.Atoi(m[1])
		message = m[2]
	}
	if m := unknownField.FindStringSubmatch(message); m != nil {
		fault.Field = m[1]
		fault.Expected = "unknown field"
		return fault
	}
	if m := wrongType.FindStringSubmatch(message); m != nil {
		fault.Value = m[1]
		fault.Expected = "expected a value of type " + m[2]
		return fault
	}
	fault.Expected = message
	return fault
}

func parsePath(path string) []string {
	path = strings.ReplaceAll(path, "[", ".")
	path = strings.ReplaceAll(path, "]", "")
	return strings.Split(path, ".")
}

// child returns the value of a mapping key or sequence index, or nil.
func child(node *yaml.Node, step string) *yaml.Node {
	switch node.Kind {
	case yaml.MappingNode:
		for i := 0; i+1 < len(node.Content); i += 2 {
			if node.Content[i].Value == step {
				return node.Content[i+1]
			}
		}
	case yaml.SequenceNode:
		index, err := strconv.Atoi(step)
		if err == nil && index >= 0 && index < len(node.Content) {
			return node.Content[index]
		}
	}
	return nil
}
