// Package aubadmin serves the administration API: change tickets and read queries
// over HTTP, authenticated by the operators' credential.
package aubadmin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubcontrol"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

const (
	// applyTimeout bounds the commit of one ticket.
	applyTimeout = 20 * time.Second
	// confirmTimeout bounds the confirmation of one read.
	confirmTimeout = 3 * time.Second
	// maxWait bounds the wait for every process to activate a version.
	maxWait = 60 * time.Second
)

// ConfigStore gives access to this process's replica of the configuration.
type ConfigStore interface {
	Config() aubquery.Config
	// Outcome returns the recorded outcome of a ticket number, if there is one.
	Outcome(number uint64) (aubapi.TicketOutcome, bool)
}

// HandlerOpts holds the credential and the dependencies of the administration API.
type HandlerOpts struct {
	// Credential is the operators' bearer token. If it is empty, every request is
	// refused.
	Credential  string
	ConfigStore ConfigStore
	Proposer    aubcontrol.Proposer
	Reader      aubcontrol.Reader
	Members     aubmembership.Source
	// Burn returns the event counts of the service-level objectives. If it is nil, the
	// API responds with empty counts.
	Burn func() aubapi.BurnCounts
	// Snapshot exports the replicated state. If it is nil, the API refuses exports.
	Snapshot func(ctx context.Context) ([]byte, error)
}

// NewHandler returns the handler of the administration API. Its work ends with the
// contexts of the requests.
func NewHandler(common aubcommon.Common, opts HandlerOpts) http.Handler {
	common = common.WithPart("admin")
	tickets := newTicketHandler(common, opts)
	queries := newQueryHandler(common, opts)
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /admin/v1/tickets/{number}", tickets.put)
	mux.HandleFunc("GET /admin/v1/tickets/{number}", queries.ticket)
	mux.HandleFunc("GET /admin/v1/workspaces", queries.workspaces)
	mux.HandleFunc("GET /admin/v1/models", queries.models)
	mux.HandleFunc("GET /admin/v1/adapters", queries.adapters)
	mux.HandleFunc("GET /admin/v1/routes", queries.routes)
	mux.HandleFunc("GET /admin/v1/keys", queries.keys)
	mux.HandleFunc("GET /admin/v1/version", queries.version)
	mux.HandleFunc("GET /admin/v1/members", queries.members)
	mux.HandleFunc("GET /admin/v1/burn", queries.burn)
	mux.HandleFunc("GET /admin/v1/snapshot", queries.snapshot)
	return requireCredential(common, opts.Credential, mux)
}

// requireCredential refuses requests without the operators' credential. It compares
// digests, so that the timing reveals neither content nor length of the credential.
func requireCredential(common aubcommon.Common, credential string, next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(credential))
	refusals := common.Metrics.Counter("credential_refusals")
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := sha256.Sum256([]byte(bearerToken(r)))
		if subtle.ConstantTimeCompare(want[:], got[:]) != 1 || credential == "" {
			refusals.Inc(1)
			w.Header().Set("WWW-Authenticate", `Bearer realm="auburndale administration"`)
			writeProblem(w, problem{
				status: http.StatusUnauthorized, code: "invalid_credential", detail: "no valid operator's credential",
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

// bearerToken returns the request's bearer token, or an empty string.
func bearerToken(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
