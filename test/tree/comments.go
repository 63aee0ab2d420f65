package tree

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"regexp"
	"strings"
)

// numberPattern matches a number that may be a result. It excludes 0 and 1, which are mostly values of
// a field.
const numberPattern = `(?:[2-9]\d*|\d{2,}|\d+[.,]\d+)`

// resultPhrases match phrases that state a result or a trial in any clause.
var resultPhrases = []*regexp.Regexp{
	regexp.MustCompile(`\bFound (?:by|on|in|beside)\b`),
	regexp.MustCompile(`(?i)\btried before\b`),
	regexp.MustCompile(`(?i)\b(?:on|in|from|of|and) (?:an? |the )?(?:played|emulated|hunted|quiet|own) (?:quiet )?days?\b`),
	regexp.MustCompile(`(?i)\b(?:known|grown) sites?\b`),
	regexp.MustCompile(`(?i)\bof ` + numberPattern + ` (?:days|plays|runs)\b`),
	regexp.MustCompile(`(?i)\bseeds? \d{2,}|\bSEED=\d+ of\b`),
	regexp.MustCompile(`(?i)\bissue \d+`),
	regexp.MustCompile(`\b20\d\d-\d\d-\d\d\b`),
}

var (
	// resultWord matches words that state a result if the same clause has a number.
	resultWord   = regexp.MustCompile(`(?i)\b(?:against|instead of|measured|seen|played|tried|as was)\b`)
	resultNumber = regexp.MustCompile(`\b` + numberPattern)
	clauseEnd    = regexp.MustCompile(`[.;!?](?:\s|$)`)
	directive    = regexp.MustCompile(`^//[a-z]+:`)
)

// resultRemedy is the remedy for a comment that states a result.
const resultRemedy = "say what the code is for; results belong in the commit and in docs/MEASUREMENTS.md"

// ResultComments finds comments that state how a value was determined, what the code was before, or
// the results of a run. It returns an error if a file can't be read or parsed.
func ResultComments(root string) ([]Finding, error) {
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
			found = append(found, resultClauses(file, fset, group)...)
		}
	}
	return found, nil
}

// resultClauses finds the clauses of a comment that state a result. A clause may span several lines.
func resultClauses(file string, fset *token.FileSet, group *ast.CommentGroup) []Finding {
	var text strings.Builder
	var starts, lines []int // offset in the text and line number of each line of the comment
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
		if word, at := resultPhrase(rest[:end]); word != "" {
			line := lines[0]
			for i, start := range starts {
				if start <= begin+at {
					line = lines[i]
				}
			}
			found = append(found, Finding{file, line, "a comment states a result: " + strings.TrimSpace(rest[:end]), resultRemedy})
		}
		begin, rest = begin+end, rest[end:]
	}
	return found
}

// resultPhrase returns the phrase by which a clause states a result and its offset, or an empty
// word if there is none.
func resultPhrase(clause string) (word string, at int) {
	for _, w := range resultPhrases {
		if loc := w.FindStringIndex(clause); loc != nil {
			return clause[loc[0]:loc[1]], loc[0]
		}
	}
	if loc := resultWord.FindStringIndex(clause); loc != nil && resultNumber.MatchString(clause) {
		return clause[loc[0]:loc[1]], loc[0]
	}
	return "", 0
}
