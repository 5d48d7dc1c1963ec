// Package policy runs the policy programs of operators. A policy is a short Starlark program
// with a function plan(facts) that returns a table: the parameters of the planner, as the
// built-in function table(...) makes them. The policy runs when operators check or apply it
// and when a keeper plans a zone for the first time under a new configuration, but not for
// each request. It cannot do I/O (print has no effect), and the number of its steps is
// bounded.
package policy

import (
	"errors"
	"fmt"
	"time"

	"go.starlark.net/resolve"
	"go.starlark.net/starlark"
	"go.starlark.net/starlarkstruct"
	"go.starlark.net/syntax"

	"shedkeel.org/shedkeel"
)

const (
	// MaxSteps bounds the Starlark execution steps of one run of a policy.
	MaxSteps = 100_000
	// MaxSize bounds the source of a policy, in bytes.
	MaxSize = 64 << 10

	// maxSpares bounds the argument spares of table(...), and maxPatience the arguments
	// patience_seconds and warm_patience_seconds.
	maxSpares   = 1000
	maxPatience = time.Hour
)

// Facts is the input of plan. Zone, DomainBoxes and Domains describe one availability zone.
// Keepers do not measure RestartTime and WeightLoadTime: they pass those of SampleFacts.
type Facts struct {
	Zone           shedkeel.ZoneID
	GroupSize      int           // boxes per group of the service with the largest groups, whatever its zones
	DomainBoxes    int           // boxes in the zone's largest fabric domain
	Domains        int           // fabric domains in the zone
	RestartTime    time.Duration // typical time that a box does not respond while it restarts
	WeightLoadTime time.Duration // typical time to load model weights
}

// DefaultTable returns the planner's parameters until operators apply a policy. They are
// also the defaults of the arguments of table(...).
func DefaultTable() shedkeel.PlannerParameters {
	return shedkeel.PlannerParameters{ReplaceAfter: 20 * time.Second, DomainFailureFraction: 0.5, WarmSpares: true}
}

// SampleFacts returns the input with which Check runs a policy.
func SampleFacts() Facts {
	return Facts{Zone: "zone", GroupSize: 8, DomainBoxes: 32, Domains: 2, RestartTime: time.Minute, WeightLoadTime: 2 * time.Minute}
}

// fileOptions are the language options of policies: they enable the set type, which
// go.starlark.net disables by default.
var fileOptions = &syntax.FileOptions{Set: true}

// Check runs a policy with SampleFacts and returns the InvalidError of Run, or nil. The
// error has the line and column if the fault has a position in the program.
func Check(policy shedkeel.Policy) error {
	_, err := Run(policy, SampleFacts())
	return err
}

// Run runs a policy and returns the table that its plan function returns, or DefaultTable
// if the program is empty. It returns an InvalidError if the program is longer than MaxSize,
// does not compile, has no function plan, fails or exceeds MaxSteps, or if plan does not
// return a table.
func Run(policy shedkeel.Policy, facts Facts) (shedkeel.PlannerParameters, error) {
	if policy.Program == "" {
		return DefaultTable(), nil
	}
	if len(policy.Program) > MaxSize {
		return shedkeel.PlannerParameters{}, invalid(policy, fmt.Sprintf("it is %d bytes long", len(policy.Program)), fmt.Sprintf("keep it within %d", MaxSize))
	}
	thread := &starlark.Thread{Name: policy.Name, Print: func(*starlark.Thread, string) {}}
	thread.SetMaxExecutionSteps(MaxSteps)
	builder := &builder{}
	globals, err := starlark.ExecFileOptions(fileOptions, thread, policy.Name, policy.Program, starlark.StringDict{
		"table": starlark.NewBuiltin("table", builder.table),
	})
	if err != nil {
		return shedkeel.PlannerParameters{}, invalidProgram(policy, err)
	}
	plan, ok := globals["plan"].(starlark.Callable)
	if !ok {
		return shedkeel.PlannerParameters{}, invalid(policy, "it has no function plan", "define plan(facts) and return table(...)")
	}
	result, err := starlark.Call(thread, plan, starlark.Tuple{facts.value()}, nil)
	if err != nil {
		return shedkeel.PlannerParameters{}, invalidProgram(policy, err)
	}
	value, ok := result.(*tableValue)
	if !ok {
		return shedkeel.PlannerParameters{}, invalid(policy, "plan returned a "+result.Type(), "return table(...)")
	}
	return value.table, nil
}

// value returns the facts as the Starlark struct that plan receives.
func (facts Facts) value() starlark.Value {
	return starlarkstruct.FromStringDict(starlarkstruct.Default, starlark.StringDict{
		"zone":            starlark.String(facts.Zone),
		"members":         starlark.MakeInt(facts.GroupSize),
		"domain_boxes":    starlark.MakeInt(facts.DomainBoxes),
		"domains":         starlark.MakeInt(facts.Domains),
		"restart_seconds": starlark.Float(facts.RestartTime.Seconds()),
		"load_seconds":    starlark.Float(facts.WeightLoadTime.Seconds()),
	})
}

// tableValue is the Starlark value that table(...) returns. Its Struct, which has no fields,
// provides the methods of starlark.Value.
type tableValue struct {
	*starlarkstruct.Struct
	table shedkeel.PlannerParameters
}

// builder implements the built-in function table(...).
type builder struct{}

// table builds a table from the arguments of table(...), and returns an error if an argument
// is unknown, has the wrong type or is out of range. The arguments that are left out have
// the values of DefaultTable.
func (*builder) table(_ *starlark.Thread, function *starlark.Builtin, args starlark.Tuple, kwargs []starlark.Tuple) (starlark.Value, error) {
	table := DefaultTable()
	patience := starlark.Value(starlark.Float(table.ReplaceAfter.Seconds()))
	warmPatience := starlark.Value(starlark.Float(table.WarmReplaceAfter.Seconds()))
	stormFraction := starlark.Value(starlark.Float(table.DomainFailureFraction))
	err := starlark.UnpackArgs(function.Name(), args, kwargs,
		"spares?", &table.Spares,
		"warm_spares?", &table.WarmSpares,
		"patience_seconds?", &patience,
		"warm_patience_seconds?", &warmPatience,
		"consolidate?", &table.Consolidate,
		"cross_domain?", &table.CrossDomain,
		"storm_fraction?", &stormFraction,
	)
	if err != nil {
		return nil, err
	}
	if table.ReplaceAfter, err = durationArgument("patience_seconds", patience); err != nil {
		return nil, err
	}
	if table.WarmReplaceAfter, err = durationArgument("warm_patience_seconds", warmPatience); err != nil {
		return nil, err
	}
	fraction, ok := starlark.AsFloat(stormFraction)
	if !ok || !(fraction >= 0 && fraction <= 1) { // also true for NaN
		return nil, errors.New("storm_fraction must be a number from 0 to 1")
	}
	if table.Spares < 0 || table.Spares > maxSpares {
		return nil, fmt.Errorf("spares must be from 0 to %d", maxSpares)
	}
	table.DomainFailureFraction = fraction
	return &tableValue{Struct: starlarkstruct.FromStringDict(starlarkstruct.Default, nil), table: table}, nil
}

// durationArgument converts the value of the named argument, in seconds, to a duration. It
// returns an error if the value is not a number from 0 to maxPatience.
func durationArgument(name string, value starlark.Value) (time.Duration, error) {
	seconds, ok := starlark.AsFloat(value)
	if !ok || !(seconds >= 0 && seconds <= maxPatience.Seconds()) { // also true for NaN
		return 0, fmt.Errorf("%s must be a number from 0 to %g", name, maxPatience.Seconds())
	}
	return time.Duration(seconds * float64(time.Second)), nil
}

// invalidProgram converts a Starlark error to an InvalidError, with line and column if the
// error has a position in the program.
func invalidProgram(policy shedkeel.Policy, err error) error {
	remedy := "mend the program; `shedkeel policy check FILE` tries it without applying it"
	var syntaxErr syntax.Error
	if errors.As(err, &syntaxErr) {
		return &shedkeel.InvalidError{Where: syntaxErr.Pos.String(), What: syntaxErr.Msg, Remedy: remedy}
	}
	var resolveErrs resolve.ErrorList
	if errors.As(err, &resolveErrs) && len(resolveErrs) > 0 {
		return &shedkeel.InvalidError{Where: resolveErrs[0].Pos.String(), What: resolveErrs[0].Msg, Remedy: remedy}
	}
	var evalErr *starlark.EvalError
	if errors.As(err, &evalErr) {
		return &shedkeel.InvalidError{Where: errorPosition(policy, evalErr), What: evalErr.Msg, Remedy: remedy}
	}
	return &shedkeel.InvalidError{Where: policy.Name, What: err.Error(), Remedy: remedy}
}

// errorPosition returns the position of the innermost call frame that lies in the program, or
// the policy's name if there is no such frame.
func errorPosition(policy shedkeel.Policy, err *starlark.EvalError) string {
	for index := range err.CallStack {
		frame := err.CallStack.At(index)
		if frame.Pos.Filename() == policy.Name && frame.Pos.Line > 0 {
			return frame.Pos.String()
		}
	}
	return policy.Name
}

// invalid returns an InvalidError whose Where is the policy's name, without a position.
func invalid(policy shedkeel.Policy, what, remedy string) error {
	return &shedkeel.InvalidError{Where: policy.Name, What: what, Remedy: remedy}
}
