package result

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

var update = flag.Bool("update", false, "write the table of codes into docs/ERRORS.md")

const (
	docPath    = "../../docs/ERRORS.md"
	tableBegin = "<!-- The table is written by go test ./internal/result -update. -->\n"
	tableEnd   = "<!-- End of the table. -->\n"
)

// markdownTable returns the table of codes in the form that docs/ERRORS.md
// contains.
func markdownTable() string {
	var b strings.Builder
	b.WriteString("| code | name | meaning | effect | same id again | HTTP |\n|---|---|---|---|---|---|\n")
	for _, in := range Table() {
		again := "no"
		if in.Retryable {
			again = "yes"
		}
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s | %s | %d |\n", in.Code, in.Name, in.Text, in.Effect, again, in.HTTPStatus)
	}
	return b.String()
}

func TestErrorsPageContainsCurrentTable(t *testing.T) {
	page, err := os.ReadFile(docPath)
	must.NoError(t, err)
	before, rest, ok := strings.Cut(string(page), tableBegin)
	must.True(t, ok)
	written, after, ok := strings.Cut(rest, tableEnd)
	must.True(t, ok)
	if *update {
		text := before + tableBegin + markdownTable() + tableEnd + after
		must.NoError(t, os.WriteFile(docPath, []byte(text), 0o644))
		return
	}
	must.Eq(t, markdownTable(), written)
}
