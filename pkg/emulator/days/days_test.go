package days_test

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/emulator/days"
)

// runEmulate returns the exit code and the output of both streams.
func runEmulate(args ...string) (code int, text string) {
	var out bytes.Buffer
	code = days.Main(args, &out, &out)
	return code, out.String()
}

func TestRecordPlayAndReduceDay(t *testing.T) {
	t.Parallel()
	file, left := filepath.Join(t.TempDir(), "day.json.gz"), filepath.Join(t.TempDir(), "left.json.gz")
	code, text := runEmulate("record", "DefaultPlan", "0", file, "--set", `{"Unsafe": {"NoSettling": true}}`)
	must.Eq(t, 1, code)
	must.StrContains(t, text, "TWICE")
	code, text = runEmulate("play", file)
	must.Eq(t, 1, code)
	must.StrContains(t, text, "BROKEN TWICE")
	code, text = runEmulate("reduce", file, left)
	must.Eq(t, 0, code, must.Sprint(text))
	must.StrContains(t, text, "plays, ")
	must.StrContains(t, text, "BROKEN TWICE")
	code, _ = runEmulate("play", left)
	must.Eq(t, 1, code)
}

func TestDayWithoutBrokenRuleIsNotReduced(t *testing.T) {
	t.Parallel()
	file := filepath.Join(t.TempDir(), "day.json.gz")
	code, text := runEmulate("record", "DefaultPlan", "1", file)
	must.Eq(t, 0, code)
	must.StrContains(t, text, "no rule is broken")
	code, text = runEmulate("reduce", file, file)
	must.Eq(t, 2, code)
	must.StrContains(t, text, "breaks no rule")
}

func TestErrorNamesBadInput(t *testing.T) {
	t.Parallel()
	bad := filepath.Join(t.TempDir(), "bad.json.gz")
	must.NoError(t, os.WriteFile(bad, []byte("{}"), 0o600))
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"play", bad}, bad + ": is not a script"},
		{[]string{"reduce", bad, bad}, bad + ": is not a script"},
		{[]string{"play", "no/such/file"}, "no/such/file: can't be read"},
		{[]string{"record", "SundayPlan", "1", bad}, "SundayPlan: is not a plan"},
		{[]string{"record", "DefaultPlan", "one", bad}, "one: is not a seed"},
		{[]string{"record", "DefaultPlan", "1", bad, "--set", `{"Sun": 1}`}, `unknown field "Sun"`},
		{[]string{"cut"}, "cut"},
	} {
		code, text := runEmulate(c.args...)
		must.Eq(t, 2, code)
		must.StrContains(t, text, c.want)
	}
}

func TestSearchPrintsBreakingSeedsAndCountsLines(t *testing.T) {
	t.Parallel()
	code, text := runEmulate("search", "DefaultPlan", "0", "2", "--set", `{"Unsafe": {"NoSettling": true}}`, "--count", "cell-settled")
	must.Eq(t, 1, code)
	must.StrContains(t, text, "seed 0 breaks")
	must.StrContains(t, text, "of 2 days break a rule")
	must.StrContains(t, text, "lines on 2 days match cell-settled")
	code, text = runEmulate("search", "DefaultPlan", "0", "2", "--count", "(")
	must.Eq(t, 2, code)
	must.StrContains(t, text, "is not a pattern")
}
