package experiment

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// overloadedRegions returns an experiment with 11 engines in three regions and more requests than they
// can process.
func overloadedRegions(policies ...Policy) *Experiment {
	return &Experiment{
		Length:  8 * time.Second,
		Seeds:   []uint64{1, 2},
		Regions: []Region{{Name: "a", Entries: 3, Servers: 4}, {Name: "b", Entries: 3, Servers: 4}, {Name: "c", Entries: 2, Servers: 3}},
		Engine:  Engine{Slots: 12, Step: 6730 * time.Microsecond, Stride: 7, PromptsPerSecond: 30600, Load: 300 * time.Millisecond},
		Kinds: []Kind{{Name: "draft", PerSecond: 160, Prompt: 900, Answer: 120, Goal: 400 * time.Millisecond,
			Limit: 6 * time.Second, Retries: 1}},
		Policies: policies,
	}
}

// Under overload, none of the rejected alternative policies may answer more requests in time than the
// production policy.
func TestProductionPolicyAnswersMostRequestsInTime(t *testing.T) {
	e := overloadExample(t)
	e.Length, e.Seeds, e.Bursts[0].At = 3*time.Second, []uint64{1}, 0
	rows := e.Run(func(string, uint64) {})
	production := rows[0].Outcomes[0].Total()
	for _, row := range rows[1:] {
		t.Run(row.Policy, func(t *testing.T) {
			total := row.Outcomes[0].Total()
			t.Logf("%+v, production %+v", total, production)
			qt.Check(t, total.Requests, qt.Equals, production.Requests)
			qt.Check(t, total.InTime <= production.InTime, qt.IsTrue)
		})
	}
}

// overloadExample returns the example experiment in which requests exceed the capacity of the servers.
func overloadExample(t *testing.T) *Experiment {
	data, err := os.ReadFile("../../../docs/measurements/experiments/overload.yaml")
	qt.Assert(t, err, qt.IsNil)
	e, err := Parse(data)
	qt.Assert(t, err, qt.IsNil)
	return e
}

// Two runs with the same seed must have the same outcome, also with an outage.
func TestSimulationIsDeterministicPerSeed(t *testing.T) {
	e := overloadedRegions(Policy{Name: "production"})
	e.Outages = []Outage{{At: 2 * time.Second, For: time.Second}}
	first, second := e.Simulate(&e.Policies[0], 7), e.Simulate(&e.Policies[0], 7)
	qt.Assert(t, second, qt.DeepEquals, first)
	other := e.Simulate(&e.Policies[0], 8)
	qt.Assert(t, other.Total(), qt.Not(qt.Equals), first.Total())
}

// Each request must be counted with exactly one result, also during an outage, and requests after the
// outage must be answered.
func TestEachRequestHasOneResult(t *testing.T) {
	c := qt.New(t)
	e := overloadedRegions(Policy{Name: "production"})
	e.Kinds[0].PerSecond = 60
	e.Outages = []Outage{{At: 2 * time.Second, For: time.Second}}
	outcome := e.Simulate(&e.Policies[0], 1)
	for n, s := range outcome.Seconds {
		c.Check(s.InTime+s.Late+s.Refused, qt.Equals, s.Requests, qt.Commentf("second %d: %+v", n, s))
	}
	c.Check(outcome.Seconds[2].InTime, qt.Equals, 0)
	c.Check(outcome.Total().Broken > 0, qt.IsTrue)
	c.Check(outcome.Seconds[7].inTimeShare() > 0.9, qt.IsTrue)
}

// The example experiments in the documentation must be valid.
func TestDocumentedExamplesAreValid(t *testing.T) {
	files, err := filepath.Glob("../../../docs/measurements/experiments/*.yaml")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(files) > 0, qt.IsTrue)
	for _, file := range files {
		data, err := os.ReadFile(file)
		qt.Assert(t, err, qt.IsNil)
		_, err = Parse(data)
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s", file))
	}
}

// Parse must reject invalid files with an error that names the field.
func TestParseRejectsInvalidFiles(t *testing.T) {
	data, err := os.ReadFile("../../../docs/measurements/experiments/overload.yaml")
	qt.Assert(t, err, qt.IsNil)
	tests := []struct{ name, old, replacement, want string }{
		{"unknown field", "Length: 14s", "Lenght: 14s", `(?s)parse experiment: .*field Lenght not found.*`},
		{"no length", "Length: 14s", "Length: 0s", `check experiment: Length: 0s: expected a duration up to 10m0s`},
		{"no seeds", "Seeds: [1, 2, 3]", "Seeds: []", `check experiment: Seeds: expected one or more`},
		{"no slots", "Slots: 12", "Slots: 0", `check experiment: Engine: .*Slots:0.*: expected values above 0`},
		{"a kind without requests", "PerSecond: 180", "PerSecond: 0", `check experiment: Kinds: draft: expected values above 0.*`},
		{"too many requests", "PerSecond: 180", "PerSecond: 1000000", `check experiment: Kinds: .* requests: expected 5000000 or less`},
		{"a burst without an end", "For: 6s", "For: 0s", `check experiment: Bursts: .*: expected For and Factor above 0`},
		{"a text for a number", "Entries: 10", "Entries: ten", `(?s)parse experiment: .*cannot unmarshal.*ten.*`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			invalid := bytes.Replace(data, []byte(test.old), []byte(test.replacement), 1)
			_, err := Parse(invalid)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
		})
	}
}
