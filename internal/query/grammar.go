package query

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The structs below define the grammar. docs/QUERY.md describes it for users.

type statementNode struct {
	Cancel *cancelNode  `parser:"  @@"`
	Take   *takeNode    `parser:"| 'take' @@"`
	Return *returnNode  `parser:"| 'return' @@"`
	Set    *setNode     `parser:"| 'set' 'team' @@"`
	Remove *removeNode  `parser:"| 'remove' @@"`
	Show   *inspectNode `parser:"| 'show'? @@"`
}

type inspectNode struct {
	Kind     string          `parser:"@( 'jobs' | 'domains' | 'endpoints' | 'entries' | 'teams' | 'changes' )"`
	Where    []conditionNode `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Sort     []sortNode      `parser:"( 'sort' @@ ( Comma @@ )* )?"`
	HasLimit bool            `parser:"( @'limit'"`
	Limit    wordNode        `parser:"  @@ )?"`
}

type conditionNode struct {
	Field wordNode `parser:"@@"`
	Op    string   `parser:"@Op"`
	Value textNode `parser:"@@"`
}

type sortNode struct {
	Field wordNode `parser:"@@"`
	Order string   `parser:"@( 'asc' | 'desc' )?"`
}

type takeNode struct {
	Target string          `parser:"@( 'domain' | 'endpoint' )"`
	Name   textNode        `parser:"@@ 'out'"`
	If     *ifRevisionNode `parser:"@@?"`
}

type returnNode struct {
	Target string          `parser:"@( 'domain' | 'endpoint' )"`
	Name   textNode        `parser:"@@"`
	If     *ifRevisionNode `parser:"@@?"`
}

type setNode struct {
	Name   textNode        `parser:"@@"`
	Fields []teamFieldNode `parser:"@@+"`
	If     *ifRevisionNode `parser:"@@?"`
}

type teamFieldNode struct {
	Pos   lexer.Position
	Field string     `parser:"@( 'weight' | 'max_running' | 'max_queued' | 'max_timeout' | 'domains' )"`
	Value []textNode `parser:"@@ ( Comma @@ )*"`
}

type removeNode struct {
	Target string          `parser:"@( 'team' | 'entry' )"`
	Name   textNode        `parser:"@@"`
	If     *ifRevisionNode `parser:"@@?"`
}

type cancelNode struct {
	Where []conditionNode `parser:"'cancel' 'jobs' 'where' @@ ( 'and' @@ )*"`
}

type ifRevisionNode struct {
	Revision wordNode `parser:"'if' 'revision' @@"`
}

// wordNode is a single word without quotes.
type wordNode struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

// textNode is a single word or a text in double quotes.
type textNode struct {
	Pos    lexer.Position
	Word   *string `parser:"  @Word"`
	Quoted *string `parser:"| @String"`
}

// text returns the value without quotes and escapes.
func (n textNode) text() string {
	if n.Word != nil {
		return *n.Word
	}
	inner := strings.TrimSuffix(strings.TrimPrefix(*n.Quoted, `"`), `"`)
	return quoteUnescaper.Replace(inner)
}

var quoteUnescaper = strings.NewReplacer(`\"`, `"`, `\\`, `\`)

var tokenRules = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `"(\\["\\]|[^"\\])*"`},
	{Name: "Op", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Word", Pattern: `[^\s"!=<>~,]+`},
})

var parser = participle.MustBuild[statementNode](
	participle.Lexer(tokenRules),
	participle.Elide("Space"),
	participle.CaseInsensitive("Word"),
	participle.UseLookahead(0),
)
