package document

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"go.yaml.in/yaml/v3"
)

// Duration is a duration that is written as "250ms" in YAML.
type Duration time.Duration

// UnmarshalYAML parses a duration.
func (d *Duration) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := time.ParseDuration(node.Value)
	if err != nil {
		return typeError(node, "a duration such as 250ms")
	}
	*d = Duration(parsed)
	return nil
}

// MarshalYAML formats the duration.
func (d Duration) MarshalYAML() (any, error) {
	return time.Duration(d).String(), nil
}

// Size is a number of bytes that is written as "64MiB" in YAML.
type Size int64

// The units of sizes.
const (
	KiB Size = 1 << 10
	MiB Size = 1 << 20
	GiB Size = 1 << 30
)

var sizeUnits = []struct {
	name string
	size Size
}{
	{"GiB", GiB},
	{"MiB", MiB},
	{"KiB", KiB},
	{"B", 1},
}

// ParseSize parses a size such as "64MiB".
func ParseSize(text string) (Size, error) {
	for _, unit := range sizeUnits {
		number, ok := strings.CutSuffix(text, unit.name)
		if !ok {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(number), 10, 64)
		if err != nil || n < 0 || n > int64(1<<62)/int64(unit.size) {
			break
		}
		return Size(n) * unit.size, nil
	}
	return 0, fmt.Errorf("size %q: expected a number with B, KiB, MiB or GiB", text)
}

// String returns the size in the largest unit that divides it.
func (s Size) String() string {
	for _, unit := range sizeUnits {
		if s >= unit.size && s%unit.size == 0 {
			return strconv.FormatInt(int64(s/unit.size), 10) + unit.name
		}
	}
	return strconv.FormatInt(int64(s), 10) + "B"
}

// UnmarshalYAML parses a size.
func (s *Size) UnmarshalYAML(node *yaml.Node) error {
	parsed, err := ParseSize(node.Value)
	if err != nil {
		return typeError(node, "a size such as 64MiB")
	}
	*s = parsed
	return nil
}

// MarshalYAML formats the size.
func (s Size) MarshalYAML() (any, error) {
	return s.String(), nil
}

// typeError returns the error type that Decode reports as a Fault.
func typeError(node *yaml.Node, expected string) error {
	message := fmt.Sprintf("line %d: %q: expected %s", node.Line, node.Value, expected)
	return &yaml.TypeError{Errors: []string{message}}
}
