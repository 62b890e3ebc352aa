package aubcli

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/peterbourgon/ff/v3/ffcli"

	"github.com/auburndale/auburndale/pkg/aubapi"
)

// runCommand runs a command and returns the exit code of Run and both outputs.
func runCommand(newCommand func(streams) *ffcli.Command, args ...string) (code int, out, errOut string) {
	var outBuffer, errBuffer bytes.Buffer
	err := newCommand(streams{out: &outBuffer, errOut: &errBuffer}).ParseAndRun(context.Background(), args)
	switch {
	case err == nil:
		code = ExitDone
	case errors.Is(err, flag.ErrHelp):
		code = ExitUsage
	default:
		code = ExitFailed
		errBuffer.WriteString(err.Error())
	}
	return code, outBuffer.String(), errBuffer.String()
}

func writeCredentialFile(t *testing.T) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "admin.credential")
	qt.Assert(t, os.WriteFile(name, []byte("secret\n"), 0o600), qt.IsNil)
	return name
}

func TestTicketApply(t *testing.T) {
	cases := []struct {
		name        string
		status      int
		contentType string
		body        string
		code        int
		out         string
		errOut      string
	}{
		{
			"accepted and in force", http.StatusOK, "application/json",
			`{"number":1,"status":"accepted","version":4,"in_force":true}`, ExitDone,
			"ticket 1: accepted, version 4, in force everywhere\n", "",
		},
		{
			"accepted, one unconfirmed", http.StatusOK, "application/json",
			`{"number":1,"status":"accepted","version":4,"unconfirmed":["agent-3"]}`, ExitFailed,
			"ticket 1: accepted, version 4\n  not confirmed by agent-3\n", "ticket 1 is accepted but not confirmed by: agent-3",
		},
		{
			"conflict", http.StatusConflict, "application/json",
			`{"number":1,"status":"conflict","faults":[{"path":"number","reason":"taken"}]}`, ExitFailed,
			"ticket 1: conflict\n  number: taken\n", "ticket 1: conflict",
		},
		{
			"not committed", http.StatusServiceUnavailable, "application/problem+json",
			`{"detail":"no leader","execution":"not_run"}`, ExitFailed, "", "ticket 1: no leader (try again after 2s)",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				qt.Check(t, r.URL.String(), qt.Equals, "/admin/v1/tickets/1?wait=20s")
				qt.Check(t, r.Header.Get("Authorization"), qt.Equals, "Bearer secret")
				w.Header().Set("Content-Type", c.contentType)
				w.Header().Set("Retry-After", "2")
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			}))
			defer server.Close()
			code, out, errOut := runCommand(newTicketCommand, "apply", "../../examples/tickets/1.yaml",
				"--wait", "--admin", server.URL, "--credential_file", writeCredentialFile(t))
			qt.Assert(t, code, qt.Equals, c.code)
			qt.Assert(t, out, qt.Equals, c.out)
			qt.Assert(t, errOut, qt.Equals, c.errOut)
		})
	}
}

func TestUsageFaultsNameTheFlag(t *testing.T) {
	file := writeCredentialFile(t)
	cases := []struct {
		name    string
		command func(streams) *ffcli.Command
		args    []string
		code    int
		want    string
	}{
		{"no file", newTicketCommand, []string{"apply"}, ExitUsage, "needs one FILE"},
		{"no credential", newTicketCommand, []string{"show", "1", "--credential_file", ""}, ExitUsage, "-credential_file is missing"},
		{"credential file does not exist", newTicketCommand, []string{"show", "1", "--credential_file", "/none"}, ExitFailed, "-credential_file: open /none"},
		{"bad address", newTicketCommand, []string{"show", "1", "--admin", "x", "--credential_file", file}, ExitUsage, `-admin is "x"`},
		{"bad number", newTicketCommand, []string{"show", "one"}, ExitUsage, `NUMBER is "one"`},
		{"unknown flag", newTicketCommand, []string{"show", "1", "--no_such"}, ExitUsage, "-no_such"},
		{"unknown kind", newGetCommand, []string{"secrets"}, ExitUsage, "get needs one KIND: workspaces, keys"},
		{"key without workspace", newKeyCommand, []string{"new", "--name", "n"}, ExitUsage, "-workspace"},
		{"nothing listens", newGetCommand, []string{"models", "--admin", "http://127.0.0.1:1", "--credential_file", file}, ExitFailed, "no answer"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			code, _, errOut := runCommand(c.command, c.args...)
			qt.Assert(t, code, qt.Equals, c.code)
			qt.Assert(t, errOut, qt.Contains, c.want)
		})
	}
}

func TestGetWarnsOfUnconfirmedAnswers(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(aubapi.ConfirmedHeader, "false")
		_, _ = w.Write([]byte(`{"version":3,"digest":"00"}`))
	}))
	defer server.Close()
	code, out, errOut := runCommand(newGetCommand, "version", "--admin", server.URL, "--credential_file", writeCredentialFile(t))
	qt.Assert(t, code, qt.Equals, ExitDone)
	qt.Assert(t, out, qt.Equals, "version: 3\ndigest: \"00\"\n")
	qt.Assert(t, errOut, qt.Contains, "may be old")
}

// TestKeyNewPrintsTheSecretApart checks that the secret is printed to standard error only,
// so that redirecting standard output to a ticket does not store it.
func TestKeyNewPrintsTheSecretApart(t *testing.T) {
	code, out, errOut := runCommand(newKeyCommand, "new", "--name", "dispatch", "--workspace", "zilina")
	qt.Assert(t, code, qt.Equals, ExitDone)
	_, secret, _ := strings.Cut(strings.TrimSpace(errOut), ": ")
	qt.Assert(t, secret, qt.Matches, "aub-[A-Za-z0-9_-]{43}")
	qt.Assert(t, strings.Contains(out, secret), qt.IsFalse)
	ticket, err := aubapi.DecodeTicket([]byte("number: 2\n"+out), aubapi.FormatYAML)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, ticket.Keys[0].Workspace, qt.Equals, "zilina")
}
