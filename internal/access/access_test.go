package access

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"github.com/pomelosill/pomelosill/internal/process"
	"github.com/pomelosill/pomelosill/internal/result"
)

const (
	operatorToken = "operator-token-0001"
	callerToken   = "caller-token-000001"
)

var testTokens = Tokens{
	{Name: "ana", Role: Operator, Token: operatorToken},
	{Name: "booth", Role: Caller, Team: "booths", Token: callerToken},
}

func TestValidate(t *testing.T) {
	cases := []struct {
		name, want string
		change     func(ts Tokens)
	}{
		{"valid", "", func(Tokens) {}},
		{"no name", "tokens[0].name", func(ts Tokens) { ts[0].Name = "" }},
		{"bad role", "tokens[1].role", func(ts Tokens) { ts[1].Role = "root" }},
		{"caller without team", "tokens[1].team", func(ts Tokens) { ts[1].Team = "" }},
		{"operator with team", "tokens[0].team", func(ts Tokens) { ts[0].Team = "x" }},
		{"short", "tokens[0].token: is too short", func(ts Tokens) { ts[0].Token = "short" }},
		{"same name", "tokens[1].name: is used twice", func(ts Tokens) { ts[1].Name = "ana" }},
		{"same token", "tokens[1].token: is used twice", func(ts Tokens) { ts[1].Token = operatorToken }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			ts := append(Tokens{}, testTokens...)
			c.change(ts)
			err := ts.Validate()
			if c.want == "" {
				must.NoError(t, err)
				return
			}
			must.Eq(t, result.SettingsValue, result.CodeOf(err))
			must.StrContains(t, err.Error(), c.want)
			must.StrNotContains(t, err.Error(), operatorToken)
		})
	}
}

func TestIdentify(t *testing.T) {
	guard := NewGuard(testTokens, zap.NewNop())
	cases := []struct {
		header, who string
		code        result.Code
	}{
		{"Bearer " + operatorToken, "ana", result.OK},
		{"bearer  " + callerToken, "booth", result.OK},
		{"", "", result.Unauthorized},
		{"Bearer", "", result.Unauthorized},
		{"Bearer " + operatorToken + "x", "", result.Unauthorized},
		{"Bearer " + operatorToken[:5], "", result.Unauthorized},
		{"Basic " + operatorToken, "", result.Unauthorized},
	}
	for _, c := range cases {
		r := httptest.NewRequest(http.MethodGet, "/", nil)
		r.Header.Set("Authorization", c.header)
		id, err := guard.Identify(r)
		must.Eq(t, c.code, result.CodeOf(err), must.Sprint(c.header))
		must.Eq(t, c.who, id.Name)
	}
}

func TestCheckTeam(t *testing.T) {
	caller := Identity{Name: "booth", Role: Caller, Team: "booths"}
	must.NoError(t, caller.CheckTeam("booths"))
	must.Eq(t, result.Forbidden, result.CodeOf(caller.CheckTeam("alerts")))
	must.NoError(t, Identity{Role: Operator}.CheckTeam("alerts"))
	must.Eq(t, result.Forbidden, result.CodeOf(Identity{}.CheckTeam("alerts")))
}

func TestRequire(t *testing.T) {
	guard := NewGuard(testTokens, zap.NewNop())
	var id Identity
	next := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { id = IdentityFrom(r.Context()) })
	code := result.OK
	h := guard.Require(next, func(_ http.ResponseWriter, err error) { code = result.CodeOf(err) })

	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
	must.Eq(t, result.Unauthorized, code)
	must.Eq(t, Identity{}, id)

	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.Header.Set("Authorization", "Bearer "+callerToken)
	h.ServeHTTP(httptest.NewRecorder(), r)
	must.Eq(t, Identity{Name: "booth", Role: Caller, Team: "booths"}, id)
}

func TestRequireOperator(t *testing.T) {
	next := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	refuse := func(w http.ResponseWriter, err error) { w.WriteHeader(result.Describe(result.CodeOf(err)).HTTPStatus) }
	h := NewGuard(testTokens, zap.NewNop()).RequireOperator(next, refuse)
	for token, status := range map[string]int{operatorToken: 200, callerToken: 403, "": 401} {
		r := httptest.NewRequest(http.MethodGet, "/debug/state", nil)
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		must.Eq(t, status, w.Code)
	}
}

func TestMissingTokensAreLogged(t *testing.T) {
	core, logs := observer.New(zapcore.InfoLevel)
	id, err := NewGuard(nil, zap.New(core)).Identify(httptest.NewRequest(http.MethodGet, "/", nil))
	must.NoError(t, err)
	must.Eq(t, Operator, id.Role)
	must.Eq(t, 1, logs.Len())
	must.Eq(t, "access: no tokens configured: every request is accepted as an operator's", logs.All()[0].Message)
}

func TestSecretIsRedacted(t *testing.T) {
	text, err := json.Marshal(testTokens)
	must.NoError(t, err)
	var logged strings.Builder
	encoder := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	log := zap.New(zapcore.NewCore(encoder, zapcore.AddSync(&logged), zapcore.DebugLevel))
	log.Info("settings", zap.Any("tokens", testTokens))
	for _, form := range []string{string(text), fmt.Sprintf("%v %+v %#v %s", testTokens, testTokens, testTokens, testTokens[0].Token), logged.String()} {
		must.StrNotContains(t, form, operatorToken)
		must.StrContains(t, form, "[redacted]")
	}
	var decoded Tokens
	must.NoError(t, json.Unmarshal([]byte(`[{"name":"a","role":"operator","token":"`+operatorToken+`"}]`), &decoded))
	must.Eq(t, Secret(operatorToken), decoded[0].Token)
}

func TestReadBody(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := BodyLimits{MaxBytes: 8, Timeout: BodyTimeout}.Read(w, r)
		if err != nil {
			WriteJSON(w, result.Describe(result.CodeOf(err)).HTTPStatus, err.Error())
			return
		}
		process.WriteJSON(w, http.StatusOK, string(body))
	}))
	defer server.Close()
	for body, status := range map[string]int{"": 200, "12345678": 200, "123456789": 413} {
		resp, err := http.Post(server.URL, "text/plain", strings.NewReader(body))
		must.NoError(t, err)
		must.NoError(t, resp.Body.Close())
		must.Eq(t, status, resp.StatusCode, must.Sprint(body))
	}
}

func TestReadBodyTimesOut(t *testing.T) {
	codes := make(chan result.Code, 1)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, err := BodyLimits{MaxBytes: 100, Timeout: time.Millisecond}.Read(w, r)
		codes <- result.CodeOf(err)
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	_, err = io.WriteString(conn, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 50\r\n\r\nhalf")
	must.NoError(t, err)
	must.Eq(t, result.Malformed, <-codes)
	must.NoError(t, conn.Close())
}
