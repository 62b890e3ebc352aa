// Package aubadmin is the administration API: change tickets and read queries
// over HTTP, under a credential of its own.
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
	// maxWait bounds the wait for a version to be in force.
	maxWait = 60 * time.Second
)

// State is the replicated configuration of this process.
type State interface {
	Config() aubquery.Config
	// Outcome returns the kept outcome of a ticket number.
	Outcome(number uint64) (aubapi.TicketOutcome, bool)
}

// HandlerOpts lists what the administration API stands on.
type HandlerOpts struct {
	// Credential is the operators' bearer token. An empty one admits nobody.
	Credential string
	State      State
	Proposer   aubcontrol.Proposer
	Reader     aubcontrol.Reader
	Members    aubmembership.Source
	// Burn gives the counts of the service-level objectives; nil counts nothing.
	Burn func() aubapi.BurnCounts
	// Snapshot exports the replicated state; nil offers none.
	Snapshot func(ctx context.Context) ([]byte, error)
}

// NewHandler returns the administration API. It ends with the requests' contexts.
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

// requireCredential compares digests, so that neither content nor length of the
// credential shows in the timing.
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

func bearerToken(r *http.Request) string {
	scheme, token, ok := strings.Cut(r.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") {
		return ""
	}
	return strings.TrimSpace(token)
}
