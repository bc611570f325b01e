package query

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/go-faster/errors"

	"github.com/pomelosill/pomelosill/internal/result"
)

// probe is a token that is inserted at the position of a syntax error to find
// out whether the grammar allows it there.
type probe struct {
	text string
	// description is how error messages refer to the token.
	description string
}

// The probes for text and for a single word are separate from the keywords.
// Where any word is allowed, listing the keywords would be misleading.
var (
	textProbe = probe{`""`, "a name or a value"}
	wordProbe = probe{"_", "a field"}

	keywordProbes = []probe{
		{"jobs", "jobs"}, {"domains", "domains"}, {"endpoints", "endpoints"},
		{"entries", "entries"}, {"teams", "teams"}, {"changes", "changes"},
		{"show", "show"}, {"take", "take"}, {"return", "return"}, {"set", "set"},
		{"remove", "remove"}, {"cancel", "cancel"},
		{"domain", "domain"}, {"endpoint", "endpoint"}, {"team", "team"}, {"entry", "entry"},
		{"out", "out"},
		{"weight", "weight"}, {"max_running", "max_running"},
		{"max_queued", "max_queued"}, {"max_timeout", "max_timeout"},
		{"where", "where"}, {"and", "and"}, {"sort", "sort"},
		{"asc", "asc"}, {"desc", "desc"}, {"limit", "limit"},
		{"if", "if"}, {"revision", "revision"},
		{"=", "one of = != < <= > >= ~"}, {",", "a comma"},
	}
)

// syntaxError reports where the parser stopped, what it found and what it
// expected there.
func syntaxError(text string, err error) error {
	var parseErr participle.Error
	if !errors.As(err, &parseErr) {
		return result.Wrap(result.QuerySyntax, err, "cannot parse the statement")
	}
	pos := parseErr.Position()
	var unexpected *participle.UnexpectedTokenError
	if !errors.As(err, &unexpected) {
		return errorAt(result.QuerySyntax, pos, "%s", describeLexError(text[pos.Offset:]))
	}
	found := "the end"
	if !unexpected.Unexpected.EOF() {
		found = fmt.Sprintf("%q", unexpected.Unexpected.Value)
	}
	return errorAt(result.QuerySyntax, pos, "expected %s, found %s", describeExpected(text[:pos.Offset]), found)
}

// describeLexError returns the reason why no token starts at the beginning of
// rest.
func describeLexError(rest string) string {
	if strings.HasPrefix(rest, `"`) {
		return `expected a closing " (inside quotes, write \" and \\)`
	}
	return `expected one of = != < <= > >= ~, found "!"`
}

// describeExpected lists what may follow the valid beginning of a statement.
func describeExpected(prefix string) string {
	if canFollow(prefix, textProbe) {
		return textProbe.description
	}
	if canFollow(prefix, wordProbe) {
		return describeWord(prefix)
	}
	var names []string
	for _, p := range keywordProbes {
		if canFollow(prefix, p) {
			names = append(names, p.description)
		}
	}
	if _, err := parser.ParseString("", prefix); err == nil {
		names = append(names, "the end")
	}
	return joinOr(names)
}

// describeWord returns whether a field or a number is expected, judged by the
// keyword before it.
func describeWord(prefix string) string {
	words := strings.Fields(strings.ToLower(prefix))
	last := words[len(words)-1]
	if last == "limit" || last == "revision" {
		return "a number"
	}
	return wordProbe.description
}

// canFollow reports whether p may follow a valid beginning of a statement:
// either the statement parses with p, or the parser stops only after p.
func canFollow(prefix string, p probe) bool {
	_, err := parser.ParseString("", prefix+" "+p.text)
	var parseErr participle.Error
	if !errors.As(err, &parseErr) {
		return err == nil
	}
	return parseErr.Position().Offset > len(prefix)+1
}

func joinOr(names []string) string {
	if len(names) < 2 {
		return strings.Join(names, "")
	}
	last := len(names) - 1
	return strings.Join(names[:last], ", ") + " or " + names[last]
}

// errorAt returns an error whose text begins with the position.
func errorAt(code result.Code, pos lexer.Position, format string, args ...any) error {
	position := fmt.Sprintf("column %d", pos.Column)
	if pos.Line > 1 {
		position = fmt.Sprintf("line %d, column %d", pos.Line, pos.Column)
	}
	return result.Errorf(code, "%s: %s", position, fmt.Sprintf(format, args...))
}
