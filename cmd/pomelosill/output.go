package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/pomelosill/pomelosill/internal/api"
	"github.com/pomelosill/pomelosill/internal/result"
)

// writeJSON writes v as indented JSON.
func writeJSON(w io.Writer, v any) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// writeTable writes rows in aligned columns below a line of column names.
func writeTable(w io.Writer, columns []string, rows [][]any) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow(tab, columns)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, value := range row {
			cells[i] = cellText(value)
		}
		writeRow(tab, cells)
	}
	return tab.Flush()
}

func writeRow(w io.Writer, cells []string) {
	_, _ = fmt.Fprintln(w, strings.Join(cells, "\t"))
}

// cellText formats a JSON value. Lists are joined by commas. An empty value
// becomes a dash, so that every row has the same number of columns.
func cellText(value any) string {
	var text string
	switch v := value.(type) {
	case nil:
	case []any:
		texts := make([]string, len(v))
		for i, element := range v {
			texts[i] = cellText(element)
		}
		text = strings.Join(texts, ",")
	default:
		text = fmt.Sprint(v)
	}
	if text == "" {
		return "-"
	}
	return text
}

// maxUnconfirmedListed is the maximum number of unconfirmed processes that are
// listed.
const maxUnconfirmedListed = 10

// writeReply writes an entry's reply to a statement.
func writeReply(w io.Writer, r api.Reply) error {
	if len(r.Rows) > 0 || (r.Code == result.OK && len(r.Columns) > 0) {
		if err := writeTable(w, r.Columns, r.Rows); err != nil {
			return err
		}
	}
	plainTable := r.Code == result.OK && len(r.Columns) > 0 && r.Detail == ""
	if plainTable {
		return nil
	}
	if _, err := fmt.Fprintln(w, replyLine(r)); err != nil {
		return err
	}
	return writeUnconfirmed(w, r.Unconfirmed)
}

func replyLine(r api.Reply) string {
	text := r.Text
	if r.Detail != "" {
		text = r.Detail
	}
	line := fmt.Sprintf("%s: %s", r.Code, text)
	if r.Revision > 0 {
		line += fmt.Sprintf(" (revision %d)", r.Revision)
	}
	return line
}

func writeUnconfirmed(w io.Writer, names []string) error {
	for i, name := range names {
		if i == maxUnconfirmedListed {
			_, err := fmt.Fprintf(w, "and %d more, see --json\n", len(names)-maxUnconfirmedListed)
			return err
		}
		if _, err := fmt.Fprintln(w, "not confirmed by", name); err != nil {
			return err
		}
	}
	return nil
}

// writeAnswer writes a summary of the answer to a job.
func writeAnswer(w io.Writer, a api.Answer) error {
	text := fmt.Sprintf("%s  %s (%s)\n", a.ID, a.Code, a.Effect)
	if a.Code != result.OK {
		text += strings.TrimSpace(a.Text+" "+a.Detail) + "\n"
	}
	if len(a.Tasks) > 0 {
		text += fmt.Sprintf("%d of %d tasks done\n", tasksDone(a), len(a.Tasks))
	}
	_, err := io.WriteString(w, text)
	return err
}

func tasksDone(a api.Answer) int {
	done := 0
	for _, task := range a.Tasks {
		if task.Code == result.OK {
			done++
		}
	}
	return done
}
