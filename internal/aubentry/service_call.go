package aubentry

import (
	"bytes"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

// minKeyLength is the least length of a key that is looked for in bodies.
const minKeyLength = 8

// hopHeaders concern one connection only and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// callService runs a call of a plain service.
func (h *Handler) callService(ctx context.Context, x *exchange) error {
	if hasDotSegment(x.r.URL.Path) {
		return refuse(problemInvalid).WithDetail("The path must not contain dot segments.")
	}
	route, ok := h.parts.Config.Config().Route(x.r.URL.Path)
	if !ok {
		return refuse(problemNotFound)
	}
	w, err := h.admitToRoute(x, route)
	if err != nil {
		return err
	}
	body, f := readBody(x.w, x.r, h.bounds.MaxBody)
	if f != nil {
		return f
	}
	if f := refuseKeyInBody(x, body); f != nil {
		return f
	}
	c := h.newServiceCall(x, route, w, body)
	ctx, cancel := context.WithTimeout(ctx, c.deadline.Sub(x.started))
	defer cancel()
	if !c.idempotent && x.r.Header.Get(headerIdempotencyKey) != "" {
		return h.executeClaimed(ctx, x, c)
	}
	return h.execute(ctx, x, c)
}

// admitToRoute authenticates the caller unless the route is open. A route that
// the workspace may not use gets the same answer as none.
func (h *Handler) admitToRoute(x *exchange, route aubapi.Route) (aubapi.Workspace, error) {
	if route.Open {
		return aubapi.Workspace{}, nil
	}
	w, err := h.authenticate(x)
	if err != nil {
		return w, err
	}
	if !aubquery.Admits(route.Workspaces, w.Name) {
		return w, refuse(problemNotFound)
	}
	return w, nil
}

func (h *Handler) newServiceCall(x *exchange, route aubapi.Route, w aubapi.Workspace, body []byte) call {
	u := *x.r.URL
	header := x.r.Header.Clone()
	removeHopHeaders(header)
	aubauth.StripKey(header, &u)
	header.Set(headerRequestID, x.echoID())
	header.Del(headerWorkspace)
	if w.Name != "" {
		header.Set(headerWorkspace, w.Name)
	}
	timeout := h.bounds.RequestTimeout
	if route.TimeoutSeconds > 0 {
		timeout = time.Duration(route.TimeoutSeconds) * time.Second
	}
	return call{
		id:          x.id,
		workspace:   w,
		group:       route.Service,
		service:     route.Service,
		method:      x.r.Method,
		path:        u.RequestURI(),
		header:      header,
		body:        body,
		fingerprint: fingerprintOf(w.Name, x.r.Method, u.RequestURI(), body),
		cost:        route.Cost,
		idempotent:  route.Idempotent,
		deadline:    x.started.Add(timeout),
	}
}

// removeHopHeaders deletes the headers of the caller's connection, those that it
// names itself included.
func removeHopHeaders(header http.Header) {
	for _, list := range header.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

// refuseKeyInBody refuses a body that shows the caller's key: no backend server
// may see it, and a body can't be changed on the way.
func refuseKeyInBody(x *exchange, body []byte) *refusal {
	key := aubauth.PresentedKey(x.r.Header)
	if len(key) < minKeyLength || !bytes.Contains(body, []byte(key)) {
		return nil
	}
	return refuse(problemInvalid).WithDetail("The body must not contain the key.")
}

func hasDotSegment(path string) bool {
	segments := strings.Split(path, "/")
	return slices.Contains(segments, ".") || slices.Contains(segments, "..")
}
