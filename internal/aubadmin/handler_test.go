package aubadmin_test

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/auburndale/auburndale/internal/aubadmin"
	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubstate"
	"github.com/auburndale/auburndale/internal/aubtimer"
	"github.com/auburndale/auburndale/internal/aubwire"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

const credential = "operators-credential"

// fakeLog is a Proposer and Reader that commits to one table immediately, or fails
// with the fault if that is set.
type fakeLog struct {
	mu    sync.Mutex
	table *aubstate.ConfigTable
	fault error
	// loseReply makes Apply commit the command before it returns the fault.
	loseReply bool
	proposed  int
}

func (l *fakeLog) Apply(_ context.Context, table string, body []byte) (aubcontrol.Result, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.proposed++
	if l.fault != nil && !l.loseReply {
		return aubcontrol.Result{}, l.fault
	}
	if table != aubstate.TableName {
		return aubcontrol.Result{}, errors.New("command for another table")
	}
	result := aubcontrol.Result{Body: l.table.Apply(aubcontrol.Command{Body: body})}
	return result, l.fault
}

func (l *fakeLog) Confirm(context.Context) (uint64, error) { return 0, l.fault }

// fakeMembers returns the membership view that the test sets.
type fakeMembers struct {
	mu       sync.Mutex
	versions map[string]uint64
	// lost contains the names of the members from which nothing is received any more.
	lost map[string]bool
}

func (m *fakeMembers) lose(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lost[name] = true
}

func (m *fakeMembers) set(name string, version uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.versions[name] = version
}

func (m *fakeMembers) View() aubmembership.View {
	m.mu.Lock()
	defer m.mu.Unlock()
	members := make([]aubmembership.Member, 0, len(m.versions))
	var lost []aubmembership.Member
	for name, version := range m.versions {
		member := aubmembership.Member{Announcement: &aubwire.Announcement{
			Name: name, Role: aubwire.Role_ROLE_AGENT, ConfigVersion: version,
		}}
		if m.lost[name] {
			lost = append(lost, member)
			continue
		}
		members = append(members, member)
	}
	return aubmembership.NewView(time.Time{}, members...).WithLost(lost...)
}

type fixture struct {
	log     *fakeLog
	members *fakeMembers
	server  *httptest.Server
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	common := aubcommon.NewCommon(aubtimer.NewReal())
	f := &fixture{
		log:     &fakeLog{table: aubstate.NewConfigTable(common)},
		members: &fakeMembers{versions: make(map[string]uint64), lost: make(map[string]bool)},
	}
	f.server = httptest.NewServer(aubadmin.NewHandler(common, aubadmin.HandlerOpts{
		Credential: credential, ConfigStore: f.log.table, Proposer: f.log, Reader: f.log, Members: f.members,
	}))
	t.Cleanup(f.server.Close)
	return f
}

type response struct {
	status int
	header http.Header
	body   string
}

func (f *fixture) call(t *testing.T, method, path, contentType, body string) response {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, f.server.URL+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	r.Header.Set("Authorization", "Bearer "+credential)
	r.Header.Set("Content-Type", contentType)
	resp, err := f.server.Client().Do(r)
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNil)
	return response{status: resp.StatusCode, header: resp.Header, body: string(data)}
}

func (f *fixture) put(t *testing.T, path, body string) (int, aubapi.TicketOutcome) {
	t.Helper()
	resp := f.call(t, http.MethodPut, path, "application/yaml", body)
	var outcome aubapi.TicketOutcome
	qt.Assert(t, json.Unmarshal([]byte(resp.body), &outcome), qt.IsNil, qt.Commentf("%s", resp.body))
	return resp.status, outcome
}

const workspaceYAML = "workspaces: [{name: a, rate: 1, burst: 1}]"

func TestPutAndGetTicket(t *testing.T) {
	f := newFixture(t)
	status, outcome := f.put(t, "/admin/v1/tickets/1", workspaceYAML)
	qt.Assert(t, status, qt.Equals, http.StatusOK)
	qt.Assert(t, outcome, qt.DeepEquals, aubapi.TicketOutcome{Number: 1, Status: aubapi.TicketAccepted, Version: 1})

	status, outcome = f.put(t, "/admin/v1/tickets/1", strings.Replace(workspaceYAML, "rate: 1", "rate: 2", 1))
	qt.Assert(t, status, qt.Equals, http.StatusConflict)
	qt.Assert(t, outcome.Status, qt.Equals, aubapi.TicketConflict)

	got := f.call(t, http.MethodGet, "/admin/v1/tickets/1", "", "")
	qt.Assert(t, got.status, qt.Equals, http.StatusOK)
	qt.Assert(t, got.body, qt.Contains, `"accepted"`)
	qt.Assert(t, f.call(t, http.MethodGet, "/admin/v1/tickets/2", "", "").status, qt.Equals, http.StatusNotFound)
}

func TestInvalidTicketListsEveryFaultAndIsNotProposed(t *testing.T) {
	f := newFixture(t)
	status, outcome := f.put(t, "/admin/v1/tickets/1",
		"workspaces: [{name: a, rate: 0, burst: -1}]\nmodels: [{name: m, memory_bytes: 1, workspaces: [none]}]")
	qt.Assert(t, status, qt.Equals, http.StatusUnprocessableEntity)
	paths := make([]string, 0, len(outcome.Faults))
	for _, fault := range outcome.Faults {
		paths = append(paths, fault.Path)
	}
	qt.Assert(t, paths, qt.DeepEquals, []string{"workspaces[0].rate", "workspaces[0].burst", "models[0].workspaces[0]"})
	qt.Assert(t, f.log.proposed, qt.Equals, 0)
}

func TestRefusals(t *testing.T) {
	notCommitted := &aubcontrol.NotCommittedError{Reason: "no leader", RetryAfter: 3 * time.Second}
	uncertain := &aubcontrol.UncertainError{Reason: "leader lost"}
	cases := []struct {
		name, path, media, body string
		fault                   error
		status                  int
		code, execution, retry  string
	}{
		{
			name: "malformed", path: "/admin/v1/tickets/1", body: "nme: 1",
			status: 400, code: "malformed_ticket", execution: "not_run",
		},
		{
			name: "other number", path: "/admin/v1/tickets/1", body: "number: 2\n" + workspaceYAML,
			status: 400, code: "invalid_number", execution: "not_run",
		},
		{
			name: "no number", path: "/admin/v1/tickets/one", body: workspaceYAML,
			status: 400, code: "invalid_number", execution: "not_run",
		},
		{
			name: "wait too long", path: "/admin/v1/tickets/1?wait=2h", body: workspaceYAML,
			status: 400, code: "invalid_wait", execution: "not_run",
		},
		{
			name: "media type", path: "/admin/v1/tickets/1", media: "text/html", body: workspaceYAML,
			status: 415, code: "unsupported_media_type", execution: "not_run",
		},
		{
			name: "oversize", path: "/admin/v1/tickets/1", body: strings.Repeat("#", aubapi.MaxTicketBytes+1),
			status: 413, code: "ticket_too_large", execution: "not_run",
		},
		{
			name: "not committed", path: "/admin/v1/tickets/1", body: workspaceYAML, fault: notCommitted,
			status: 503, code: "not_committed", execution: "not_run", retry: "3",
		},
		{
			name: "uncertain", path: "/admin/v1/tickets/1", body: workspaceYAML, fault: uncertain,
			status: 504, code: "uncertain", execution: "may_have_run", retry: "1",
		},
		{
			name: "unknown kind of error", path: "/admin/v1/tickets/1", body: workspaceYAML, fault: errors.New("unexpected"),
			status: 504, code: "uncertain", execution: "may_have_run", retry: "1",
		},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t)
			f.log.fault = c.fault
			resp := f.call(t, http.MethodPut, c.path, c.media, c.body)
			var problem aubapi.Problem
			qt.Assert(t, json.Unmarshal([]byte(resp.body), &problem), qt.IsNil)
			qt.Assert(t, resp.status, qt.Equals, c.status)
			qt.Assert(t, problem.Error.Code, qt.Equals, c.code)
			qt.Assert(t, string(problem.Execution), qt.Equals, c.execution)
			qt.Assert(t, resp.header.Get("Retry-After"), qt.Equals, c.retry)
		})
	}
}

func TestResendAfterLostReply(t *testing.T) {
	f := newFixture(t)
	f.log.fault, f.log.loseReply = &aubcontrol.UncertainError{Reason: "reply lost"}, true
	resp := f.call(t, http.MethodPut, "/admin/v1/tickets/1", "", workspaceYAML)
	qt.Assert(t, resp.status, qt.Equals, http.StatusGatewayTimeout)

	f.log.fault = nil
	_, outcome := f.put(t, "/admin/v1/tickets/1", workspaceYAML)
	qt.Assert(t, outcome, qt.DeepEquals, aubapi.TicketOutcome{Number: 1, Status: aubapi.TicketAccepted, Version: 1})
	qt.Assert(t, f.log.table.Config().Version(), qt.Equals, uint64(1))
}

func TestCredential(t *testing.T) {
	f := newFixture(t)
	for _, header := range []string{"", "Bearer", "Bearer wrong", "Basic " + credential, "Bearer " + credential + "x"} {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.server.URL+"/admin/v1/keys", nil)
		qt.Assert(t, err, qt.IsNil)
		r.Header.Set("Authorization", header)
		resp, err := f.server.Client().Do(r)
		qt.Assert(t, err, qt.IsNil)
		resp.Body.Close()
		qt.Assert(t, resp.StatusCode, qt.Equals, http.StatusUnauthorized, qt.Commentf("%q", header))
	}
}

func TestEmptyCredentialRefusesEveryRequest(t *testing.T) {
	h := aubadmin.NewHandler(aubcommon.NewCommon(aubtimer.NewReal()), aubadmin.HandlerOpts{})
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, "/admin/v1/keys", nil)
	r.Header.Set("Authorization", "Bearer ")
	h.ServeHTTP(w, r)
	qt.Assert(t, w.Code, qt.Equals, http.StatusUnauthorized)
}

func TestWaitReturnsUnconfirmedMembers(t *testing.T) {
	f := newFixture(t)
	f.members.set("entry-a", 1)
	f.members.set("agent-1", 0)
	f.members.set("agent-2", 0)
	_, outcome := f.put(t, "/admin/v1/tickets/1?wait=100ms", workspaceYAML)
	qt.Assert(t, outcome.InForce, qt.IsFalse)
	qt.Assert(t, outcome.Unconfirmed, qt.DeepEquals, []string{"agent-1", "agent-2"})
}

// A process that is frozen or partitioned is no longer among the live members, but
// may still serve with the older configuration.
func TestWaitReturnsLostMembers(t *testing.T) {
	f := newFixture(t)
	f.members.set("entry-a", 1)
	f.members.set("agent-1", 0)
	f.members.lose("agent-1")
	_, outcome := f.put(t, "/admin/v1/tickets/1?wait=100ms", workspaceYAML)
	qt.Assert(t, outcome.InForce, qt.IsFalse)
	qt.Assert(t, outcome.Unconfirmed, qt.DeepEquals, []string{"agent-1"})
	members := f.call(t, http.MethodGet, "/admin/v1/members", "", "")
	qt.Assert(t, members.body, qt.Contains, `"lost": true`)
}

func TestWaitEndsOnceAllHaveConfirmed(t *testing.T) {
	f := newFixture(t)
	f.members.set("agent-1", 0)
	done := make(chan aubapi.TicketOutcome, 1)
	go func() {
		_, outcome := f.put(t, "/admin/v1/tickets/1?wait=60s", workspaceYAML)
		done <- outcome
	}()
	<-f.log.table.Changed(0)
	f.members.set("agent-1", 1)
	select {
	case outcome := <-done:
		qt.Assert(t, outcome.InForce, qt.IsTrue)
	case <-time.After(30 * time.Second):
		t.Fatal("the wait continued after every member had confirmed")
	}
}

func TestQueriesNeverShowHashes(t *testing.T) {
	f := newFixture(t)
	data, err := os.ReadFile("../../examples/tickets/1.yaml")
	qt.Assert(t, err, qt.IsNil)
	_, outcome := f.put(t, "/admin/v1/tickets/1", string(data))
	qt.Assert(t, outcome.Status, qt.Equals, aubapi.TicketAccepted)
	f.members.set("agent-1", 1)

	want := map[string]string{
		"workspaces": "dispatch", "models": "example-large", "adapters": "example-rosters", "routes": "/roster/swaps",
		"keys": "local", "version": `"version": 1`, "members": "agent-1",
	}
	for kind, text := range want {
		resp := f.call(t, http.MethodGet, "/admin/v1/"+kind, "", "")
		qt.Assert(t, resp.status, qt.Equals, http.StatusOK)
		qt.Assert(t, resp.body, qt.Contains, text)
		for _, hidden := range []string{"ec609a34", "8340b8eb", "b0d3562e"} {
			qt.Assert(t, resp.body, qt.Not(qt.Contains), hidden)
		}
	}
}

func TestUnconfirmedReadsAreMarked(t *testing.T) {
	f := newFixture(t)
	f.log.fault = &aubcontrol.NotCommittedError{Reason: "no leader"}
	resp := f.call(t, http.MethodGet, "/admin/v1/workspaces", "", "")
	qt.Assert(t, resp.header.Get("Config-Confirmed"), qt.Equals, "false")
	qt.Assert(t, f.call(t, http.MethodGet, "/admin/v1/tickets/9", "", "").status, qt.Equals, http.StatusServiceUnavailable)
}
