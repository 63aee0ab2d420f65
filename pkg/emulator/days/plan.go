package days

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/wrenferry/wrenferry/pkg/emulator"
	"github.com/wrenferry/wrenferry/pkg/fault"
)

// planOf returns the plan of a name and a seed, with the fields of the JSON text set replaced.
func planOf(name, seed, set string) (emulator.Plan, error) {
	planFor, ok := plans[name]
	if !ok {
		return emulator.Plan{}, fault.New(fault.BadInput, name, "is not a plan", "there are "+strings.Join(planNames(), ", "))
	}
	n, err := strconv.ParseUint(seed, 10, 64)
	if err != nil {
		return emulator.Plan{}, fault.New(fault.BadInput, seed, "is not a seed", "write a number")
	}
	plan := planFor(n)
	if set == "" {
		return plan, nil
	}
	d := json.NewDecoder(strings.NewReader(set))
	d.DisallowUnknownFields()
	if err := d.Decode(&plan); err != nil {
		return plan, fault.New(fault.BadInput, "--set", "does not set fields of a plan", "").WithCause(err)
	}
	return plan, nil
}
