// Package configfile parses the settings file of a process (JSON with comments)
// by a table of fields. Validation, help and docs use the same table.
//
// A file with any problem is rejected. The error lists every problem with its
// position, its value and an example of a valid value.
package configfile

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"time"

	"github.com/tailscale/hujson"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// Field describes one setting of a file.
type Field[T any] struct {
	Name     string
	Example  string
	Required bool
	Help     string
	// Set parses the JSON value literal and stores it in c.
	Set func(c *T, literal []byte) error
	// Rows is used instead of Set for a list of objects. It returns the problems found.
	Rows func(c *T, r *sourceFile, v hujson.Value) []string
}

// sourceFile is the file being parsed; source is its text.
type sourceFile struct {
	file   string
	source []byte
}

// Parse parses the settings file named file into c. Its error is a BadInput fault
// that lists all problems.
func Parse[T any](file string, source []byte, c *T, fields []Field[T]) error {
	syntax, err := hujson.Parse(source)
	if err != nil {
		return fault.New(fault.BadInput, file, "not JSON with comments", "mend the syntax").WithCause(err)
	}
	r := &sourceFile{file: file, source: source}
	if problems := readObject(r, syntax, c, fields); len(problems) > 0 {
		return fault.New(fault.BadInput, "", strings.Join(problems, "\n"), "")
	}
	return nil
}

// readObject parses one object by its table of fields and returns the problems found.
func readObject[T any](r *sourceFile, v hujson.Value, c *T, fields []Field[T]) []string {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		return []string{r.position(v) + "not an object; write it as { ... }"}
	}
	var problems []string
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		seen[name] = true
		problems = append(problems, readMember(r, c, fields, name, m)...)
	}
	for _, f := range fields {
		if f.Required && !seen[f.Name] {
			problems = append(problems, fmt.Sprintf("%s%q is missing; write for example %q: %s", r.position(v), f.Name, f.Name, f.Example))
		}
	}
	return problems
}

// readMember parses one member of an object into c and returns the problems found.
func readMember[T any](r *sourceFile, c *T, fields []Field[T], name string, m *hujson.ObjectMember) []string {
	value := m.Value.Clone()
	value.Standardize()
	known := make([]string, 0, len(fields))
	for _, f := range fields {
		known = append(known, f.Name)
		if f.Name != name {
			continue
		}
		if f.Rows != nil {
			return f.Rows(c, r, m.Value)
		}
		if err := f.Set(c, []byte(value.String())); err != nil {
			return []string{fmt.Sprintf("%s%q can't be %s; write for example %s", r.position(m.Value), name, strings.TrimSpace(value.String()), f.Example)}
		}
		return nil
	}
	return []string{fmt.Sprintf("%sunknown setting %q; there are %s", r.position(m.Value), name, strings.Join(known, ", "))}
}

// ObjectList returns a parser for a list of objects, each described by fields. at returns the
// address of the list to append to.
func ObjectList[T, E any](fields []Field[E], at func(*T) *[]E) func(*T, *sourceFile, hujson.Value) []string {
	return func(c *T, r *sourceFile, v hujson.Value) []string {
		list, ok := v.Value.(*hujson.Array)
		if !ok {
			return []string{r.position(v) + "not a list; write it as [ ... ]"}
		}
		var problems []string
		for _, element := range list.Elements {
			var e E
			problems = append(problems, readObject(r, element, &e, fields)...)
			*at(c) = append(*at(c), e)
		}
		return problems
	}
}

// position returns the prefix "FILE:LINE:COLUMN: " for the place of v.
func (r *sourceFile) position(v hujson.Value) string {
	return position(r.file, r.source, v.StartOffset)
}

func position(file string, source []byte, offset int) string {
	before := string(source[:offset])
	return fmt.Sprintf("%s:%d:%d: ", file, strings.Count(before, "\n")+1, offset-strings.LastIndex(before, "\n"))
}

// Value returns a parser that decodes a JSON value into the field at the address
// returned by at.
func Value[T, V any](at func(*T) *V) func(*T, []byte) error {
	return func(c *T, b []byte) error { return json.Unmarshal(b, at(c)) }
}

// Address returns a parser for an IP address with a port; host names are refused.
func Address[T any](at func(*T) *string) func(*T, []byte) error {
	return func(c *T, b []byte) error {
		if err := json.Unmarshal(b, at(c)); err != nil {
			return err
		}
		host, _, err := net.SplitHostPort(*at(c))
		if err != nil {
			return err
		}
		if net.ParseIP(host) == nil {
			return fault.New(fault.BadInput, host, "not an IP number", "")
		}
		return nil
	}
}

// Duration returns a parser for a duration such as "1.5s".
func Duration[T any](at func(*T) *time.Duration) func(*T, []byte) error {
	return func(c *T, b []byte) error {
		var s string
		if err := json.Unmarshal(b, &s); err != nil {
			return err
		}
		d, err := time.ParseDuration(s)
		*at(c) = d
		return err
	}
}

// NumberBetween returns a parser for a number from least to most, both included.
func NumberBetween[T any](least, most float64, at func(*T) *float64) func(*T, []byte) error {
	return func(c *T, b []byte) error {
		if err := json.Unmarshal(b, at(c)); err != nil {
			return err
		}
		if *at(c) < least || *at(c) > most {
			return fault.New(fault.BadInput, string(b), fmt.Sprintf("not between %g and %g", least, most), "")
		}
		return nil
	}
}
