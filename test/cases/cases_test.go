// Package cases_test runs the regression cases of the command line. A case is a folder with the files
// command, expected and, optionally, input. To add a case, create a folder with a command and run the
// tests once with -update, which writes expected.
package cases_test

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/wrenferry/wrenferry/pkg/cli"
)

var update = flag.Bool("update", false, "write the expected outputs")

func TestCases(t *testing.T) {
	t.Setenv("WRENFERRY_ADDRESS", "")
	commands, err := filepath.Glob("*/command")
	must.NoError(t, err)
	must.SliceNotEmpty(t, commands)
	for _, path := range commands {
		t.Run(filepath.Dir(path), func(t *testing.T) { runCase(t, path) })
	}
}

// runCase runs a case's command and compares its output and exit code with the expected ones.
func runCase(t *testing.T, path string) {
	command, err := os.ReadFile(path)
	must.NoError(t, err)
	input, _ := os.ReadFile(filepath.Join(filepath.Dir(path), "input"))
	var out, errs bytes.Buffer
	code := cli.Main(strings.Fields(string(command)), bytes.NewReader(input), &out, &errs)
	got := fmt.Sprintf("%s%sexit code %d\n", out.String(), errs.String(), code)
	expected := filepath.Join(filepath.Dir(path), "expected")
	if *update {
		must.NoError(t, os.WriteFile(expected, []byte(got), 0o600))
	}
	want, err := os.ReadFile(expected)
	must.NoError(t, err)
	must.Eq(t, string(want), got)
}
