// Package settings parses and checks one version of the settings tree and resolves the settings that each kind of call
// inherits.
//
// Data flows one way: text -> Parse (a tree of nodes with positions) -> check (all problems at once, each with its
// position and remedy) -> resolve (one immutable Kind for each service and kind, each value with its origin). A Tree
// does not change after Parse. A new version is a new Tree.
package settings

import (
	"fmt"
	"regexp"
	"sort"
	"strings"

	"github.com/agnivade/levenshtein"
	"github.com/tailscale/hujson"

	"github.com/wrenferry/wrenferry/pkg/fault"
)

// ----------------------------------------------------------------- nodes

// levelKeys holds, by depth, the key under which a node's children are listed: teams at the root, then services, then
// kinds.
var levelKeys = []string{"teams", "services", "kinds"}

// value is a setting's value.
type value struct {
	literal string // as written in the file
	number  int64  // as returned by Key.parseLiteral
	origin  string // the branch that sets the value, or "default"
}

// node is a branch of the tree: the root, a team, a service or a kind. It has the values that the branch sets itself,
// and its children by name.
type node struct {
	path     string
	values   map[string]value
	children map[string]*node
}

// Problem is one error in a settings file, with its position and how to correct it.
type Problem struct {
	File    string
	Line    int
	Column  int
	Message string
	Remedy  string
}

// String returns the problem in the format FILE:LINE:COLUMN: MESSAGE, which editors recognize.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", p.File, p.Line, p.Column, p.Message, p.Remedy)
}

// Problems is an error that lists all problems of a settings file.
type Problems []Problem

// Error returns the problems, one a line.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, q := range p {
		lines[i] = q.String()
	}
	return strings.Join(lines, "\n")
}

// ---------------------------------------------------------------- parser

// namePattern matches valid names of teams, services and kinds.
var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)

// parser parses one settings file. It collects problems, so that one run reports them all. servicePaths holds the path
// of each service by its name.
type parser struct {
	file         string
	text         []byte
	problems     Problems
	servicePaths map[string]string
}

// Parse parses and checks a settings file. If the file has any problem, Parse returns no tree and a BadInput fault
// whose text lists all problems.
func Parse(file, text string) (*Tree, error) {
	p := &parser{file: file, text: []byte(text), servicePaths: map[string]string{}}
	syntax, err := hujson.Parse(p.text)
	if err != nil {
		p.addSyntaxError(err)
		return nil, p.asFault()
	}
	root := p.parseNode(&syntax, "", 0)
	if len(p.problems) > 0 {
		return nil, p.asFault()
	}
	t := &Tree{text: text, root: root}
	t.resolveAll()
	p.checkFleet(t.RootSettings())
	if len(p.problems) > 0 {
		return nil, p.asFault()
	}
	return t, nil
}

// checkFleet checks values that depend on each other: the tenure must be at least as long as the lease.
func (p *parser) checkFleet(f RootSettings) {
	if f.Lease > f.Tenure {
		p.addProblem(0, fmt.Sprintf("lease %s is longer than tenure %s", f.Lease, f.Tenure),
			"make tenure at least as long as lease")
	}
}

// asFault returns the collected problems as a BadInput fault, sorted by line.
func (p *parser) asFault() error {
	sort.SliceStable(p.problems, func(i, j int) bool { return p.problems[i].Line < p.problems[j].Line })
	return fault.New(fault.BadInput, "settings", fmt.Sprintf("%d problem(s), nothing was changed:\n%s",
		len(p.problems), p.problems.Error()), "")
}

// addSyntaxError adds a syntax error of package hujson as a problem, with the position taken from its text.
func (p *parser) addSyntaxError(err error) {
	line, column := 1, 1
	message := err.Error()
	if _, e := fmt.Sscanf(message, "hujson: line %d, column %d:", &line, &column); e == nil {
		message = message[strings.Index(message, ": ")+2:]
		message = message[strings.Index(message, ": ")+2:]
	}
	p.problems = append(p.problems, Problem{p.file, line, column, "not JSON with comments: " + message, "mend the syntax"})
}

// addProblem adds a problem at a byte offset of the file.
func (p *parser) addProblem(offset int, message, remedy string) {
	before := string(p.text[:offset])
	line := strings.Count(before, "\n") + 1
	column := offset - strings.LastIndex(before, "\n")
	p.problems = append(p.problems, Problem{p.file, line, column, message, remedy})
}

// parseNode parses a branch at the given depth. The root has depth 0.
func (p *parser) parseNode(v *hujson.Value, path string, depth int) *node {
	n := &node{path: path, values: map[string]value{}, children: map[string]*node{}}
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addProblem(v.StartOffset, pathName(path)+" is not an object", "write it as { ... }")
		return n
	}
	seen := map[string]bool{}
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		if seen[name] {
			p.addProblem(m.Name.StartOffset, fmt.Sprintf("%q stands twice in %s", name, pathName(path)), "keep one of them")
			continue
		}
		seen[name] = true
		if depth < len(levelKeys) && name == levelKeys[depth] {
			p.parseChildren(n, &m.Value, depth)
			continue
		}
		p.parseSetting(n, name, m, depth)
	}
	return n
}

// parseChildren parses the object that lists the children of n, a node at the given depth.
func (p *parser) parseChildren(n *node, v *hujson.Value, depth int) {
	object, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addProblem(v.StartOffset, fmt.Sprintf("%q is not an object", levelKeys[depth]), "write it as { \"name\": { ... } }")
		return
	}
	for i := range object.Members {
		m := &object.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		if !namePattern.MatchString(name) {
			p.addProblem(m.Name.StartOffset, fmt.Sprintf("%q is not a name", name), "use a to z, 0 to 9 and -, at most 63")
			continue
		}
		if n.children[name] != nil {
			p.addProblem(m.Name.StartOffset, fmt.Sprintf("%q stands twice in %q", name, levelKeys[depth]), "keep one of them")
			continue
		}
		path := strings.TrimPrefix(n.path+"/"+name, "/")
		if levelKeys[depth] == "services" {
			p.checkServiceUnique(name, path, m.Name.StartOffset)
		}
		n.children[name] = p.parseNode(&m.Value, path, depth+1)
	}
}

// checkServiceUnique adds a problem if another team has a service of the same name, since callers name the service
// only, not the team.
func (p *parser) checkServiceUnique(name, path string, offset int) {
	if other, ok := p.servicePaths[name]; ok {
		p.addProblem(offset, fmt.Sprintf("service %q is already defined as %s", name, other), "give one of them another name")
	}
	p.servicePaths[name] = path
}

// parseSetting parses and checks one setting of node n, which is at the given depth.
func (p *parser) parseSetting(n *node, name string, m *hujson.ObjectMember, depth int) {
	k, ok := FindKey(name)
	if !ok {
		p.addProblem(m.Name.StartOffset, fmt.Sprintf("unknown setting %q in %s", name, pathName(n.path)),
			fmt.Sprintf("the nearest known one is %q", nearestWord(name, depth)))
		return
	}
	if k.Root && depth > 0 {
		p.addProblem(m.Name.StartOffset, fmt.Sprintf("%q may stand only at the root, not in %s", name, pathName(n.path)),
			"move it to the root")
		return
	}
	literal := strings.TrimSpace(string(p.text[m.Value.StartOffset:m.Value.EndOffset]))
	number, ok := k.parseLiteral(literal)
	if !ok {
		p.addProblem(m.Value.StartOffset, fmt.Sprintf("%q is %s, which is not a %s of %s", name, literal, k.Type, k.Range()),
			fmt.Sprintf("write for example %q: %s", name, k.Example))
		return
	}
	n.values[name] = value{literal: literal, number: number, origin: pathName(n.path)}
}

// pathName returns the name of a branch for messages and origins.
func pathName(path string) string {
	if path == "" {
		return "the root"
	}
	return path
}

// nearestWord returns the setting, or the level key that is allowed at the depth, with the smallest edit distance from
// a mistyped name.
func nearestWord(name string, depth int) string {
	words := []string{}
	if depth < len(levelKeys) {
		words = append(words, levelKeys[depth])
	}
	for _, k := range Keys {
		words = append(words, k.Name)
	}
	best := words[0]
	for _, w := range words {
		if levenshtein.ComputeDistance(name, w) < levenshtein.ComputeDistance(name, best) {
			best = w
		}
	}
	return best
}
