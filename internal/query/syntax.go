package query

import (
	"fmt"
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
	"github.com/go-faster/errors"

	"github.com/pomelosill/pomelosill/internal/result"
)

// A probe is a token tried at the place of an error to learn from the grammar
// itself whether it could stand there.
type probe struct {
	text string
	// description is what the error calls it.
	description string
}

// The probes for text and for one bare word are apart from the keywords: where
// any word may stand, listing keywords would mislead.
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

// syntaxError says where the parser stopped, what stands there and what could.
func syntaxError(text string, err error) error {
	var at participle.Error
	if !errors.As(err, &at) {
		return result.Wrap(result.QuerySyntax, err, "the statement could not be read")
	}
	pos := at.Position()
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

// describeLexError names the reason why no token begins with rest.
func describeLexError(rest string) string {
	if strings.HasPrefix(rest, `"`) {
		return `expected a closing " (inside quotes, write \" and \\)`
	}
	return `expected one of = != < <= > >= ~, found "!"`
}

// describeExpected lists what may follow the sound beginning of a statement.
func describeExpected(beginning string) string {
	if canFollow(beginning, textProbe) {
		return textProbe.description
	}
	if canFollow(beginning, wordProbe) {
		return describeWord(beginning)
	}
	var names []string
	for _, p := range keywordProbes {
		if canFollow(beginning, p) {
			names = append(names, p.description)
		}
	}
	if _, err := parser.ParseString("", beginning); err == nil {
		names = append(names, "the end")
	}
	return joinOr(names)
}

// describeWord tells a field from a number by the keyword before it.
func describeWord(beginning string) string {
	words := strings.Fields(strings.ToLower(beginning))
	last := words[len(words)-1]
	if last == "limit" || last == "revision" {
		return "a number"
	}
	return wordProbe.description
}

// canFollow tells whether p may follow the sound beginning: the statement then
// parses, or the parser stops only after p.
func canFollow(beginning string, p probe) bool {
	_, err := parser.ParseString("", beginning+" "+p.text)
	var at participle.Error
	if !errors.As(err, &at) {
		return err == nil
	}
	return at.Position().Offset > len(beginning)+1
}

func joinOr(names []string) string {
	if len(names) < 2 {
		return strings.Join(names, "")
	}
	last := len(names) - 1
	return strings.Join(names[:last], ", ") + " or " + names[last]
}

// errorAt makes an error that begins with the position.
func errorAt(code result.Code, pos lexer.Position, format string, args ...any) error {
	place := fmt.Sprintf("column %d", pos.Column)
	if pos.Line > 1 {
		place = fmt.Sprintf("line %d, column %d", pos.Line, pos.Column)
	}
	return result.Errorf(code, "%s: %s", place, fmt.Sprintf(format, args...))
}
