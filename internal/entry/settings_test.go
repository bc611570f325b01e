package entry

import (
	"os"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/pomelosill/pomelosill/internal/result"
	"github.com/pomelosill/pomelosill/internal/settings"
)

func TestExampleSettingsAreTheDefaults(t *testing.T) {
	s := DefaultSettings()
	must.NoError(t, settings.Load("../../docs/examples/entry.jsonc", s))
	d := DefaultSettings()
	d.Listen, d.Peer, d.Admin, d.StoreURL = s.Listen, s.Peer, s.Admin, s.StoreURL
	d.FailureDomain, d.FailureDomains, d.DefaultTeams, d.Tokens = s.FailureDomain, s.FailureDomains, s.DefaultTeams, s.Tokens
	must.Eq(t, d, s)
}

func TestErrorOfInvalidSettingsNamesTheField(t *testing.T) {
	text, err := os.ReadFile("../../docs/examples/entry.jsonc")
	must.NoError(t, err)
	for _, c := range []struct{ from, to, field string }{
		{`"127.0.0.1:7001"`, `"localhost:7001"`, "listen"},
		{`"127.0.0.1:7002"`, `""`, "peer"},
		{`"http://127.0.0.1:7000"`, `"127.0.0.1:7000"`, "store"},
		{`"failure_domain": "Comas"`, `"failure_domain": ""`, "failure_domain"},
		{`"cells": 1`, `"cells": 0`, "cells"},
		{`"confirm": "1s"`, `"confirm": "2s"`, "confirm"},
		{`"lost_after": "5s"`, `"lost_after": "2s"`, "lost_after"},
		{`"freshness": "3s"`, `"freshness": "-3s"`, "freshness"},
		{`"answer_retention": "1m"`, `"answer_retention": "1h"`, "answer_retention"},
		{`"max_timeout": "5m"`, `"max_timeout": "5h"`, "max_timeout"},
		{`"max_body_bytes": 4194304`, `"max_body_bytes": 1`, "max_body_bytes"},
		{`"max_waiting": 200000`, `"max_waiting": 0`, "max_waiting"},
	} {
		t.Run(c.field, func(t *testing.T) {
			invalid := strings.Replace(string(text), c.from, c.to, 1)
			must.NotEq(t, string(text), invalid)
			err := settings.Parse("entry.jsonc", []byte(invalid), DefaultSettings())
			must.Eq(t, result.SettingsValue, result.CodeOf(err))
			must.StrContains(t, err.Error(), c.field)
		})
	}
}
