package aubentry

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/auburndale/auburndale/internal/aubauth"
	"github.com/auburndale/auburndale/internal/aubheader"
	"github.com/auburndale/auburndale/internal/aubstate/aubquery"
	"github.com/auburndale/auburndale/pkg/aubapi"
)

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
	if f := refuseKey(x, body); f != nil {
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
	// The key is noted before any header goes, hop-by-hop ones included.
	stripper := aubauth.NewStripper(header, &u)
	aubheader.RemoveHop(header)
	stripper.StripHeader(header)
	stripper.StripURL(&u)
	header.Set(headerRequestID, x.id)
	header.Del(headerWorkspace)
	if w.Name != "" {
		header.Set(headerWorkspace, w.Name)
	}
	timeout := h.bounds.RequestTimeout
	if route.TimeoutSeconds > 0 {
		timeout = time.Duration(route.TimeoutSeconds) * time.Second
	}
	return call{
		id:         x.id,
		workspace:  w,
		group:      route.Service,
		service:    route.Service,
		method:     x.r.Method,
		path:       u.RequestURI(),
		header:     header,
		body:       body,
		digest:     digestOf(w.Name, x.r.Method, u.RequestURI(), body),
		cost:       route.Cost,
		idempotent: route.Idempotent,
		deadline:   x.started.Add(timeout),
	}
}

// refuseKey refuses a request that shows its key where it can't be taken out:
// in the path, the body or the idempotency key. No backend server may see it.
func refuseKey(x *exchange, body []byte) *refusal {
	stripper := aubauth.NewStripper(x.r.Header, x.r.URL)
	switch {
	case stripper.Holds(x.r.URL.Path):
		return refuse(problemInvalid).WithDetail("The path must not contain the key.")
	case stripper.Holds(x.r.Header.Get(headerIdempotencyKey)):
		return refuse(problemInvalid).WithDetail("The idempotency key must not contain the key.")
	case stripper.HoldsBytes(body):
		return refuse(problemInvalid).WithDetail("The body must not contain the key.")
	}
	return nil
}

func hasDotSegment(path string) bool {
	segments := strings.Split(path, "/")
	return slices.Contains(segments, ".") || slices.Contains(segments, "..")
}
