//go:build review3

package main

import (
	"fmt"
	"os"
	"regexp"
	"strings"
)

// role is what the deploy file says of a role.
type role struct{ run, template string }

// readDeploy reads a role of the deploy file: its lines are KEY = "TEXT".
func readDeploy(w *world, name string) role {
	text, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		w.fail("%v", err)
	}
	var r role
	within := false
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "[") {
			within = line == "[roles."+name+"]"
		}
		key, value, found := strings.Cut(line, " = ")
		value = strings.Trim(value, `"`)
		switch {
		case !within || !found:
		case key == "run":
			r.run = value
		case key == "template":
			r.template = value
		}
	}
	if r.run == "" || r.template == "" {
		w.fail("the deploy file has no role %s with a template", name)
	}
	return r
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/([a-z_.]+)\}\}`)
	placeholder = regexp.MustCompile(`\{\{([a-z_.0-9]+)\}\}`)
)

// fill fills in a template of the deploy file: placeholders, and sections that are kept if
// their value is there.
func fill(text string, values map[string]any) string {
	text = section.ReplaceAllStringFunc(text, func(s string) string {
		m := section.FindStringSubmatch(s)
		if lookup(values, m[1]) == nil {
			return ""
		}
		return m[2]
	})
	return placeholder.ReplaceAllStringFunc(text, func(s string) string {
		if v := lookup(values, strings.Trim(s, "{}")); v != nil {
			return fmt.Sprint(v)
		}
		return ""
	})
}

// lookup returns the value of a path such as a.b.0, nil if there is none.
func lookup(values any, path string) any {
	for _, part := range strings.Split(path, ".") {
		switch v := values.(type) {
		case map[string]any:
			values = v[part]
		case []any:
			index := 0
			if _, err := fmt.Sscan(part, &index); err != nil || index >= len(v) {
				return nil
			}
			values = v[index]
		default:
			return nil
		}
	}
	return values
}
