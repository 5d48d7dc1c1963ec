package policy

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"shedkeel.org/shedkeel"
)

// run runs a program with SampleFacts.
func run(program string) (shedkeel.PlannerParameters, error) {
	return Run(shedkeel.Policy{Name: "p.star", Program: program}, SampleFacts())
}

// TestRefusals checks that Run refuses invalid programs with an InvalidError that names the
// position (p.star:LINE:COLUMN) or the cause; want is a part of the error's text.
func TestRefusals(t *testing.T) {
	cases := map[string]struct{ program, want string }{
		"syntax":                 {"def plan(facts)\n  return 1", "p.star:2:1: got newline, want ':'"},
		"unknown name":           {"def plan(facts):\n    return tabel()", "p.star:2:12"},
		"no plan":                {"x = 1", "it has no function plan"},
		"plan is not a function": {"plan = 1", "it has no function plan"},
		"returns a number":       {"def plan(facts):\n    return 7", "plan returned a int"},
		"unknown argument":       {"def plan(facts):\n    return table(spare = 1)", "p.star:2:17"},
		"text instead of number": {"def plan(facts):\n    return table(spares = \"x\")", "p.star:2:17"},
		"negative spares":        {"def plan(facts):\n    return table(spares = -1)", "spares must be"},
		"patience too long":      {"def plan(facts):\n    return table(patience_seconds = 1e9)", "patience_seconds must be"},
		"patience is NaN":        {"def plan(facts):\n    return table(patience_seconds = float(\"nan\"))", "patience_seconds must be"},
		"fraction over one":      {"def plan(facts):\n    return table(storm_fraction = 2)", "storm_fraction must be"},
		"unknown fact":           {"def plan(facts):\n    return table(spares = facts.moon)", "p.star:2:32"},
		"endless loop":           {"def plan(facts):\n    for i in range(100000000):\n        pass\n    return table()", "too many steps"},
		"endless at top level":   {"x = [i for i in range(100000000)]", "too many steps"},
		"loads a module":         {"load(\"x.star\", \"y\")\ndef plan(facts):\n    return table()", "load"},
		"recursion":              {"def f():\n    f()\ndef plan(facts):\n    f()\n    return table()", "recursive"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := run(test.program)
			var invalid *shedkeel.InvalidError
			assert.Assert(t, errors.As(err, &invalid), "the error is not an InvalidError: %v", err)
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// TestShippedPoliciesDiffer checks that the two policies in the folder policies are valid
// and that, with SampleFacts, karadere keeps more spares than nafha, and only nafha allows
// groups across domains.
func TestShippedPoliciesDiffer(t *testing.T) {
	tables := map[string]shedkeel.PlannerParameters{}
	for _, name := range []string{"karadere", "nafha"} {
		program, err := os.ReadFile(filepath.Join("..", "policies", name+".star"))
		assert.NilError(t, err)
		tables[name], err = run(string(program))
		assert.NilError(t, err)
	}
	assert.Assert(t, tables["karadere"].Spares > tables["nafha"].Spares, "karadere keeps %d spares, nafha %d", tables["karadere"].Spares, tables["nafha"].Spares)
	assert.Assert(t, tables["nafha"].CrossDomain && !tables["karadere"].CrossDomain, "only nafha must allow groups across domains")
}

// TestEmptyPolicyIsTheDefault checks that a policy without a program gives DefaultTable,
// and that the ReplaceAfter of DefaultTable is 20 s.
func TestEmptyPolicyIsTheDefault(t *testing.T) {
	table, err := Run(shedkeel.Policy{}, SampleFacts())
	assert.NilError(t, err)
	assert.DeepEqual(t, table, DefaultTable())
	assert.Equal(t, table.ReplaceAfter, 20*time.Second)
}

// FuzzPolicy checks that any program gives either a table or an InvalidError.
func FuzzPolicy(f *testing.F) {
	f.Add("def plan(facts):\n    return table(spares = facts.domains)")
	f.Add("def plan(facts):\n    return table(patience_seconds = 1/0)")
	f.Fuzz(func(t *testing.T, program string) {
		_, err := run(program)
		var invalid *shedkeel.InvalidError
		assert.Assert(t, err == nil || errors.As(err, &invalid), "the error is not an InvalidError: %v", err)
	})
}
