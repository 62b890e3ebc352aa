package aubadmin

import (
	"encoding/hex"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/auburndale/auburndale/internal/aubcommon"
	"github.com/auburndale/auburndale/internal/aubmembership"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

const (
	// versionHeader names the header with the configuration version of the response.
	versionHeader = "Config-Version"

	// retryAfterUnconfirmed is the Retry-After of a read that the control leader did
	// not confirm.
	retryAfterUnconfirmed = 2 * time.Second
)

// queryHandler serves the read queries.
type queryHandler struct {
	common aubcommon.Common
	opts   HandlerOpts
}

func newQueryHandler(common aubcommon.Common, opts HandlerOpts) *queryHandler {
	return &queryHandler{common: common, opts: opts}
}

// ticket responds with the recorded outcome of a ticket.
func (q *queryHandler) ticket(w http.ResponseWriter, r *http.Request) {
	number, err := strconv.ParseUint(r.PathValue("number"), 10, 64)
	if err != nil {
		writeProblem(w, problem{status: http.StatusBadRequest, code: "invalid_number", detail: "the path names no ticket number"})
		return
	}
	confirmed := q.confirm(r)
	w.Header().Set(aubapi.ConfirmedHeader, strconv.FormatBool(confirmed))
	outcome, ok := q.opts.ConfigStore.Outcome(number)
	if ok {
		writeResponse(w, r, http.StatusOK, outcome)
		return
	}
	if !confirmed {
		writeProblem(w, problem{
			status: http.StatusServiceUnavailable, code: "not_confirmed", retryAfter: retryAfterUnconfirmed,
			detail: fmt.Sprintf("ticket %d is not known here, and the control leader can't be reached to confirm that", number),
		})
		return
	}
	writeProblem(w, problem{
		status: http.StatusNotFound, code: "unknown_ticket",
		detail: fmt.Sprintf("no outcome of ticket %d is kept", number),
	})
}

// burn responds with the counts of this instance, which need no confirmation.
func (q *queryHandler) burn(w http.ResponseWriter, r *http.Request) {
	if q.opts.Burn == nil {
		writeResponse(w, r, http.StatusOK, aubapi.BurnCounts{})
		return
	}
	writeResponse(w, r, http.StatusOK, q.opts.Burn())
}

// snapshot exports everything that was committed before the request.
func (q *queryHandler) snapshot(w http.ResponseWriter, r *http.Request) {
	if q.opts.Snapshot == nil || !q.confirm(r) {
		writeProblem(w, problem{
			status: http.StatusServiceUnavailable, code: "not_confirmed", retryAfter: retryAfterUnconfirmed,
			detail: "this instance can't confirm that it holds everything committed",
		})
		return
	}
	data, err := q.opts.Snapshot(r.Context())
	if err != nil {
		q.common.Log.Error("Could not export a snapshot.", zap.Error(err))
		writeProblem(w, problem{status: http.StatusInternalServerError, code: "snapshot_failed", detail: "the state can't be exported"})
		return
	}
	writeResponse(w, r, http.StatusOK, aubapi.Snapshot{Data: data})
}

func (q *queryHandler) workspaces(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, r, http.StatusOK, q.readConfig(w, r).Workspaces())
}

func (q *queryHandler) models(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, r, http.StatusOK, q.readConfig(w, r).Models())
}

func (q *queryHandler) adapters(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, r, http.StatusOK, q.readConfig(w, r).Adapters())
}

func (q *queryHandler) routes(w http.ResponseWriter, r *http.Request) {
	writeResponse(w, r, http.StatusOK, q.readConfig(w, r).Objects().Routes)
}

// keys lists the keys without their lookup values, salts and hashes.
func (q *queryHandler) keys(w http.ResponseWriter, r *http.Request) {
	stored := q.readConfig(w, r).AllKeys()
	infos := make([]aubapi.KeyInfo, 0, len(stored))
	for _, k := range stored {
		infos = append(infos, aubapi.KeyInfo{Name: k.Name, Workspace: k.Workspace, Withdrawn: k.Withdrawn})
	}
	writeResponse(w, r, http.StatusOK, infos)
}

func (q *queryHandler) version(w http.ResponseWriter, r *http.Request) {
	cfg := q.readConfig(w, r)
	writeResponse(w, r, http.StatusOK, aubapi.ConfigVersion{
		Version: cfg.Version(),
		Digest:  hex.EncodeToString(cfg.Digest().Bytes()),
	})
}

// members lists the live and the lost members.
func (q *queryHandler) members(w http.ResponseWriter, r *http.Request) {
	view := q.opts.Members.View()
	members := make([]aubapi.Member, 0, len(view.Members())+len(view.Lost()))
	for _, m := range view.Members() {
		members = append(members, apiMember(view, m))
	}
	for _, m := range view.Lost() {
		lost := apiMember(view, m)
		lost.Lost = true
		members = append(members, lost)
	}
	writeResponse(w, r, http.StatusOK, members)
}

// readConfig returns the configuration, confirmed by the leader if it can be reached,
// and sets the response headers for version and confirmation.
func (q *queryHandler) readConfig(w http.ResponseWriter, r *http.Request) aubquery.Config {
	confirmed := q.confirm(r)
	cfg := q.opts.ConfigStore.Config()
	w.Header().Set(aubapi.ConfirmedHeader, strconv.FormatBool(confirmed))
	w.Header().Set(versionHeader, strconv.FormatUint(cfg.Version(), 10))
	return cfg
}

// confirm reports whether the control leader confirmed that this process holds
// everything committed before the request.
func (q *queryHandler) confirm(r *http.Request) bool {
	ctx, cancel := withTimeout(r.Context(), q.common.Timer, confirmTimeout)
	defer cancel()
	_, err := q.opts.Reader.Confirm(ctx)
	return err == nil
}

// apiMember returns the member as the API shows it.
func apiMember(view aubmembership.View, m aubmembership.Member) aubapi.Member {
	a := m.Announcement
	return aubapi.Member{
		Name:          a.GetName(),
		Role:          strings.ToLower(strings.TrimPrefix(a.GetRole().String(), "ROLE_")),
		Zone:          a.GetZone(),
		Address:       a.GetAddress(),
		Incarnation:   a.GetIncarnation(),
		Leaving:       a.GetLeaving(),
		ConfigVersion: a.GetConfigVersion(),
		HeardAgoMS:    view.At().Sub(m.ReceivedAt).Milliseconds(),
	}
}
