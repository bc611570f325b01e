// Package putback puts faults that were mended back into the product, one at a time, without
// changing a file: each is a short text that is replaced in an overlay of the sources. It shows
// which tests would find such a fault.
package putback

import (
	"embed"
	"encoding/json"
	"io/fs"
	"os"
	"path/filepath"
	"strings"

	"github.com/go-faster/errors"
)

//go:embed faults
var faultFiles embed.FS

// Fault is a fault of an incident.
type Fault struct {
	// Name begins with the number of the incident's page.
	Name string
	// Package is the folder of the unit tests that were written for the fault, Tests the
	// pattern of their names.
	Package, Tests string
	changes        []change
}

// change replaces a text that a file contains once.
type change struct{ file, old, new string }

// The lines of a fault's file: "test PACKAGE PATTERN" first, and for each change "file PATH",
// the text that is there now, and the text that was.
const (
	linesOld = "<<<\n"
	linesNew = "===\n"
	linesEnd = ">>>\n"
)

var errFormat = errors.New("malformed fault")

// Faults returns all faults, ordered by name.
func Faults() ([]Fault, error) {
	names, err := fs.Glob(faultFiles, "faults/*.txt")
	if err != nil {
		return nil, err
	}
	var all []Fault
	for _, name := range names {
		data, err := faultFiles.ReadFile(name)
		if err != nil {
			return nil, err
		}
		f, err := parse(string(data))
		if err != nil {
			return nil, errors.Wrap(err, name)
		}
		f.Name = strings.TrimSuffix(filepath.Base(name), ".txt")
		all = append(all, f)
	}
	return all, nil
}

func parse(text string) (Fault, error) {
	header, rest, _ := strings.Cut(text, "\n")
	fields := strings.Fields(header)
	if len(fields) != 3 || fields[0] != "test" {
		return Fault{}, errors.Wrap(errFormat, "first line")
	}
	f := Fault{Package: fields[1], Tests: fields[2]}
	for strings.TrimSpace(rest) != "" {
		var c change
		var found [4]bool
		c.file, rest, found[0] = strings.Cut(rest, "\n")
		c.file, found[1] = strings.CutPrefix(c.file, "file ")
		rest, found[2] = strings.CutPrefix(rest, linesOld)
		c.old, rest, found[3] = strings.Cut(rest, linesNew)
		var ended bool
		if c.new, rest, ended = strings.Cut(rest, linesEnd); !ended || found != [4]bool{true, true, true, true} {
			return Fault{}, errors.Wrap(errFormat, "change")
		}
		f.changes = append(f.changes, c)
	}
	return f, nil
}

// Overlay writes the files with the fault into a folder, and the file that makes the go command
// use them in place of those of the module at root. It returns the path of that file. It fails if
// a file doesn't contain the text that the fault replaces, or more than once.
func (f *Fault) Overlay(root, folder string) (string, error) {
	replaced := map[string]string{}
	for i, c := range f.changes {
		source := filepath.Join(root, c.file)
		path := source
		if earlier := replaced[source]; earlier != "" {
			path = earlier
		}
		data, err := os.ReadFile(path)
		if err != nil {
			return "", err
		}
		if n := strings.Count(string(data), c.old); n != 1 {
			return "", errors.Errorf("%s: change %d of %s is there %d times, want once", f.Name, i+1, c.file, n)
		}
		target := filepath.Join(folder, strings.ReplaceAll(c.file, "/", "_"))
		if err := os.WriteFile(target, []byte(strings.Replace(string(data), c.old, c.new, 1)), 0o600); err != nil {
			return "", err
		}
		replaced[source] = target
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replaced})
	if err != nil {
		return "", err
	}
	path := filepath.Join(folder, "overlay.json")
	return path, os.WriteFile(path, overlay, 0o600)
}
