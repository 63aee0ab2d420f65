package cli

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// show prints a view as JSON, or as a table with the column names in head (separated by
// spaces) and the cells that lines returns.
func show[T any](s *session, view T, head string, lines func(T) [][]any) error {
	if s.flags.output == "json" {
		return s.showJSON(view)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, columnGap, ' ', 0)
	if head != "" {
		fmt.Fprintln(w, strings.ReplaceAll(head, " ", "\t"))
	}
	for _, cells := range lines(view) {
		words := make([]string, len(cells))
		for i, c := range cells {
			words[i] = fmt.Sprint(c)
		}
		fmt.Fprintln(w, strings.Join(words, "\t"))
	}
	if err := w.Flush(); err != nil {
		return fault.New(fault.Internal, "output", "can't be written", "").WithCause(err)
	}
	return nil
}

func (s *session) showJSON(view any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(view); err != nil {
		return fault.New(fault.Internal, "output", "can't be written", "").WithCause(err)
	}
	return nil
}

// orDash returns the text, or "-" for an empty cell.
func orDash(text string) string { return firstNonEmpty(text, "-") }
