package query

import (
	"strings"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"
)

// The structs below are the grammar; docs/QUERY.md shows it for people.

type statementNode struct {
	Cancel *cancelNode  `parser:"  @@"`
	Take   *serviceNode `parser:"| 'take' @@"`
	Return *returnNode  `parser:"| 'return' @@"`
	Set    *setNode     `parser:"| 'set' 'team' @@"`
	Remove *removeNode  `parser:"| 'remove' @@"`
	Show   *inspectNode `parser:"| 'show'? @@"`
}

type inspectNode struct {
	Kind   string          `parser:"@( 'jobs' | 'domains' | 'endpoints' | 'entries' | 'teams' | 'changes' )"`
	Where  []conditionNode `parser:"( 'where' @@ ( 'and' @@ )* )?"`
	Sort   []sortNode      `parser:"( 'sort' @@ ( Comma @@ )* )?"`
	HasMax bool            `parser:"( @'limit'"`
	Limit  wordNode        `parser:"  @@ )?"`
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

type serviceNode struct {
	Thing string     `parser:"@( 'domain' | 'endpoint' )"`
	Name  textNode   `parser:"@@ 'out'"`
	If    *guardNode `parser:"@@?"`
}

type returnNode struct {
	Thing string     `parser:"@( 'domain' | 'endpoint' )"`
	Name  textNode   `parser:"@@"`
	If    *guardNode `parser:"@@?"`
}

type setNode struct {
	Name   textNode      `parser:"@@"`
	Fields []settingNode `parser:"@@+"`
	If     *guardNode    `parser:"@@?"`
}

type settingNode struct {
	Pos   lexer.Position
	Field string     `parser:"@( 'weight' | 'max_running' | 'max_queued' | 'max_timeout' | 'domains' )"`
	Value []textNode `parser:"@@ ( Comma @@ )*"`
}

type removeNode struct {
	Thing string     `parser:"@( 'team' | 'entry' )"`
	Name  textNode   `parser:"@@"`
	If    *guardNode `parser:"@@?"`
}

type cancelNode struct {
	Where []conditionNode `parser:"'cancel' 'jobs' 'where' @@ ( 'and' @@ )*"`
}

type guardNode struct {
	Revision wordNode `parser:"'if' 'revision' @@"`
}

// wordNode is one word without quotes.
type wordNode struct {
	Pos  lexer.Position
	Text string `parser:"@Word"`
}

// textNode is one word, or any text in double quotes.
type textNode struct {
	Pos    lexer.Position
	Word   *string `parser:"  @Word"`
	Quoted *string `parser:"| @String"`
}

// text is the value without its quotes.
func (n textNode) text() string {
	if n.Word != nil {
		return *n.Word
	}
	inner := strings.TrimSuffix(strings.TrimPrefix(*n.Quoted, `"`), `"`)
	return unescaper.Replace(inner)
}

var unescaper = strings.NewReplacer(`\"`, `"`, `\\`, `\`)

var tokens = lexer.MustSimple([]lexer.SimpleRule{
	{Name: "Space", Pattern: `\s+`},
	{Name: "String", Pattern: `"(\\["\\]|[^"\\])*"`},
	{Name: "Op", Pattern: `!=|<=|>=|=|<|>|~`},
	{Name: "Comma", Pattern: `,`},
	{Name: "Word", Pattern: `[^\s"!=<>~,]+`},
})

var parser = participle.MustBuild[statementNode](
	participle.Lexer(tokens),
	participle.Elide("Space"),
	participle.CaseInsensitive("Word"),
	participle.UseLookahead(0),
)
