package tree

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"strings"
)

// figure is a number that may be a result; 0 and 1 are mostly values of a field.
const figure = `(?:[2-9]\d*|\d{2,}|\d+[.,]\d+)`

// tellingWords tell of a result or a trial wherever they stand.
var tellingWords = []*regexp.Regexp{
	regexp.MustCompile(`\bFound (?:by|on|in|beside)\b`),
	regexp.MustCompile(`(?i)\btried before\b`),
	regexp.MustCompile(`(?i)\b(?:on|in|from|of|and) (?:an? |the )?(?:played|emulated|hunted|quiet|own) (?:quiet )?days?\b`),
	regexp.MustCompile(`(?i)\b(?:known|grown) sites?\b`),
	regexp.MustCompile(`(?i)\bof ` + figure + ` (?:days|plays|runs)\b`),
	regexp.MustCompile(`(?i)\bseeds? \d{2,}|\bSEED=\d+ of\b`),
	regexp.MustCompile(`(?i)\bissue \d+`),
	regexp.MustCompile(`\b20\d\d-\d\d-\d\d\b`),
}

var (
	// besideFigure are words that tell of a result where a figure stands in the same clause.
	besideFigure = regexp.MustCompile(`(?i)\b(?:against|instead of|measured|seen|played|tried|as was)\b`)
	hasFigure    = regexp.MustCompile(`\b` + figure)
	clauseEnd    = regexp.MustCompile(`[.;!?](?:\s|$)`)
	directive    = regexp.MustCompile(`^//[a-z]+:`)
)

// commentRemedy says what to do about a comment that is found.
const commentRemedy = "say what the code is for; results belong in the commit and in docs/MEASUREMENTS.md"

// Telling finds comments that tell how a value was found, what was there before, or what a
// day showed.
func Telling(root string) ([]Finding, error) {
	files, err := goFiles(root)
	if err != nil {
		return nil, err
	}
	var found []Finding
	for _, file := range files {
		fset := token.NewFileSet()
		parsed, err := parser.ParseFile(fset, filepath.Join(root, file), nil, parser.ParseComments|parser.SkipObjectResolution)
		if err != nil {
			return nil, err
		}
		for _, group := range parsed.Comments {
			found = append(found, tellingIn(file, fset, group)...)
		}
	}
	return found, nil
}

// tellingIn checks a comment clause by clause; a clause may go over several lines.
func tellingIn(file string, fset *token.FileSet, group *ast.CommentGroup) []Finding {
	var text strings.Builder
	var starts, lines []int // where in the text each line of the comment starts
	for _, c := range group.List {
		if directive.MatchString(c.Text) {
			continue
		}
		for i, line := range strings.Split(c.Text, "\n") {
			starts, lines = append(starts, text.Len()), append(lines, fset.Position(c.Pos()).Line+i)
			text.WriteString(strings.Trim(line, "/* \t") + " ")
		}
	}
	var found []Finding
	for begin, rest := 0, text.String(); rest != ""; {
		end := len(rest)
		if loc := clauseEnd.FindStringIndex(rest); loc != nil {
			end = loc[1]
		}
		if word, at := telling(rest[:end]); word != "" {
			line := lines[0]
			for i, start := range starts {
				if start <= begin+at {
					line = lines[i]
				}
			}
			found = append(found, Finding{file, line, "a comment tells of a result: " + strings.TrimSpace(rest[:end]), commentRemedy})
		}
		begin, rest = begin+end, rest[end:]
	}
	return found
}

// telling returns the word by which a clause tells of a result, and where it stands.
func telling(clause string) (word string, at int) {
	for _, w := range tellingWords {
		if loc := w.FindStringIndex(clause); loc != nil {
			return clause[loc[0]:loc[1]], loc[0]
		}
	}
	if loc := besideFigure.FindStringIndex(clause); loc != nil && hasFigure.MatchString(clause) {
		return clause[loc[0]:loc[1]], loc[0]
	}
	return "", 0
}
